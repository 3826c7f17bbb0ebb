// Remembers when workers went down, to tell a crash that a task has caused from
// one that befell several workers at once.

#ifndef JOBS_CRASH_HISTORY_H_
#define JOBS_CRASH_HISTORY_H_

#include <chrono>
#include <deque>
#include <vector>

#include "base/time.h"
#include "jobs/crash.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// A worker that has gone down.
struct WorkerCrash {
  WorkerBoot worker;
  base::Instant at;               // its last sign of life
  std::vector<TaskKey> suspects;  // tasks of runs that may be the cause
};

// A task that may have crashed its worker.
struct CrashSuspect {
  WorkerBoot worker;
  TaskKey task;
  bool is_gang = false;  // the members of a gang count as one task
  base::Instant at;      // as in WorkerCrash
};

// Not thread-safe.
class CrashHistory {
 public:
  // Workers that go down within this time of each other may have a common
  // cause: a leader notices refused connections by its next call.
  static constexpr base::Duration kSameMoment = std::chrono::milliseconds(250);

  // Adding the same crash again has no effect.
  void Add(WorkerCrash crash);

  // Returns what remains of `role` in view of the other workers that went down
  // at the same moment. One that no task can have crashed had another cause,
  // which this one may have had, too: nothing remains. One that only other
  // tasks of the same job can have crashed leaves a doubt: the task isn't the
  // sole suspect.
  CrashRole Weigh(const CrashSuspect& suspect, CrashRole role) const;

 private:
  std::deque<WorkerCrash> crashes_;  // in the order in which they were noticed
};

}  // namespace sassafras::jobs

#endif  // JOBS_CRASH_HISTORY_H_
