// The scheduler's model of the cell: owners, workers, jobs, tasks, and the
// exact resources that each task holds on each worker. The model only keeps
// these accounts; the planner and its components make the decisions.

#ifndef PLACEMENT_CELL_H_
#define PLACEMENT_CELL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "estimator.h"
#include "fair_share.h"
#include "placement/events.h"
#include "placement/options.h"
#include "worker_health.h"
#include "worker_index.h"

namespace sassafras::placement {

struct JobGroup;
struct Job;
struct Owner;
struct Task;
struct Worker;

// Preemption order: rank 0 is urgent services, the highest rank is low-priority
// batch and gang work. Work can preempt work of the same owner only if that has
// a higher rank value.
using Rank = uint32_t;
inline constexpr Rank kRankCount = 6;
inline constexpr Rank kLastUrgentRank = 1;
Rank RankOf(const wire::JobSpec& spec);

// Usage estimate and failure history shared by all jobs of one workload. A job
// that names no workload has one of its own.
struct Workload {
  uint64_t sequence = 0;
  wire::OwnerId owner;
  wire::WorkloadId id;
  Estimator estimator;
  WorkloadHealth health;
};

enum class Phase {
  kIdle,      // not waiting and without an attempt, for instance after its end
  kPending,   // waiting for a worker
  kInFlight,  // an assignment is proposed but not committed
  kActive     // an attempt is assigned and hasn't ended
};

struct Task {
  Job* job = nullptr;
  uint32_t index = 0;  // index in job->tasks
  Rank rank = 0;       // the job's rank when the task was assigned
  Phase phase = Phase::kIdle;
  // Time when the task became pending; once it is active, the time when it was
  // assigned.
  base::Instant queued_or_assigned_at;
  base::Duration waited{};  // time spent pending before the assignment
  bool is_protected =
      false;  // from preemption, for Options::preemption_protection
  // The last attempt was lost or preempted, so the time that the task waited
  // before it counts again when the task is requeued.
  bool keeps_wait_time = false;

  // Set while the task is in flight or active; null if the worker was removed.
  Worker* worker = nullptr;
  size_t index_on_worker = 0;  // index in worker->tasks
  wire::AttemptId attempt;
  wire::Resources reserved;
  wire::Resources peak_use;  // highest observed use of this attempt
  wire::Resources charge;    // max(reserved, peak use with margin)
  wire::Resources used;      // last reported use
  bool is_running = false;
  bool is_evicting = false;  // the attempt is being ended
  bool is_probe = false;     // tests a quarantined worker

  wire::AttemptOrder order = wire::AttemptOrder::kRun;
  bool is_order_committed = true;
  base::Instant ordered_at;
  std::string order_reason;
  // Key in Cell::timers_; nullopt if no timer is set. See RunTimers for its
  // meaning.
  std::optional<std::pair<base::Instant, uint64_t>> timer;
  // Set for backfill: the expected start of the reservation whose capacity the
  // task uses.
  std::optional<base::Instant> backfill_deadline;

  // Capacity set aside for this pending task on a worker. Invariant: the claim
  // is counted in Worker::claimed and Owner::claimed while `claim_worker` is
  // not null.
  Worker* claim_worker = nullptr;
  wire::Resources claim;
  base::Instant claimed_at;

  std::vector<const Worker*> failed_on;  // most recent distinct workers
  uint32_t failures = 0;

  wire::TaskId Id() const;
  // The task reserves fewer processors than declared and is throttled to its
  // reservation from its start.
  bool IsCpuCapped() const;
};

struct Job {
  wire::JobSpec spec;
  uint64_t sequence = 0;  // order of submission
  base::Instant submitted;
  base::Instant waiting_since;  // start of the wait of the first pending task
  Owner* owner = nullptr;       // never null once the job is added
  JobGroup* group = nullptr;    // null while the job is not queued
  base::Instant queue_key;      // waiting_since, adjusted by rank
  std::shared_ptr<Workload> workload;
  std::deque<Task> tasks;  // a deque, so references stay valid as it grows
  std::set<uint32_t> pending;
  uint32_t active = 0;  // number of tasks in flight or active
  uint32_t done = 0;
  bool is_removed = false;
  bool is_parked = false;
  // When a change of is_parked was last proposed; nullopt if none is under way.
  std::optional<base::Instant> park_proposed;
  uint32_t failed_reservations = 0;

  // Number of tasks placed per zone, rack and worker. Kept for services only.
  std::map<uint32_t, uint32_t> in_zone;
  std::map<uint32_t, uint32_t> in_rack;
  std::map<const Worker*, uint32_t> on_worker;
};

struct Worker {
  wire::WorkerId id;
  uint32_t slot = 0;  // index in Cell::workers()
  bool is_present = false;
  wire::Incarnation incarnation;
  wire::ZoneId zone_id;
  wire::RackId rack_id;
  uint32_t zone = 0;
  uint32_t rack = 0;
  wire::WorkerState state = wire::WorkerState::kReady;
  wire::Resources capacity;
  bool is_quarantined = false;
  std::vector<Task*> tasks;
  wire::Resources reserved;  // sum over tasks
  wire::Resources charge;    // sum over tasks, at least `reserved`
  wire::Resources evicting;  // part of `charge` that evicted tasks still hold
  wire::Resources claimed;   // sum of the claims on this worker
  wire::Resources used;      // sum of the last reported use of its tasks
  std::vector<Task*> claimants;  // pending tasks with a claim on this worker
  // When a change of the quarantine was proposed; nullopt if none is under way.
  std::optional<base::Instant> quarantine_proposed;
  WorkerHealth health;
  bool has_free_accelerators = false;
  bool is_listed_as_freed = false;  // is in Cell::freed_

  bool IsUsable() const {
    return is_present && !is_quarantined && state == wire::WorkerState::kReady;
  }
  // Capacity that no task holds. Includes claimed capacity.
  wire::Resources FreeIncludingClaims() const { return capacity - charge; }
  wire::Resources Free() const { return FreeIncludingClaims() - claimed; }
  // Free capacity once all evicted tasks have ended.
  wire::Resources FreeAfterEvictions() const { return Free() + evicting; }
};

// Why no task of a group of jobs can be placed now.
enum class BlockReason { kNone, kCapacity, kQuota };

// Identifies queued jobs of one owner with the same scheduling requirements. If
// one of them doesn't fit, none of them does.
struct JobGroupKey {
  Rank rank = 0;
  wire::JobKind kind = wire::JobKind::kBatch;
  const Workload* workload = nullptr;  // null: no usage estimate
  uint32_t gang_tasks = 0;             // 0 unless the job is a gang
  wire::Resources declared;

  friend bool operator<(const JobGroupKey& a, const JobGroupKey& b) {
    return a.AsTuple() < b.AsTuple();
  }

 private:
  std::tuple<Rank, wire::JobKind, uint64_t, uint32_t, int64_t, int64_t, int64_t>
  AsTuple() const {
    return {rank, kind,
            // Sequence numbers instead of addresses keep plans deterministic.
            workload == nullptr ? 0 : workload->sequence, gang_tasks,
            declared.milli_cpus, declared.memory_mib, declared.accelerators};
  }
};

// Orders jobs by Job::queue_key, then by order of submission.
using QueueKey = std::pair<base::Instant, uint64_t>;

struct JobGroup {
  Owner* owner = nullptr;
  JobGroupKey key;
  std::map<QueueKey, Job*> jobs;  // never empty
  BlockReason block = BlockReason::kNone;
  // Earliest time of the next search for victims, set after a search without
  // result.
  base::Instant next_preemption_search;

  Job& head() const { return *jobs.begin()->second; }
  QueueKey HeadKey() const { return jobs.begin()->first; }
};

struct Owner {
  wire::OwnerId id;
  uint32_t slot = 0;      // index in Cell::owners()
  bool is_known = false;  // a PutOwner event declared it
  uint32_t weight = 1;
  std::optional<wire::Resources> quota;  // nullopt: no quota
  wire::Resources reserved;  // reserved by its tasks in flight or active
  wire::Resources evicting;  // part of `reserved` that evicted tasks still hold
  wire::Resources claimed;   // sum of the claims of its pending tasks
  std::map<JobGroupKey, std::unique_ptr<JobGroup>> groups;
  // Each group is in exactly one of these two maps, keyed by its first job.
  std::map<QueueKey, JobGroup*> ready;
  std::map<QueueKey, JobGroup*> blocked;
  // Active tasks that aren't being evicted, by rank and order of assignment.
  std::array<std::map<uint64_t, Task*>, kRankCount> running;
  uint64_t waiting_tasks = 0;
  // Number of groups that need accelerators and aren't blocked by the quota.
  uint64_t accelerator_groups = 0;
};

class Cell {
 public:
  Cell(const Options& options, uint64_t seed);

  const Options& options() const { return options_; }

  // --- owners, workers, jobs ---
  // Returns the owner; creates it with weight 1 if it is unknown.
  Owner& OwnerOf(const wire::OwnerId& id);
  // The Find functions return null if nothing is known under the id.
  Worker* FindWorker(const wire::WorkerId& id);
  Job* FindJob(const wire::JobId& id);
  Task* FindTask(const wire::TaskId& id);
  void Put(const PutOwner& event);
  void Remove(const RemoveOwner& event);
  Worker& Put(const PutWorker& event);
  void Remove(Worker& worker);
  void SetQuarantined(Worker& worker, bool is_quarantined);
  Job& Put(const PutJob& event);
  void Remove(Job& job);
  void SetParked(Job& job, bool is_parked);

  // --- tasks ---
  void MakePending(base::Instant now, Task& task);
  // Assigns a pending task to the worker until the assignment is committed or
  // returned to the queue.
  void Propose(base::Instant now,
               Task& task,
               Worker& worker,
               const wire::Resources& reserved);
  // Undoes Propose. The task is pending again and keeps its waiting time.
  void ReturnToQueue(Task& task);
  // Records a committed assignment, which may differ from the proposed one.
  void Activate(base::Instant now, Task& task, const TaskAssigned& event);
  // Releases everything that the task holds.
  void Finish(Task& task, TaskOutcome outcome);
  // Marks an active task as being ended. It keeps its resources until Finish.
  void MarkEvicting(Task& task);
  void RecordUsage(Task& task, const wire::Resources& used);
  // Sets aside capacity of the worker for a pending task, replacing its claim.
  void Claim(base::Instant now,
             Task& task,
             Worker& worker,
             const wire::Resources& amount);
  void Unclaim(Task& task);

  // --- queries ---
  // Returns what a task of the job reserves: the larger of the declared and the
  // estimated use, but never more than the largest worker that can hold the
  // declared amount. Batch and gang tasks reserve the estimated processors,
  // which may be fewer than declared, once enough attempts have succeeded.
  wire::Resources TaskReservation(const wire::JobSpec& spec,
                                  const Workload* workload) const;
  wire::Resources TaskReservation(const Job& job) const;
  wire::Resources TaskReservationFor(const wire::JobSpec& spec) const;
  // See Scheduler::WhyInfeasible.
  std::optional<std::string> WhyInfeasible(const wire::JobSpec& spec) const;
  Share ShareOf(const wire::Resources& held) const;
  Share EntitlementOf(const Owner& owner) const;
  // The owner's dominant share without its evicted tasks.
  Share NetShare(const Owner& owner) const;
  bool IsWithinQuota(const Owner& owner, const wire::Resources& more) const;
  // Whether any queued work that isn't blocked by its quota needs accelerators.
  bool HasAcceleratorDemand() const { return accelerator_groups_ > 0; }

  // --- queue ---
  void SetBlock(JobGroup& group, BlockReason block);

  // --- timers of tasks ---
  void SetTimer(Task& task, base::Instant at);
  void ClearTimer(Task& task);
  // Removes the earliest timer that is due and returns its task; null if none
  // is.
  Task* DueTimer(base::Instant now);
  std::optional<base::Instant> NextTimer() const;

  WorkerIndex& index() { return index_; }
  const WorkerIndex& index() const { return index_; }
  std::deque<Owner>& owners() { return owners_; }
  const std::deque<Owner>& owners() const { return owners_; }
  std::deque<Worker>& workers() { return workers_; }
  const std::deque<Worker>& workers() const { return workers_; }
  const wire::Resources& total() const { return total_; }
  uint32_t zone_count() const { return static_cast<uint32_t>(zones_.size()); }
  uint32_t usable_workers() const { return usable_workers_; }
  // Slots of the quarantined workers.
  const std::set<uint32_t>& quarantined() const { return quarantined_; }
  // Increases when the feasibility of jobs may have changed.
  uint64_t feasibility_epoch() const { return feasibility_epoch_; }

  // Increases when tasks may reserve less than before.
  uint64_t reservation_epoch() const { return reservation_epoch_; }
  void NoteSmallerReservations() { ++reservation_epoch_; }

  // Returns the workers whose free capacity may have grown since the last call.
  std::vector<Worker*> TakeFreed();
  void MarkFreed(Worker& worker);
  bool HasFreed() const { return !freed_.empty(); }
  // MarkFreed has no effect during a trial placement, whose changes may be
  // undone. Trials can be nested.
  void BeginTrial() { ++trials_; }
  void EndTrial() { --trials_; }

  // Updates the worker index after a change of the worker's accounts.
  void Refresh(Worker& worker);

 private:
  struct CapacityLess {
    bool operator()(const wire::Resources& a, const wire::Resources& b) const {
      return std::tie(a.accelerators, a.memory_mib, a.milli_cpus) <
             std::tie(b.accelerators, b.memory_mib, b.milli_cpus);
    }
  };

  void Attach(Task& task, Worker& worker, const wire::Resources& reserved);
  void Detach(Task& task);
  void CountSpread(Task& task, const Worker& worker, int delta);
  void CountCapacity(const Worker& worker, int sign);
  void Enqueue(Job& job);
  void Dequeue(Job& job);
  void CountAccelerators(JobGroup& group, int delta);
  static void Requeue(JobGroup& group, std::optional<QueueKey> old_head);
  void AddToQueue(Task& task);
  void LeaveQueue(Task& task);
  void StartAttempt(base::Instant now, Task& task, const TaskAssigned& event);
  void EraseIfFinished(Job& job);
  std::shared_ptr<Workload> WorkloadOf(const wire::JobSpec& spec);
  std::optional<std::string> WhyExceedsWorkers(const wire::JobSpec& spec) const;
  uint64_t TasksThatFit(const wire::Resources& need, uint64_t enough) const;
  std::optional<std::string> WhyExceedsQuota(const wire::JobSpec& spec) const;

  Options options_;
  WorkerIndex index_;
  // These two deques never shrink, so references to their elements stay valid.
  std::deque<Owner> owners_;
  std::deque<Worker> workers_;
  std::unordered_map<wire::OwnerId, Owner*> owner_by_id_;
  std::unordered_map<wire::WorkerId, Worker*> worker_by_id_;
  std::unordered_map<wire::JobId, std::unique_ptr<Job>> jobs_;
  std::map<std::pair<wire::OwnerId, wire::WorkloadId>, std::weak_ptr<Workload>>
      workloads_;
  std::deque<std::shared_ptr<Workload>> recent_workloads_;
  std::unordered_map<wire::ZoneId, uint32_t> zones_;
  std::map<std::pair<uint32_t, wire::RackId>, uint32_t> racks_;
  // Number of workers in state kReady for each distinct capacity.
  std::map<wire::Resources, uint64_t, CapacityLess> capacities_;
  wire::Resources total_;  // capacity of all usable workers
  uint32_t usable_workers_ = 0;
  std::set<uint32_t> quarantined_;
  uint64_t sum_of_weights_ = 0;  // over `owners_`
  uint64_t feasibility_epoch_ = 0;
  uint64_t reservation_epoch_ = 0;
  uint64_t next_sequence_ = 1;
  uint64_t accelerator_groups_ = 0;
  std::map<std::pair<base::Instant, uint64_t>, Task*> timers_;
  std::vector<Worker*> freed_;
  uint32_t trials_ = 0;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_CELL_H_
