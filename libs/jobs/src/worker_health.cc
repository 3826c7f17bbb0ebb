// Judging workers by how their runs end.

#include "jobs/worker_health.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace sassafras::jobs {
namespace {

constexpr size_t kRecentEnds = 8;
constexpr size_t kFewestFailures = 3;
// One job that fails everywhere is no fault of the worker.
constexpr size_t kFewestJobs = 2;
constexpr double kFailedShare = 0.7;
constexpr base::Duration kFirstPause = std::chrono::seconds(3);
constexpr base::Duration kLongestPause = std::chrono::seconds(24);

}  // namespace

void WorkerHealth::OnEnd(const WorkerBoot& worker,
                         const wire::JobId& job,
                         bool has_failed,
                         base::Instant now) {
  State& state = states_[worker];
  if (!has_failed) {
    state.is_suspect = false;
    state.pause = {};
  }
  state.recent.push_back({job, has_failed});
  if (state.recent.size() > kRecentEnds) {
    state.recent.pop_front();
  }
  const bool is_paused = now < state.set_aside_until;
  if (!has_failed || is_paused || !(state.is_suspect || FailsMost(state))) {
    return;
  }
  state.pause = std::clamp(state.pause * 2, kFirstPause, kLongestPause);
  state.set_aside_until = now + state.pause;
  state.is_suspect = true;
  once_set_aside_.insert(worker);
  state.recent.clear();
}

bool WorkerHealth::FailsMost(const State& state) {
  std::set<wire::JobId> jobs;
  size_t failures = 0;
  for (const End& end : state.recent) {
    if (end.has_failed) {
      ++failures;
      jobs.insert(end.job);
    }
  }
  return failures >= kFewestFailures && jobs.size() >= kFewestJobs &&
         static_cast<double>(failures) >=
             kFailedShare * static_cast<double>(state.recent.size());
}

bool WorkerHealth::IsSetAside(const WorkerBoot& worker,
                              base::Instant now) const {
  return once_set_aside_.contains(worker) &&
         now < states_.at(worker).set_aside_until;
}

bool WorkerHealth::IsSuspect(const WorkerBoot& worker) const {
  return once_set_aside_.contains(worker) && states_.at(worker).is_suspect;
}

}  // namespace sassafras::jobs
