// Monitors the progress of running tasks and reports those that would finish
// sooner elsewhere: tasks that make no progress, and stragglers that take much
// longer than their siblings in the same step.

#ifndef JOBS_PROGRESS_H_
#define JOBS_PROGRESS_H_

#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/types.h"
#include "jobs/worker_session.h"

namespace sassafras::jobs {

// A run as reported in a hold reply, with properties of its step.
struct MonitoredRun {
  TaskKey task;
  uint64_t run = 0;
  int32_t percent = 0;
  bool is_gang = false;  // members make no progress while they wait for others
};

enum class StragglerKind { kStuck, kSlow };
struct Straggler {
  TaskKey task;
  uint64_t run = 0;
  StragglerKind kind = StragglerKind::kStuck;
};

// Not thread-safe. Lives for one term of leadership.
class ProgressMonitor {
 public:
  // `runs` are the runs in a hold reply of one worker, without long-running
  // tasks, which never finish. Returns the runs that should be restarted on
  // another worker. Each run is returned at most once, unless it goes on.
  std::vector<Straggler> OnPoll(std::span<const MonitoredRun> runs,
                                base::Instant now);
  // A run that was returned as slow isn't stopped. It is returned again when it
  // is stuck.
  void OnGoesOn(const TaskKey& task, uint64_t run);
  void OnEnd(const TaskKey& task,
             uint64_t run,
             bool is_done,
             base::Instant now);
  void OnJobEnded(const wire::JobId& job);

 private:
  struct Progress {
    base::Instant first_seen;
    base::Instant last_progress;
    int32_t first_percent = 0;  // percent when first seen
    int32_t percent = 0;
    bool is_reported = false;
  };
  using RunKey = std::pair<TaskKey, uint64_t>;

  bool IsSlow(const StepKey& step,
              const Progress& progress,
              base::Instant now) const;

  std::map<RunKey, Progress> runs_;
  // Durations of completed tasks that were seen nearly from their start.
  std::map<StepKey, std::vector<base::Duration>> completed_times_;
  // Tasks that were already reported as slow. A task that is slow again after
  // the move has more work than its siblings, so it isn't moved a second time.
  std::set<TaskKey> reported_slow_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_PROGRESS_H_
