// Detects failing workers from the outcomes of their runs.

#include "jobs/worker_health.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace sassafras::jobs {
namespace {

constexpr size_t kMaxRecentRuns = 8;
constexpr size_t kMinFailures = 3;
// Failures of a single job are blamed on the job, not on the worker.
constexpr size_t kMinJobs = 2;
constexpr double kMinFailedShare = 0.7;
constexpr base::Duration kMinBackoff = std::chrono::seconds(3);
constexpr base::Duration kMaxBackoff = std::chrono::seconds(24);

}  // namespace

void WorkerHealth::OnEnd(const WorkerBoot& worker,
                         const wire::JobId& job,
                         bool has_failed,
                         base::Instant now) {
  State& state = states_[worker];
  if (!has_failed) {
    state.is_on_probation = false;
    state.backoff = {};
  }
  state.recent.push_back({job, has_failed});
  if (state.recent.size() > kMaxRecentRuns) {
    state.recent.pop_front();
  }
  const bool is_excluded = now < state.excluded_until;
  if (!has_failed || is_excluded ||
      !(state.is_on_probation || FailsMostRuns(state))) {
    return;
  }
  state.backoff = std::clamp(state.backoff * 2, kMinBackoff, kMaxBackoff);
  state.excluded_until = now + state.backoff;
  state.is_on_probation = true;
  ever_excluded_.insert(worker);
  state.recent.clear();
}

bool WorkerHealth::FailsMostRuns(const State& state) {
  std::set<wire::JobId> jobs;
  size_t failures = 0;
  for (const RunResult& end : state.recent) {
    if (end.has_failed) {
      ++failures;
      jobs.insert(end.job);
    }
  }
  return failures >= kMinFailures && jobs.size() >= kMinJobs &&
         static_cast<double>(failures) >=
             kMinFailedShare * static_cast<double>(state.recent.size());
}

bool WorkerHealth::IsExcluded(const WorkerBoot& worker,
                              base::Instant now) const {
  return ever_excluded_.contains(worker) &&
         now < states_.at(worker).excluded_until;
}

bool WorkerHealth::IsOnProbation(const WorkerBoot& worker) const {
  return ever_excluded_.contains(worker) && states_.at(worker).is_on_probation;
}

}  // namespace sassafras::jobs
