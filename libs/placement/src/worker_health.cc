// Events older than the quarantine window are ignored, and the number of events
// kept is bounded.

#include "worker_health.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace sassafras::placement {

std::vector<uint32_t> WorkloadHealth::RecordSuccess(base::Instant now,
                                                    uint32_t worker) {
  std::erase_if(successes_,
                [&](const Event& it) { return it.worker == worker; });
  successes_.push_back({now, worker});
  if (successes_.size() > kMaxEvents) {
    successes_.pop_front();
  }
  std::vector<uint32_t> failed_on;
  for (const Event& it : std::exchange(failures_, {})) {
    if (it.worker != worker) {
      failed_on.push_back(it.worker);
    }
  }
  return failed_on;
}

void WorkloadHealth::RecordFailure(base::Instant now,
                                   uint32_t worker,
                                   const Options& options) {
  std::erase_if(failures_, [&](const Event& it) {
    return it.worker == worker || it.at + options.quarantine_window < now;
  });
  failures_.push_back({now, worker});
  if (failures_.size() > kMaxEvents) {
    failures_.pop_front();
  }
}

bool WorkloadHealth::HasSucceededElsewhere(base::Instant now,
                                           uint32_t worker,
                                           const Options& options) const {
  return std::ranges::any_of(successes_, [&](const Event& it) {
    return it.worker != worker && it.at + options.quarantine_window >= now;
  });
}

bool WorkloadHealth::IsFaulty(base::Instant now, const Options& options) const {
  const auto recent = std::ranges::count_if(failures_, [&](const Event& it) {
    return it.at + options.quarantine_window >= now;
  });
  return recent >= static_cast<int64_t>(options.faulty_task_workers);
}

void WorkerHealth::RecordSuccess(base::Instant now) {
  successes_.push_back(now);
  if (successes_.size() > kMaxFailures) {
    successes_.pop_front();
  }
}

void WorkerHealth::RecordFastFailure(base::Instant now,
                                     uint64_t workload,
                                     uint32_t owner,
                                     bool has_succeeded_elsewhere,
                                     const Options& options) {
  Expire(now, options);
  std::erase_if(failures_,
                [&](const Failure& it) { return it.workload == workload; });
  failures_.push_back({now, workload, owner, has_succeeded_elsewhere});
  if (failures_.size() > kMaxFailures) {
    failures_.pop_front();
  }
}

void WorkerHealth::RecordSuccessElsewhere(uint64_t workload) {
  const auto it = std::ranges::find(failures_, workload, &Failure::workload);
  if (it != failures_.end()) {
    it->has_succeeded_elsewhere = true;
  }
}

std::optional<std::string> WorkerHealth::QuarantineReason(
    base::Instant now,
    uint32_t owners,
    const Options& options) {
  Expire(now, options);
  const size_t needed = options.quarantine_workloads;
  if (failures_.size() < needed || successes_.size() >= failures_.size()) {
    return std::nullopt;
  }
  std::set<uint32_t> failed_owners;
  for (const Failure& failure : failures_) {
    failed_owners.insert(failure.owner);
  }
  const auto succeeded_elsewhere = static_cast<size_t>(
      std::ranges::count_if(failures_, &Failure::has_succeeded_elsewhere));
  // If all failures belong to one owner, its work may be faulty, unless the
  // same workloads succeed on other workers.
  if (failed_owners.size() < 2 && owners >= 2 && succeeded_elsewhere < needed) {
    return std::nullopt;
  }
  return std::to_string(failures_.size()) + " workloads of " +
         std::to_string(failed_owners.size()) +
         " owners failed soon after their start";
}

void WorkerHealth::Quarantine(base::Instant now, const Options& options) {
  is_probing_ = false;
  probe_wait_ = options.probe_delay;
  next_probe_ = now + probe_wait_;
}

void WorkerHealth::Release() {
  is_probing_ = false;
  failures_.clear();
  successes_.clear();
}

bool WorkerHealth::MayProbe(base::Instant now) const {
  return !is_probing_ && now >= next_probe_;
}

void WorkerHealth::FailProbe(base::Instant now, const Options& options) {
  is_probing_ = false;
  probe_wait_ = std::min(probe_wait_ * 2, options.max_probe_delay);
  next_probe_ = now + probe_wait_;
}

void WorkerHealth::Expire(base::Instant now, const Options& options) {
  const auto is_old = [&](base::Instant at) {
    return at + options.quarantine_window < now;
  };
  std::erase_if(failures_, [&](const Failure& it) { return is_old(it.at); });
  std::erase_if(successes_, is_old);
}

}  // namespace sassafras::placement
