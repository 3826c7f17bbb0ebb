// Builds one plan: sorts the waiting steps, chooses workers for their tasks,
// reserves workers for steps that are hard to place, and requests advice.

#ifndef JOBS_SRC_PLANNER_H_
#define JOBS_SRC_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "customer_quotas.h"
#include "jobs/advice.h"
#include "jobs/job_table.h"
#include "jobs/job_timing.h"
#include "jobs/scheduler.h"
#include "jobs/trials.h"
#include "jobs/types.h"
#include "jobs/worker_health.h"
#include "jobs/worker_speed.h"
#include "plan_state.h"
#include "recent_starts.h"

namespace sassafras::jobs {

// Steps of a kind that each plan of a few steps tries again.
inline constexpr size_t kMaxRetriedSteps = 32;

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
  // Of the last plan.
  const std::map<WorkerBoot, StepKey>& reserved_workers;
  const std::set<StepKey>& reserved_steps;
  const std::map<StepKey, base::Instant>& next_advice_search;
  const RecentStarts& usual_starts;  // of jobs that aren't in excess
  const std::map<TaskKey, uint64_t>& slow_runs;  // that should get a copy
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
  // What an advice request is to achieve, in tasks of the step.
  struct AdviceGoal {
    double claimed = 0;   // for which room on the candidates is claimed
    double capacity = 0;  // that the workers named for a gang should have
  };

  void CollectWorkers(const PlanSources& sources);
  void SetPoolCapacities();
  void AddCandidate(const WorkerRecord& record, bool is_awaited);
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
  double NeededSpeedOf(const WaitingStep& step) const;

  // Places the steps in their order, and calls `on_settled` for each once
  // everything about it is decided.
  void PlaceSteps(const std::function<void(WaitingStep&)>& on_settled);
  void PlaceSuspects(WaitingStep& step);
  Candidate* ChooseTrialWorker(const WaitingStep& step,
                               const TaskKey& task,
                               const Pool& eligible);
  void CloseWorkerForTrial(const WaitingStep& step, const Pool& eligible);
  bool CanCloseWorker(const WaitingStep& step);
  std::optional<base::Instant> LastStartOfOthers(const WaitingStep& step,
                                                 const Candidate& worker) const;
  // Why a step isn't placed any further.
  enum class PlaceResult {
    kPlaced,  // as a whole
    kNoRoom,
    kCapped,    // by the customer's cap
    kKeptBack,  // in excess, and others need the room
    kDeferred,  // the next tasks are of a higher share level
  };
  // Returns the lowest level of a step that is left for a later pass.
  std::optional<ShareLevel> PlaceSteps(
      std::span<WaitingStep> steps,
      ShareLevel level,
      const std::function<void(WaitingStep&)>& on_settled);
  void PlaceStep(WaitingStep& step, ShareLevel level);
  PlaceResult TryStep(WaitingStep& step,
                      const Pool& eligible,
                      ShareLevel level);
  // Whether the step is in excess and must leave the pool's room to others.
  bool IsKeptBack(const WaitingStep& step);
  Resources& RoomForExcess(const WaitingStep& step);
  // Returns what is free in the step's pool on workers that can be used.
  Resources FreeCapacityFor(const WaitingStep& step);
  WaitReason OnCapped(const WaitingStep& step);
  // Notes why the step waits, and what it lacks if the plan reports that.
  void NoteWaiting(const WaitingStep& step, WaitReason reason);
  RoomReport MakeRoomReport(const WaitingStep& step);
  // Requests advice or reserves capacity for a step without room.
  WaitReason OnNoRoom(WaitingStep& step, const Pool& eligible);
  void PlaceCopies();
  void PlaceCopy(const TaskKey& key, uint64_t run);
  // Whether the pool has room for a copy beside what its waiting steps need.
  bool LeavesRoom(const WaitingStep& copy);
  Pool EligibleWorkers(const WaitingStep& step);
  Pool PermittedWorkers(const WaitingStep& step);
  Pool CandidatesOf(const WaitingStep& step,
                    std::span<const WorkerBoot* const> boots);
  Candidate* FindCandidate(const WorkerBoot& boot);
  const Pool& PoolOf(const WaitingStep& step);
  // Whether some worker of the pool may have room for a task of the step, as
  // far as this plan has found out.
  bool MayFitSomewhere(const WaitingStep& step) const;
  PlaceResult PlaceTasks(WaitingStep& step,
                         const Pool& eligible,
                         ShareLevel level);
  PlaceResult PlaceGang(WaitingStep& step, const Pool& eligible);
  bool TryGang(WaitingStep& step,
               const Pool& eligible,
               const std::string& rack);
  std::set<wire::WorkerId> FailuresOfGang(const WaitingStep& step) const;
  const std::set<wire::WorkerId>* FailuresOf(const TaskKey& task) const;
  Candidate* ChooseWorker(const WaitingStep& step,
                          const TaskKey& task,
                          const Pool& eligible) const;
  // Counts starts of the step's tasks.
  void CountStarts(WaitingStep& step, size_t tasks);
  void AddStart(WaitingStep& step,
                Candidate& worker,
                uint32_t task,
                uint64_t run);
  // Keeps the capacity that the step's open query has claimed from the steps
  // that are placed later.
  void HoldClaims(const WaitingStep& step);
  void ReleaseReservation(const WaitingStep& step);
  void Reserve(const WaitingStep& step, Pool permitted);
  // Returns how many more workers of its pool may be kept for the step.
  size_t CountReservable(const WaitingStep& step);

  // Whether the customer's cap leaves something to ask about, beside what its
  // other queries are about. Limits the query to that.
  bool LimitQuery(WaitingStep& step) const;
  // Counts what a request added after the first `requests_before` is about.
  void CountRequest(const WaitingStep& step, size_t requests_before);
  void CountClaims(const WaitingStep& step,
                   std::span<const CapacityClaim> claims);
  // Returns why the step has to wait.
  WaitReason RequestAdviceIfNeeded(const WaitingStep& step);
  // Whether a query about the step is in flight that must end before the next.
  bool AwaitsAnswer(const WaitingStep& step) const;
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
  static size_t ChooseWorkersToName(const WaitingStep& step,
                                    const AdviceGoal& goal,
                                    std::span<AdviceCandidate> candidates);
  static size_t CountForCapacity(const WaitingStep& step,
                                 const AdviceGoal& goal,
                                 std::span<const AdviceCandidate> candidates);
  void AddAdviceRequest(const WaitingStep& step,
                        std::vector<AdviceCandidate> candidates,
                        const AdviceGoal& goal);
  // Asks where most of the step's tasks are likely to be placed by the answer.
  void RequestTaskAdvice(const WaitingStep& step);
  void RequestGangAdvice(const WaitingStep& step);
  bool RequestRenewal(const WaitingStep& step,
                      std::vector<AdviceCandidate> permitted,
                      size_t fitting);
  // Asks about a step that nothing is known about, without capacity for it.
  void RequestEarlyAdvice(const WaitingStep& step,
                          std::vector<AdviceCandidate> unknown);
  // Whether the permitted workers could run the gang if they were empty.
  static bool HasPermittedCapacity(const WaitingStep& step,
                                   std::span<const AdviceCandidate> permitted);
  // Returns how many tasks of the gang the permitted workers could run if they
  // were empty, but for those that are kept for other steps.
  static size_t PermittedCapacity(const WaitingStep& step,
                                  std::span<const AdviceCandidate> permitted);
  double CapacityToSearch(const WaitingStep& step,
                          std::span<const AdviceCandidate> permitted) const;
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
  CustomerQuotas quotas_;
  std::vector<WaitingStep> waiting_steps_;
  // Steps that are nearly ready and have no advice yet.
  std::vector<WaitingStep> upcoming_steps_;
  size_t idle_advice_hosts_ = 0;
  // Requests for steps without enough free capacity.
  size_t early_requests_ = 0;
  // Needs of tasks for which a look at a whole pool found no room.
  std::map<wire::ServiceId, std::vector<Resources>> needs_without_room_;
  // The best class of a step that the plan of all steps found no room for, and
  // the first steps of that class that it couldn't place as a whole.
  std::optional<ServiceClass> best_without_room_;
  std::vector<StepKey> short_of_room_;
  // Beyond this level, steps of that class have to wait for others of it.
  ShareLevel max_level_without_room_ = ShareLevel::kFarBeyond;
  // The first steps that a cap kept from starting, by rank.
  std::vector<StepKey> capped_steps_;
  // Pools where no more workers may be kept for a step. Steps that come later
  // get none either, or narrow ones would be preferred to wide ones.
  std::set<wire::ServiceId> pools_fully_reserved_;
  // Pools where a step has found no room on the workers that it may use.
  std::set<wire::ServiceId> pools_short_of_room_;
  // What excess steps of customers beyond their share may take of each pool.
  std::map<wire::ServiceId, Resources> room_for_excess_;
  bool reports_room_ = false;  // see PlanSources
  Plan plan_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_PLANNER_H_
