// Watches how far running tasks have come, and names those that would be done
// sooner elsewhere: tasks that stand still, and tasks that take much longer
// than their siblings of the same step.

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

// A run as a look shows it, with what its step says of it.
struct WatchedRun {
  TaskKey task;
  uint64_t run = 0;
  int32_t percent = 0;
  bool is_gang = false;  // it may stand while it waits for other members
};

enum class Lag { kStuck, kSlow };
struct Laggard {
  TaskKey task;
  uint64_t run = 0;
  Lag lag = Lag::kStuck;
};

// Not thread-safe. Lives for one term of leadership.
class ProgressWatch {
 public:
  // `runs`: all runs that a look at one worker shows, but lasting ones, which
  // never come to an end. Returns those that had better start again elsewhere;
  // each is named once.
  std::vector<Laggard> OnLook(std::span<const WatchedRun> runs,
                              base::Instant now);
  void OnEnd(const TaskKey& task,
             uint64_t run,
             bool is_done,
             base::Instant now);
  void OnJobEnded(const wire::JobId& job);

 private:
  struct Progress {
    base::Instant first_seen;
    base::Instant last_moved;
    int32_t first_percent = 0;  // when it was first seen
    int32_t percent = 0;
    bool is_named = false;
  };
  using RunKey = std::pair<TaskKey, uint64_t>;

  bool IsSlow(const StepKey& step,
              const Progress& progress,
              base::Instant now) const;

  std::map<RunKey, Progress> runs_;
  // How long tasks took that were seen nearly from their start.
  std::map<StepKey, std::vector<base::Duration>> done_;
  // Tasks that were named as slow once: where they are slow again, there is
  // more to do in them than in their siblings.
  std::set<TaskKey> moved_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_PROGRESS_H_
