// Builds one plan: sorts the waiting steps, chooses workers for their tasks,
// reserves workers for steps that are hard to place, and requests advice.

#ifndef JOBS_SRC_PLANNER_H_
#define JOBS_SRC_PLANNER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/job_timing.h"
#include "jobs/scheduler.h"
#include "jobs/trials.h"
#include "jobs/types.h"
#include "jobs/worker_health.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

// State of one worker while a plan is made.
struct Candidate {
  const WorkerRecord* record = nullptr;
  // What is left by runs and by the claims of steps of higher rank.
  Resources free_capacity;
  // Part of `free_capacity` claimed by advice requests of this plan whose
  // claims don't keep other work away.
  Resources claimed_for_advice;
  bool is_on_probation = false;  // see WorkerHealth::IsOnProbation
  SpeedClass speed = SpeedClass::kNormal;
  bool is_unusable = false;  // has become so since the last plan of all steps
  bool is_reserved = false;  // reserved for a step of higher rank
  // Reserved in the last plan, and so perhaps in this one for a step that is
  // placed later.
  bool was_reserved = false;
  bool has_fillers = false;
  // Runs long-running tasks with a latency target.
  bool has_user_serving_tasks = false;
  // Closed to other jobs, because a suspect of this one is on trial there or
  // soon will be.
  std::optional<wire::JobId> job_on_trial;
  // Steps with a max_per_worker limit of which this plan places tasks here, one
  // element for each task.
  std::vector<StepKey> placed_steps;

  const WorkerInfo& info() const { return record->info; }
  const WorkerBoot& boot() const { return record->info.boot; }
};

using Pool = std::vector<Candidate*>;

// Steps of a lower class are served first.
struct ServiceClass {
  bool is_missed = false;
  uint32_t priority = 0;

  friend auto operator<=>(const ServiceClass&, const ServiceClass&) = default;
};

// A step with tasks to start. Steps are served in the order of Rank().
struct WaitingStep {
  const JobRecord* job = nullptr;
  const Queue* queue = nullptr;
  const StepSpec* spec = nullptr;
  const StepRecord* record = nullptr;
  StepKey key;
  DueTime due;
  bool is_ready = false;       // the steps that it depends on are done
  bool awaits_advice = false;  // the first query about it is in flight
  size_t suspects_placed = 0;  // tasks that this plan starts in a trial

  // Number of tasks that neither run nor are done.
  size_t MissingTasks() const {
    return record->tasks.size() - record->done - record->open;
  }
  ServiceClass Class() const { return {due.is_missed, queue->priority}; }
  auto Rank() const {
    return std::tuple(Class(), due.at, job->order, key.step);
  }
};

// Cost of placing a task on a worker; the lowest is best. By order of
// importance: avoid workers on probation, avoid interference between fillers
// and tasks with a latency target, stay near the data, leave reserved workers
// to the steps that wait for them, match the worker's speed, pack accelerators,
// spread processor load.
struct PlacementCost {
  bool is_on_probation = false;
  bool has_interference = false;
  bool is_remote = false;
  bool was_reserved = false;
  uint32_t speed_rank = 0;
  int64_t accelerators_left = 0;
  // Negated free cpu_milli, so that the emptiest worker is best.
  int64_t negated_free_cpu = 0;

  friend auto operator<=>(const PlacementCost&, const PlacementCost&) = default;
};

// Takes the capacity of one task of the step.
void AddTask(const WaitingStep& step, Candidate& worker);
// Whether any task of the step must be started in a trial.
bool HasSuspects(const WaitingStep& step);
// Whether the worker could run a task of the step if it were empty.
bool IsEligible(const WaitingStep& step, const Candidate& worker);
// Whether a task of the step fits on the worker now.
bool HasFreeCapacity(const WaitingStep& step, const Candidate& worker);
PlacementCost CostOf(const WaitingStep& step, const Candidate& worker);
// Returns how many tasks of the step fit into `free_capacity`, at most the
// step's count.
size_t CountFitting(const WaitingStep& step, const Resources& free_capacity);

// Workers on which each task of a job failed or was a straggler.
using FailedOn =
    std::map<wire::JobId, std::map<TaskKey, std::set<wire::WorkerId>>>;

// Read-only view of what the scheduler remembers between plans.
struct SchedulerHistory {
  const std::map<wire::JobId, JobTiming>& timings;
  const WorkerHealth& health;
  const WorkerSpeed& speed;
  const Trials& trials;
  const FailedOn& failed_on;
  const std::set<WorkerBoot>& reserved_workers;  // of the last plan
  const std::map<StepKey, base::Instant>& next_advice_search;
};

// Makes one plan of all steps, and after it plans of a few steps. Not
// thread-safe. Keeps references to the table, the tracker and what `history`
// refers to.
class Planner {
 public:
  Planner(const JobTable& table,
          const AdviceTracker& advice,
          const SchedulerHistory& history);

  // Plans all steps.
  Plan Make(const PlanSources& sources, base::Instant now);
  // Plans only `steps`, with the workers that Make() collected.
  Plan MakeFor(const std::set<StepKey>& steps,
               const PlanSources& sources,
               base::Instant now);

 private:
  // A worker that an advice request may name.
  struct AdviceCandidate {
    Candidate* worker = nullptr;
    // Tasks of the step that fit into capacity not claimed by other requests.
    size_t fitting = 0;
  };

  void CollectWorkers(std::span<const WorkerRecord* const> usable);
  Candidate MakeCandidate(const WorkerRecord& record) const;
  void CollectSteps();
  void CollectSteps(const JobRecord& job,
                    const Queue& queue,
                    uint64_t occurrence,
                    const std::vector<StepRecord>& steps);
  void CollectStep(const JobRecord& job,
                   const Queue& queue,
                   uint64_t occurrence,
                   const std::vector<StepRecord>& steps,
                   uint32_t n);
  void CollectStep(const StepKey& key);
  // Remembers that the tickets of the step are for workers without room.
  void NoteShortOfRoom(const WaitingStep& step);
  // Whether the step can be planned without a look at the other steps.
  bool IsIndependent(const WaitingStep& step) const;
  // Updates the workers on which the step may start to the table's state.
  void RefreshWorkers(const WaitingStep& step, const PlanSources& sources);
  DueTime DueTimeOf(const WaitingStep& step) const;

  void PlaceSuspects(WaitingStep& step);
  Candidate* ChooseTrialWorker(const WaitingStep& step,
                               const TaskKey& task,
                               const Pool& eligible);
  void CloseWorkerForTrial(const WaitingStep& step, const Pool& eligible);
  bool CanCloseWorker(const WaitingStep& step);
  std::optional<base::Instant> LastStartOfOthers(const WaitingStep& step,
                                                 const Candidate& worker) const;
  void PlaceStep(const WaitingStep& step);
  Pool EligibleWorkers(const WaitingStep& step);
  Pool PermittedWorkers(const WaitingStep& step);
  Pool CandidatesOf(const WaitingStep& step,
                    std::span<const WorkerBoot* const> boots);
  Candidate* FindCandidate(const WorkerBoot& boot);
  const Pool& PoolOf(const WaitingStep& step);
  // Whether some worker of the pool may have room for a task of the step, as
  // far as this plan has found out.
  bool MayFitSomewhere(const WaitingStep& step) const;
  void PlaceTasks(const WaitingStep& step, const Pool& eligible);
  void PlaceGang(const WaitingStep& step, const Pool& eligible);
  bool TryGang(const WaitingStep& step,
               const Pool& eligible,
               const std::string& rack);
  std::set<wire::WorkerId> FailuresOfGang(const WaitingStep& step) const;
  const std::set<wire::WorkerId>* FailuresOf(const TaskKey& task) const;
  Candidate* ChooseWorker(const WaitingStep& step,
                          const TaskKey& task,
                          const Pool& eligible) const;
  // Keeps the capacity that the step's open query has claimed from the steps
  // that are placed later.
  void HoldClaims(const WaitingStep& step);
  void Reserve(const WaitingStep& step, Pool eligible);

  // Returns why the step has to wait.
  WaitReason RequestAdviceIfNeeded(const WaitingStep& step);
  bool CanRequestAdvice(const WaitingStep& step) const;
  void RequestAdvice(const WaitingStep& step);
  // Whether the gang has room for so many of its tasks on permitted workers
  // that the rest is likely to come free while its tickets are renewed.
  bool IsNearlyPlaceable(const WaitingStep& step,
                         std::span<const AdviceCandidate> permitted,
                         size_t fitting) const;
  bool IsAdviceSearchDue(const WaitingStep& step,
                         std::span<const AdviceCandidate> permitted) const;
  AdviceCandidate ToAdviceCandidate(const WaitingStep& step,
                                    Candidate* worker) const;
  std::vector<AdviceCandidate> PermittedCandidates(const WaitingStep& step);
  std::vector<AdviceCandidate> UnknownCandidates(const WaitingStep& step);
  void AddAdviceRequest(const WaitingStep& step,
                        std::vector<AdviceCandidate> candidates,
                        size_t claimed,
                        double permitted_share);
  // Asks where most of the step's tasks are likely to be placed by the answer.
  void RequestTaskAdvice(const WaitingStep& step);
  void RequestGangAdvice(const WaitingStep& step);
  // Asks about a step that nothing is known about, without capacity for it.
  void RequestEarlyAdvice(const WaitingStep& step,
                          std::vector<AdviceCandidate> unknown);
  // Whether the permitted workers could run the gang if they were empty.
  static bool HasPermittedCapacity(const WaitingStep& step,
                                   std::span<const AdviceCandidate> permitted);
  static size_t CountFittingTasks(std::span<const AdviceCandidate> candidates);

  const JobTable& table_;
  const AdviceTracker& advice_;
  const SchedulerHistory history_;
  base::Instant now_;  // of the plan that is being made
  // The table's when the workers were collected; none if they weren't yet.
  std::optional<uint64_t> worker_set_version_;
  // Sorted by id; not resized after CollectWorkers. Valid while the table has
  // the version above.
  std::vector<Candidate> workers_;
  std::map<wire::ServiceId, Pool> pools_;  // points into `workers_`
  std::unordered_map<std::string_view, Candidate*> workers_by_id_;
  // The most of each resource that any worker of the pool had free when the
  // plan was begun.
  std::map<wire::ServiceId, Resources> most_free_;
  std::vector<WaitingStep> waiting_steps_;
  // Steps that are nearly ready and have no advice yet.
  std::vector<WaitingStep> upcoming_steps_;
  size_t idle_advice_hosts_ = 0;
  // Requests for steps without enough free capacity.
  size_t early_requests_ = 0;
  // Needs of tasks for which a look at a whole pool found no room.
  std::map<wire::ServiceId, std::vector<Resources>> needs_without_room_;
  // The best class of a step that the plan of all steps found no room for, and
  // the steps of that class that it couldn't place as a whole, by rank.
  std::optional<ServiceClass> best_without_room_;
  std::vector<StepKey> short_of_room_;
  Plan plan_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_PLANNER_H_
