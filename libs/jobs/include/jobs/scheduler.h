// Decides which waiting tasks start now and on which workers. Queues are served
// by priority, jobs of one priority by the shares of their customers and the
// time that they can still meet: their latency objective, or, if that is out of
// reach, the time until which their result is of use. Smaller work may overtake
// what can't be placed. A gang starts as a whole or not at all. No start
// exceeds the cap of its customer.

#ifndef JOBS_SCHEDULER_H_
#define JOBS_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/job_timing.h"
#include "jobs/trials.h"
#include "jobs/types.h"
#include "jobs/worker_health.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

class Planner;
class RecentStarts;

// Why a step that could run was not placed, or not placed as a whole.
enum class WaitReason {
  kNoRoom,          // permitted workers have no room for it
  kNoWorker,        // no worker of the pool could run it
  kQueryOpen,       // advice has been requested
  kQueryRequested,  // this plan requests advice
  kNoAdviceHost,    // no host can send a query now
  kNoQuery,         // no worker is worth a query now
  kAtCap,           // the customer's cap keeps it from starting
  kExcess,          // kept back: it is in excess, and others need the room
};
NLOHMANN_JSON_SERIALIZE_ENUM(WaitReason,
                             {{WaitReason::kNoRoom, "no-room"},
                              {WaitReason::kNoWorker, "no-worker"},
                              {WaitReason::kQueryOpen, "query-open"},
                              {WaitReason::kQueryRequested, "query-requested"},
                              {WaitReason::kNoAdviceHost, "no-advice-host"},
                              {WaitReason::kNoQuery, "no-query"},
                              {WaitReason::kAtCap, "at-cap"},
                              {WaitReason::kExcess, "excess"}})
// How far a step that is hard to place is from a start. Room is counted in
// tasks of the step, at most all of them.
struct RoomReport {
  size_t needed = 0;            // tasks that start together
  size_t room_in_pool = 0;      // now, on any worker
  size_t room_permitted = 0;    // now, on workers that may run the step
  size_t room_unreserved = 0;   // of these, not reserved for other steps
  size_t room_with_ticket = 0;  // of these, with tickets that are valid
  size_t room_if_empty = 0;     // if the permitted workers were empty
  size_t permitted_workers = 0;
  size_t answered_workers = 0;  // permitted or refused
  size_t reserved_workers = 0;  // for this step
  // The job can't be done within its objective any more.
  bool is_late = false;
  base::Duration waited{};  // since the job was accepted
};

struct WaitingReason {
  StepKey step;
  WaitReason reason = WaitReason::kNoRoom;
  // Of gangs and of other steps that are hard to place, if the plan was to
  // report it.
  std::optional<RoomReport> room;
};

struct Plan {
  std::vector<StartRun> starts;
  size_t ready_steps = 0;  // steps with tasks that could start
  // Ready steps of which some tasks found no room on the workers that they may
  // use.
  size_t steps_without_room = 0;
  std::vector<WaitingReason> waiting;
  std::vector<AdviceRequest> advice_requests;  // most urgent first
  // Workers whose capacity is kept for steps that couldn't be placed.
  std::map<WorkerBoot, StepKey> reserved_workers;
  // Steps for all tasks of which workers are kept.
  std::set<StepKey> reserved_steps;
  // Steps that need advice, about which no worker is worth a query now.
  std::vector<StepKey> steps_without_query;
};

// Inputs of a plan that are costly to compute. Each is called at most once, and
// only if a step could start or needs advice.
struct PlanSources {
  // Workers in the table that respond and accept new work, sorted by id.
  std::function<std::vector<const WorkerRecord*>()> usable_workers;
  // Other workers in the table that will probably do so soon, as a new leader
  // has not looked at them yet. Queries name them, so that tickets are there
  // when the workers are. Unset if there are none.
  std::function<std::vector<const WorkerRecord*>()> awaited_workers;
  // Number of hosts that can send an advice query now.
  std::function<size_t()> idle_advice_hosts;
  // Whether a worker that the last plan could use responds and accepts new work
  // now. Called by MakePlanFor() only.
  std::function<bool(const WorkerBoot&)> is_usable;
  // Whether the plan reports what steps that are hard to place lack, which
  // takes a walk over the pool for each of them.
  bool reports_room = false;
};

// Not thread-safe. Lives for one term of leadership.
class Scheduler {
 public:
  Scheduler();  // knows nothing about the speed of workers
  // `speed` must outlive the scheduler.
  explicit Scheduler(const WorkerSpeed& speed);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // A job was accepted at `accepted_at`, maybe under an earlier leader. `queue`
  // is the job's queue, null if there is none.
  void OnJob(const JobRecord& job,
             const Queue* queue,
             base::Instant accepted_at);
  // An occurrence of a recurring job has begun, or a new leader found it begun.
  // Must follow OnJob(); later calls for the same are ignored.
  void OnOccurrence(const wire::JobId& job,
                    uint64_t occurrence,
                    base::Instant begun_at);
  void OnJobEnded(const wire::JobId& job);
  // A start was recorded. `table` contains it.
  void OnStart(const JobTable& table, const StartRun& start, base::Instant now);
  // The run is open in the table, because it was just started or because a new
  // leader found it there. Part of OnStart().
  void OnOpenRun(const JobTable& table,
                 const StartRun& start,
                 base::Instant now);
  // Workers were added to the table or removed from it.
  void OnWorkersChanged(const JobTable& table);
  // A run ended with any outcome.
  void OnEnd(const EndRun& end, base::Instant now);
  // A run on `worker` is stuck or a straggler and is about to be stopped.
  void OnStraggler(const TaskKey& task,
                   const WorkerBoot& worker,
                   base::Instant now);
  // A run is slow and goes on. A copy of it is started when capacity is free
  // that no waiting step needs.
  void OnSlowRun(const TaskKey& task, uint64_t run);

  // Repeats a start of an earlier plan only if that start was not applied to
  // `table`. `table` and `advice` must outlive the scheduler.
  Plan MakePlan(const JobTable& table,
                const AdviceTracker& advice,
                const PlanSources& sources,
                base::Instant now);

  // Plans only `steps`, which have just become ready or for which an answer has
  // come, and the steps of the highest class that the last plan of all steps
  // found too little room for, at a cost that depends neither on the backlog
  // nor on the number of workers. Leaves to MakePlan() what must be weighed
  // against other steps: gangs, trials, and steps of lower priority than one
  // that the last plan found no room for. The table must contain the starts of
  // earlier plans.
  Plan MakePlanFor(const std::set<StepKey>& steps,
                   const PlanSources& sources,
                   base::Instant now);

 private:
  void CountUsualStart(const JobTable& table,
                       const StartRun& start,
                       base::Instant now);
  void PauseSearches(const Plan& plan, base::Instant now);

  std::unique_ptr<Planner> planner_;          // of the last plan of all steps
  std::map<wire::JobId, JobTiming> timings_;  // of active jobs
  // Of jobs that aren't in excess; counted while customers have open runs.
  const std::unique_ptr<RecentStarts> usual_starts_;
  WorkerHealth health_;
  const WorkerSpeed& speed_;
  Trials trials_;
  // Workers on which each task failed or was a straggler.
  std::map<wire::JobId, std::map<TaskKey, std::set<wire::WorkerId>>> failed_on_;
  // Runs that should get a copy.
  std::map<TaskKey, uint64_t> slow_runs_;
  // Of the last plan of all steps.
  std::map<WorkerBoot, StepKey> reserved_workers_;
  std::set<StepKey> reserved_steps_;
  // When the search for workers to ask about is next worth its cost, for steps
  // for which the last search found none.
  std::map<StepKey, base::Instant> next_advice_search_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SCHEDULER_H_
