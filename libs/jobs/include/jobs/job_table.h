// Replicated state of the job queues: the manifest, the jobs with their tasks,
// and the workers with the runs that may be on them. Every replica applies the
// same batches in the same order.

#ifndef JOBS_JOB_TABLE_H_
#define JOBS_JOB_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/reason.h"
#include "jobs/crash.h"
#include "jobs/customer_loads.h"
#include "jobs/job_records.h"
#include "jobs/manifest.h"
#include "jobs/manifest_index.h"
#include "jobs/table_size.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// --- commands ---

struct AddJob {
  wire::JobId id;
  QueueId queue;
  JobSpec spec;
  CustomerId customer;     // see JobRecord
  bool is_excess = false;  // see JobRecord
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AddJob,
                                                id,
                                                queue,
                                                spec,
                                                customer,
                                                is_excess)

struct StartRun {
  TaskKey task;
  uint64_t run = 0;
  WorkerBoot worker;
  bool is_copy = false;  // runs beside an open run of the task
};
WIRE_DEFINE_ARRAY(StartRun, task, run, worker, is_copy)

struct EndRun {
  WorkerBoot worker;
  TaskKey task;
  uint64_t run = 0;
  RunOutcome outcome = RunOutcome::kStopped;
  std::string checkpoint;  // empty if the worker reported none
  // Concluded from the loss of the worker, which has not reported this end. A
  // report replaces it, whichever of the two is recorded first.
  bool is_presumed = false;
  // Of a presumed end: what the crash of the worker says about the run, and
  // when it was noticed, in ms since 1970.
  CrashRole crash_role = CrashRole::kNone;
  int64_t crashed_at_ms = 0;
  // Of a run that was done: how long it took, in ms, by the leader's clock; 0
  // if that isn't known.
  int64_t took_ms = 0;
};
WIRE_DEFINE_ARRAY(EndRun,
                  worker,
                  task,
                  run,
                  outcome,
                  checkpoint,
                  is_presumed,
                  crash_role,
                  crashed_at_ms,
                  took_ms)

// The run has lived long enough to prove that its task doesn't crash workers.
struct ProvenRun {
  TaskKey task;
  uint64_t run = 0;
};
WIRE_DEFINE_ARRAY(ProvenRun, task, run)

// Run ends of the worker up to `cursor` are in this batch or were recorded
// earlier.
struct AdvanceCursor {
  WorkerBoot worker;
  uint64_t cursor = 0;
};
WIRE_DEFINE_ARRAY(AdvanceCursor, worker, cursor)

struct BeginOccurrence {
  wire::JobId job;
  uint64_t occurrence = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginOccurrence,
                                                job,
                                                occurrence)

// One log entry. The members are applied in the order of their declaration.
struct Batch {
  std::vector<Manifest> manifests;
  std::vector<EndRun> ends;
  std::vector<ProvenRun> proven_runs;
  std::vector<WorkerInfo> workers;
  std::vector<AdvanceCursor> cursors;
  // None of their runs is still running.
  std::vector<WorkerBoot> removed_workers;
  std::vector<wire::JobId> cancels;
  std::vector<AddJob> jobs;
  std::vector<BeginOccurrence> occurrences;
  std::vector<StartRun> starts;
  // Workers have shown that they began a run of these jobs.
  std::vector<wire::JobId> begun_jobs;
  std::vector<WorkerBoot> settled_workers;
  std::vector<wire::JobId> forgotten;

  bool IsEmpty() const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Batch,
                                                manifests,
                                                ends,
                                                proven_runs,
                                                workers,
                                                cursors,
                                                removed_workers,
                                                cancels,
                                                jobs,
                                                occurrences,
                                                starts,
                                                begun_jobs,
                                                settled_workers,
                                                forgotten)

// A run that has completed its task, which is not a member of a gang, of an
// active job.
struct DoneRun {
  StepKey step;
  WorkerBoot worker;
  base::Duration took{};  // 0 if unknown or not comparable with its siblings'
  bool is_last_of_step = false;
};

// A task whose job was given up because it crashes its workers.
struct CrashCause {
  TaskKey task;
  Crashes crashes;  // the table may no longer have them
};

// Effects of a batch, as the leader needs them.
struct Changes {
  std::vector<StartRun> started;  // starts that were applied
  std::vector<wire::JobId> added_jobs;
  std::vector<wire::JobId> ended_jobs;  // jobs that left JobPhase::kActive
  // Open runs of tasks that another run has completed. Must be stopped.
  std::vector<StartRun> surplus_runs;
  // Workers that describe themselves differently than before.
  std::vector<WorkerBoot> changed_workers;
  std::vector<CrashCause> crash_causes;
  std::vector<DoneRun> done_runs;
  // Steps of which other tasks wait than before. A step may be named twice.
  std::vector<StepKey> changed_steps;
  // Of recurring jobs.
  std::vector<BeginOccurrence> begun_occurrences;
  bool is_manifest_changed = false;
  bool has_worker_changes = false;  // a worker process was added or removed

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

  // Ignores commands that no longer match the state, such as a start on a
  // removed worker or an end that was already recorded.
  Changes Apply(const Batch& batch);

  std::string Snapshot() const;
  static std::optional<JobTable> FromSnapshot(std::string_view bytes,
                                              TableReason& why);

  // Derives from the manifest's text what the program that recorded it didn't
  // know; see Manifest::format. Must be called after FromSnapshot() and after
  // each batch that changed the manifest. Returns false, and sets `why`, if
  // `read` can't read the text; the manifest then stays as it was recorded.
  bool CompleteManifest(const ManifestReader& read, std::string& why);

  const Manifest& manifest() const { return manifest_; }
  // The items of manifest().
  const ManifestIndex& index() const { return index_; }
  // Returns the customer as defined, without its keys, in the newest manifest
  // that contains it, or null if none did.
  const Customer* FindCustomer(const CustomerId& id) const;
  // Returns the queue as defined in the newest manifest that contains it.
  const Queue* FindQueue(const QueueId& id) const;
  // Returns the queue of the manifest with this name or, after the operator has
  // renamed it, with its host and path. Null if the manifest has none.
  const Queue* FindCurrentQueue(const QueueId& id) const;
  // Whether the manifest names the service, or a queue of this or an earlier
  // manifest uses it.
  bool HasService(const wire::ServiceId& service) const;
  const JobRecord* FindJob(const wire::JobId& id) const;
  // Returns the job if it is one of the queue, which may have been renamed.
  const JobRecord* FindJob(const QueueId& queue, const wire::JobId& id) const;
  const WorkerRecord* FindWorker(const wire::WorkerId& id) const;
  const StepRecord* FindStep(const StepKey& key) const;

  const std::map<wire::JobId, JobRecord>& jobs() const { return jobs_; }
  // Jobs in JobPhase::kActive, keyed by JobRecord::order.
  const std::map<uint64_t, const JobRecord*>& active() const { return active_; }
  const std::map<wire::WorkerId, WorkerRecord>& workers() const {
    return workers_;
  }
  // Returns what customers' open runs need.
  const CustomerLoads& customer_loads() const { return customer_loads_; }
  // Changes whenever a worker process is added or removed. Pointers to worker
  // records stay valid as long as it doesn't.
  uint64_t worker_set_version() const { return worker_set_version_; }
  // What the jobs take of this host's memory by what was asked for.
  const OwnerSizes& sizes() const { return sizes_; }
  // Returns the bytes that jobs of this table have released so far.
  uint64_t released_bytes() const { return released_bytes_; }
  // Returns the number of active jobs in the queue of which no worker has shown
  // that it began a task.
  uint64_t CountWaitingJobs(const QueueId& queue) const;

 private:
  // Takes over a job of a snapshot.
  void Restore(JobRecord& job);
  void Put(const Manifest& manifest);
  void Keep(const Queue& queue);
  void RememberQueuesAndCustomers();
  void MoveJobsOfRenamedQueues();
  void Put(const WorkerInfo& info);
  bool IsStale(const WorkerInfo& info) const;
  void RemoveWorkersAtAddress(const WorkerInfo& info);
  void End(const EndRun& end);
  void Prove(const ProvenRun& proven);
  void Remove(const WorkerBoot& boot);
  void Cancel(const wire::JobId& id);
  void Add(const AddJob& add);
  void Begin(const BeginOccurrence& begin);
  bool Start(const StartRun& start);
  void MarkBegun(const wire::JobId& id);
  void Settle(const WorkerBoot& boot);
  void Forget(const wire::JobId& id);

  void MoveRunsToPool(const WorkerRecord& worker, const wire::ServiceId& pool);
  void EndAllRuns(WorkerRecord& worker);
  bool CloseRun(const EndRun& end);
  // The same for a copy, and for a run that has an open copy.
  void RecordEndOfPair(JobRecord& job,
                       StepRecord& step,
                       const EndRun& end,
                       bool was_open);
  void RecordEnd(JobRecord& job, const EndRun& end, bool was_open);
  void CountEnd(JobRecord& job, StepRecord& step, const EndRun& end);
  void RecordEndOfTask(JobRecord& job,
                       StepRecord& step,
                       const EndRun& end,
                       bool was_open);
  static void TakeBackCrash(TaskRecord& task, const EndRun& report);
  void CountCrash(JobRecord& job, TaskRecord& task, const EndRun& end);
  void AddSurplusRuns(const EndRun& done);
  void RecordGangEnd(JobRecord& job, StepRecord& step, const EndRun& end);
  void RecordTaskEnd(JobRecord& job, StepRecord& step, const EndRun& end);
  void AddDoneRun(const JobRecord& job,
                  const StepRecord& step,
                  const EndRun& end);
  void FinishStep(JobRecord& job, uint64_t occurrence);
  void EndJob(JobRecord& job, JobPhase phase);
  void AddOccurrence(JobRecord& job, uint64_t occurrence);
  // Releases an occurrence of an active job if it is over.
  void ReleaseOccurrence(JobRecord& job, uint64_t occurrence);
  // Releases what nobody needs of a job that has ended.
  void ReleaseEnded(JobRecord& job);
  // Counts the job again in the size of the table.
  void CountSize(JobRecord& job);
  void RemoveSize(JobRecord& job);
  StepRecord* FindStep(const StepKey& key);
  uint32_t MaxAttempts(const JobRecord& job) const;

  Manifest manifest_;
  ManifestIndex index_;  // of `manifest_`
  // Includes queues that a later manifest dropped.
  std::map<QueueId, Queue> queues_;
  // Number of queues in `queues_` by their service.
  std::map<wire::ServiceId, size_t> queue_services_;
  // Without keys. Includes customers that a later manifest dropped, as their
  // jobs go on under their last cap and weight.
  std::map<CustomerId, Customer> customers_;
  std::map<wire::JobId, JobRecord> jobs_;
  std::map<wire::WorkerId, WorkerRecord> workers_;
  OwnerSizes sizes_;  // of `jobs_`
  uint64_t released_bytes_ = 0;
  CustomerLoads customer_loads_;  // of all runs of `workers_`
  uint64_t worker_set_version_ = 0;
  uint64_t last_order_ = 0;
  std::map<uint64_t, const JobRecord*> active_;  // points into `jobs_`
  Changes changes_;  // effects of the batch being applied
};

}  // namespace sassafras::jobs

#endif  // JOBS_JOB_TABLE_H_
