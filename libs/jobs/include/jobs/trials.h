// Keeps for each worker which runs are so young that a crash could be theirs,
// and closes workers to other work while a suspect is on trial there.

#ifndef JOBS_TRIALS_H_
#define JOBS_TRIALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "jobs/crash.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Not thread-safe. Lives for one term of leadership.
class Trials {
 public:
  // `crashes` are those of the task. Runs that a new leader finds in the table
  // count as started at `now`.
  void OnStart(const StartRun& start,
               std::span<const CrashRecord> crashes,
               base::Instant now);
  void OnEnd(const EndRun& end);
  // Discards the workers that `table` doesn't contain any more.
  void Prune(const JobTable& table);

  // Returns the job whose suspect is on trial on the worker, if there is one.
  std::optional<wire::JobId> JobOnTrial(const WorkerBoot& worker,
                                        base::Instant now) const;
  // Returns when a run of another job than `job` was last started on the
  // worker, or nullopt if no such run is young enough to crash it.
  std::optional<base::Instant> LastStartOfOthers(const WorkerBoot& worker,
                                                 const wire::JobId& job,
                                                 base::Instant now) const;
  bool HasSuspects() const { return suspects_ > 0; }

 private:
  struct YoungRun {
    TaskKey task;
    uint64_t run = 0;
    base::Instant started;
    // The worker is closed to other jobs until then; equal to `started` if the
    // task is no suspect.
    base::Instant closed_until;

    bool IsSuspect() const { return closed_until > started; }
  };

  std::map<WorkerBoot, std::vector<YoungRun>> runs_;
  size_t suspects_ = 0;  // number of suspects in `runs_`
};

}  // namespace sassafras::jobs

#endif  // JOBS_TRIALS_H_
