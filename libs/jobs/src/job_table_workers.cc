// Applies the descriptions and the removal of workers to the job table.

#include <algorithm>
#include <ranges>
#include <vector>

#include "jobs/job_table.h"

namespace sassafras::jobs {
namespace {

bool IsSameAddress(const WorkerInfo& left, const WorkerInfo& right) {
  return left.address == right.address && left.port == right.port;
}

}  // namespace

// A later boot with the same id means that the earlier process has exited, and
// that all its runs have ended.
void JobTable::Put(const WorkerInfo& info) {
  if (IsStale(info)) {
    return;
  }
  RemoveWorkersAtAddress(info);
  WorkerRecord& worker = workers_[info.boot.id];
  // Draining is final for a boot: a delayed heartbeat may still say that the
  // worker isn't draining.
  const bool was_draining =
      info.boot == worker.info.boot && worker.info.is_draining;
  if (info.boot != worker.info.boot) {
    changes_.has_worker_changes = true;
    ++worker_set_version_;
    EndAllRuns(worker);
    worker.end_cursor = 0;
    worker.is_settled = false;
  }
  MoveRunsToPool(worker, info.service);
  worker.info = info;
  worker.info.is_draining |= was_draining;
  changes_.changed_workers.push_back(info.boot);
}

// `pool` is the worker's service from now on.
void JobTable::MoveRunsToPool(const WorkerRecord& worker,
                              const wire::ServiceId& pool) {
  if (worker.info.service == pool) {
    return;
  }
  for (const OpenRun& run : worker.runs) {
    customer_loads_.Remove(worker.info.service, run);
    customer_loads_.Add(pool, run);
  }
}

// Whether a later boot is known with the same id or at the same address, so
// that this heartbeat was delayed.
bool JobTable::IsStale(const WorkerInfo& info) const {
  return std::ranges::any_of(workers_ | std::views::values, [&](auto& it) {
    const bool is_same =
        it.info.boot.id == info.boot.id || IsSameAddress(it.info, info);
    return is_same && info.boot.started_ms < it.info.boot.started_ms;
  });
}

// An address belongs to one worker at a time, so a later boot at an address
// means that its earlier workers have exited.
void JobTable::RemoveWorkersAtAddress(const WorkerInfo& info) {
  std::vector<WorkerBoot> replaced;
  for (const auto& [id, it] : workers_) {
    if (id != info.boot.id && IsSameAddress(it.info, info)) {
      replaced.push_back(it.info.boot);
    }
  }
  std::ranges::for_each(replaced, [this](auto& it) { Remove(it); });
}

void JobTable::Remove(const WorkerBoot& boot) {
  const auto it = workers_.find(boot.id);
  if (it == workers_.end() || it->second.info.boot != boot) {
    return;
  }
  changes_.has_worker_changes = true;
  ++worker_set_version_;
  EndAllRuns(it->second);
  workers_.erase(it);
}

void JobTable::EndAllRuns(WorkerRecord& worker) {
  const std::vector<OpenRun> runs = worker.runs;
  for (const OpenRun& run : runs) {
    End({worker.info.boot, run.task, run.run, RunOutcome::kLeaseExpired, "",
         true});
  }
}

void JobTable::Settle(const WorkerBoot& boot) {
  const auto it = workers_.find(boot.id);
  if (it != workers_.end() && it->second.info.boot == boot) {
    it->second.is_settled = true;
  }
}

}  // namespace sassafras::jobs
