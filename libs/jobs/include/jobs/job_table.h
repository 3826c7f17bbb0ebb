// The replicated state of the job queues: manifest, jobs with their tasks, and
// workers with the runs that may be on them. Every replica applies the same
// batches in the same order.

#ifndef JOBS_JOB_TABLE_H_
#define JOBS_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/reason.h"
#include "jobs/manifest.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// --- what is recorded ---

struct TaskRecord {
  uint64_t run = 0;  // the last one that was started; they only grow
  bool is_done = false;
  bool is_open = false;  // `run` may still be on a worker, which it occupies
  uint32_t failures = 0;
  std::string checkpoint;  // of a gang: see StepRecord
};
WIRE_DEFINE_ARRAY(TaskRecord, run, is_done, is_open, failures, checkpoint)

struct StepRecord {
  std::vector<TaskRecord> tasks;
  uint32_t done = 0;         // tasks that are done
  uint32_t open = 0;         // tasks with an open run
  uint32_t failed_runs = 0;  // of a gang
  uint64_t last_failed = 0;  // the gang's run counted last
  std::string checkpoint;    // of a gang: any member's serves all

  bool IsDone() const { return done == tasks.size(); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepRecord,
                                                tasks,
                                                done,
                                                open,
                                                failed_runs,
                                                last_failed,
                                                checkpoint)

// Whether all steps that `step` waits for are done; `steps` are those of one
// occurrence.
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
  uint64_t order = 0;  // of acceptance, over all jobs
  JobPhase phase = JobPhase::kActive;
  bool has_started = false;                                 // any task
  std::map<uint64_t, std::vector<StepRecord>> occurrences;  // begun ones
  uint64_t finished_occurrences = 0;

  const TaskRecord* FindTask(const TaskKey& key) const;
  // Whether any task may still be on a worker.
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
                                                finished_occurrences)

// A run that may be on a worker.
struct OpenRun {
  TaskKey task;
  uint64_t run = 0;
  Resources charge;
  // Of its step, so that plans needn't look it up.
  bool is_filler = false;
  bool is_served = false;   // its users have a latency target
  bool is_limited = false;  // only so many of the step run on one worker
};
WIRE_DEFINE_ARRAY(OpenRun, task, run, charge, is_filler, is_served, is_limited)

struct WorkerRecord {
  WorkerInfo info;
  uint64_t end_cursor = 0;    // ends up to this number are recorded
  std::vector<OpenRun> runs;  // in the order of their start

  const OpenRun* FindRun(const TaskKey& task, uint64_t run) const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRecord,
                                                info,
                                                end_cursor,
                                                runs)

// --- changes ---

struct AddJob {
  wire::JobId id;
  QueueId queue;
  JobSpec spec;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AddJob, id, queue, spec)

struct StartRun {
  TaskKey task;
  uint64_t run = 0;
  WorkerBoot worker;
};
WIRE_DEFINE_ARRAY(StartRun, task, run, worker)

struct EndRun {
  WorkerBoot worker;
  TaskKey task;
  uint64_t run = 0;
  RunEnd how = RunEnd::kStopped;
  std::string checkpoint;  // empty: none was told
};
WIRE_DEFINE_ARRAY(EndRun, worker, task, run, how, checkpoint)

// The worker's ends up to `cursor` are among the batch's ends or before them.
struct MoveCursor {
  WorkerBoot worker;
  uint64_t cursor = 0;
};
WIRE_DEFINE_ARRAY(MoveCursor, worker, cursor)

struct BeginOccurrence {
  wire::JobId job;
  uint64_t occurrence = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginOccurrence,
                                                job,
                                                occurrence)

// One record of the log; its parts are applied in the order of the members.
struct Batch {
  std::vector<Manifest> manifests;
  std::vector<WorkerInfo> workers;
  std::vector<EndRun> ends;
  std::vector<MoveCursor> cursors;
  std::vector<WorkerBoot> removed_workers;  // all that they ran is over
  std::vector<wire::JobId> cancels;
  std::vector<AddJob> jobs;
  std::vector<BeginOccurrence> occurrences;
  std::vector<StartRun> starts;
  std::vector<wire::JobId> forgotten;

  bool IsEmpty() const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Batch,
                                                manifests,
                                                workers,
                                                ends,
                                                cursors,
                                                removed_workers,
                                                cancels,
                                                jobs,
                                                occurrences,
                                                starts,
                                                forgotten)

// What a batch did, for the leader.
struct Changes {
  std::vector<StartRun> started;  // those of the batch that hold
  std::vector<wire::JobId> added_jobs;
  std::vector<wire::JobId> ended_jobs;  // left kActive
  bool is_manifest_changed = false;
  bool has_new_workers = false;  // boots came, or went

  void Append(Changes later);
};

enum class TableError { kNone, kBadSnapshot };
using TableReason = base::Reason<TableError>;

// Not thread-safe.
class JobTable {
 public:
  JobTable() = default;
  JobTable(const JobTable&) = delete;
  JobTable& operator=(const JobTable&) = delete;
  JobTable(JobTable&&) = default;
  JobTable& operator=(JobTable&&) = default;

  // Changes that no longer fit the state (a start on a worker that is gone, an
  // end that was recorded before) are passed over.
  Changes Apply(const Batch& batch);

  std::string Snapshot() const;
  static std::optional<JobTable> FromSnapshot(std::string_view bytes,
                                              TableReason& why);

  const Manifest& manifest() const { return manifest_; }
  // The queue as the newest manifest has it, or as the last one that did.
  const Queue* FindQueue(const QueueId& id) const;
  const JobRecord* FindJob(const wire::JobId& id) const;
  const WorkerRecord* FindWorker(const wire::WorkerId& id) const;
  const StepRecord* FindStep(const StepKey& key) const;

  const std::map<wire::JobId, JobRecord>& jobs() const { return jobs_; }
  // The jobs in phase kActive by order of acceptance.
  const std::map<uint64_t, const JobRecord*>& active() const { return active_; }
  const std::map<wire::WorkerId, WorkerRecord>& workers() const {
    return workers_;
  }
  // Active jobs of the queue of which no task has started.
  uint64_t CountWaiting(const QueueId& queue) const;

 private:
  void Put(const Manifest& manifest);
  void Put(const WorkerInfo& info);
  bool IsOvertaken(const WorkerInfo& info) const;
  void RemoveFormerHolders(const WorkerInfo& info);
  void End(const EndRun& end);
  void Remove(const WorkerBoot& boot);
  void Cancel(const wire::JobId& id);
  void Add(const AddJob& add);
  void Begin(const BeginOccurrence& begin);
  bool Start(const StartRun& start);
  void Forget(const wire::JobId& id);

  void CloseRuns(WorkerRecord& worker);
  void RecordEnd(JobRecord& job, const EndRun& end);
  void RecordGangEnd(JobRecord& job, StepRecord& step, const EndRun& end);
  void RecordTaskEnd(JobRecord& job, StepRecord& step, const EndRun& end);
  void FinishStep(JobRecord& job, uint64_t occurrence);
  void EndJob(JobRecord& job, JobPhase phase);
  void AddOccurrence(JobRecord& job, uint64_t occurrence);
  StepRecord* FindStep(const StepKey& key);
  uint32_t MaxAttempts(const JobRecord& job) const;

  Manifest manifest_;
  std::map<QueueId, Queue> queues_;  // also those that a manifest dropped
  std::map<wire::JobId, JobRecord> jobs_;
  std::map<wire::WorkerId, WorkerRecord> workers_;
  uint64_t last_order_ = 0;
  std::map<uint64_t, const JobRecord*> active_;  // in `jobs_`
  Changes changes_;                              // of the batch being applied
};

}  // namespace sassafras::jobs

#endif  // JOBS_JOB_TABLE_H_
