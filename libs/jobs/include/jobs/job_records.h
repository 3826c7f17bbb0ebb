// Records of the job table: jobs with their tasks, and workers with the runs
// that may be on them.

#ifndef JOBS_JOB_RECORDS_H_
#define JOBS_JOB_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/task_set.h"
#include "jobs/types.h"

namespace sassafras::jobs {

struct StepRecord {
  TaskSet tasks;
  uint32_t done = 0;
  uint32_t open = 0;         // number of tasks with an open run
  uint32_t failed_runs = 0;  // failed runs of a gang; 0 for other steps
  uint64_t last_failed = 0;  // last run counted in `failed_runs`
  // Of a gang; a member's checkpoint serves all members.
  std::string checkpoint;
  // Number of tasks that are done and have an open run, which is being stopped.
  // Not recorded, as it follows from the tasks.
  uint32_t surplus = 0;

  bool IsDone() const { return done == tasks.size(); }
  // Returns the number of tasks that neither run nor are done.
  size_t Waiting() const { return tasks.size() + surplus - done - open; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepRecord,
                                                tasks,
                                                done,
                                                open,
                                                failed_runs,
                                                last_failed,
                                                checkpoint)

// Whether all steps that `step` depends on are done. `steps` are the records of
// one occurrence.
bool IsStepReady(const JobSpec& spec,
                 const std::vector<StepRecord>& steps,
                 uint32_t step);

enum class JobPhase { kActive, kCompleted, kFailed, kCancelled };
NLOHMANN_JSON_SERIALIZE_ENUM(JobPhase,
                             {{JobPhase::kActive, "active"},
                              {JobPhase::kCompleted, "completed"},
                              {JobPhase::kFailed, "failed"},
                              {JobPhase::kCancelled, "cancelled"}})

struct JobRecord {
  wire::JobId id;
  QueueId queue;
  JobSpec spec;
  uint64_t order = 0;  // position in the order of acceptance over all jobs
  JobPhase phase = JobPhase::kActive;
  // A worker has shown that it began a run of any task. That a start was
  // recorded isn't enough: it may not have reached the worker.
  bool has_started = false;
  // Occurrences that have begun and aren't over: tasks aren't done, or have
  // open runs. The job has none once it has ended and its last run is over;
  // from then on, `spec` is empty, too.
  std::map<uint64_t, std::vector<StepRecord>> occurrences;
  uint64_t finished_occurrences = 0;
  CustomerId customer;  // empty if it was submitted without a key
  // Beyond the jobs a second that its customer's weight allows.
  bool is_excess = false;
  // All occurrences below this have begun.
  uint64_t next_occurrence = 0;
  // What the job counts for in the size of the table, in bytes. Not recorded.
  size_t counted_bytes = 0;

  const TaskRecord* FindTask(const TaskKey& key) const;
  bool HasOpenRuns() const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRecord,
                                                id,
                                                queue,
                                                spec,
                                                order,
                                                phase,
                                                has_started,
                                                occurrences,
                                                finished_occurrences,
                                                customer,
                                                is_excess,
                                                next_occurrence)

// A run that may be on a worker.
struct OpenRun {
  TaskKey task;
  uint64_t run = 0;
  Resources charge;
  // Copied from the step, so that the planner needs no lookup.
  bool is_filler = false;
  bool serves_users = false;      // the step has a latency target
  bool has_worker_limit = false;  // the step has a max_per_worker limit
  CustomerId customer;            // of the job; empty without one
  // What a filler needs in thousandths of a core, beside its charge.
  int64_t filler_cpu_milli = 0;

  // Returns the amounts that the step declares for a task.
  Resources Need() const;
};
WIRE_DEFINE_ARRAY(OpenRun,
                  task,
                  run,
                  charge,
                  is_filler,
                  serves_users,
                  has_worker_limit,
                  customer,
                  filler_cpu_milli)

// What the open runs of a worker amount to.
struct WorkerLoad {
  Resources used;
  uint32_t fillers = 0;
  uint32_t user_serving = 0;

  void Add(const OpenRun& run);
  void Remove(const OpenRun& run);
};

struct WorkerRecord {
  WorkerInfo info;
  uint64_t end_cursor = 0;    // run ends up to this number are recorded
  std::vector<OpenRun> runs;  // in the order in which they were started
  // No call that was meant for an earlier boot can have given this one a lease
  // that still runs. Such a call tells a time on the earlier boot's clock.
  bool is_settled = false;
  WorkerLoad load;  // of `runs`; not part of a snapshot

  const OpenRun* FindRun(const TaskKey& task, uint64_t run) const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRecord,
                                                info,
                                                end_cursor,
                                                runs,
                                                is_settled)

}  // namespace sassafras::jobs

#endif  // JOBS_JOB_RECORDS_H_
