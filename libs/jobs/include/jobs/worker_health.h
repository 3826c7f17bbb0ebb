// Detects workers that fail most of their runs, from the outcomes of the runs.
// Such a worker fails quickly and so looks idle; without exclusion it would
// attract more work than any other.

#ifndef JOBS_WORKER_HEALTH_H_
#define JOBS_WORKER_HEALTH_H_

#include <deque>
#include <map>
#include <set>

#include "base/time.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Not thread-safe. Lives for one term of leadership.
class WorkerHealth {
 public:
  // A run of `job` on the worker was done or failed.
  void OnEnd(const WorkerBoot& worker,
             const wire::JobId& job,
             bool has_failed,
             base::Instant now);

  // Whether the worker is excluded from new work. It gets work again after a
  // backoff, which doubles each time it is excluded again without a success in
  // between.
  bool IsExcluded(const WorkerBoot& worker, base::Instant now) const;

  // Whether the worker was excluded and has completed no run since. It is used
  // only if no other worker has free capacity.
  bool IsOnProbation(const WorkerBoot& worker) const;

 private:
  struct RunResult {
    wire::JobId job;
    bool has_failed = false;
  };
  struct State {
    std::deque<RunResult> recent;  // at most kMaxRecentRuns, newest last
    bool is_on_probation = false;
    base::Instant excluded_until;
    base::Duration backoff{};  // last backoff; 0 if none since the last success
  };

  static bool FailsMostRuns(const State& state);

  std::map<WorkerBoot, State> states_;
  std::set<WorkerBoot> ever_excluded_;  // keys in `states_`; usually empty
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_HEALTH_H_
