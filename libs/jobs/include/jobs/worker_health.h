// Workers that fail what sound workers would do, told from how their runs end.
// Such a worker looks free, because what it fails it fails quickly, so it would
// draw more work than any other.

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
  // A run of `job` ended on the worker, done or failed.
  void OnEnd(const WorkerBoot& worker,
             const wire::JobId& job,
             bool has_failed,
             base::Instant now);

  // Whether the worker gets no new work for a while. It is tried again after
  // a pause, which doubles as long as it goes on failing.
  bool IsSetAside(const WorkerBoot& worker, base::Instant now) const;

  // Whether it was set aside and hasn't done anything since: used only where
  // no other worker has room.
  bool IsSuspect(const WorkerBoot& worker) const;

 private:
  struct End {
    wire::JobId job;
    bool has_failed = false;
  };
  struct State {
    std::deque<End> recent;  // at most kRecentEnds, the newest last
    bool is_suspect = false;
    base::Instant set_aside_until;
    base::Duration pause{};  // the last one; 0: none since it did well
  };

  static bool FailsMost(const State& state);

  std::map<WorkerBoot, State> states_;
  std::set<WorkerBoot> once_set_aside_;  // of `states_`; mostly none
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_HEALTH_H_
