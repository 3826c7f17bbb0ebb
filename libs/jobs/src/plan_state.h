// What a plan knows of each worker and of each step while it is made, and how
// the two fit together.

#ifndef JOBS_SRC_PLAN_STATE_H_
#define JOBS_SRC_PLAN_STATE_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <tuple>
#include <vector>

#include "customer_quotas.h"
#include "jobs/job_table.h"
#include "jobs/job_timing.h"
#include "jobs/types.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

// Steps of a lower class are served first, and within a class those of a lower
// ShareLevel.
struct ServiceClass {
  bool is_excess = false;
  bool is_missed = false;
  uint32_t priority = 0;

  friend auto operator<=>(const ServiceClass&, const ServiceClass&) = default;
};

// State of one worker while a plan is made.
struct Candidate {
  const WorkerRecord* record = nullptr;
  // What is left by runs and by the claims of steps of higher rank.
  Resources free_capacity;
  // Part of `free_capacity` claimed by advice requests of this plan whose
  // claims don't keep other work away.
  Resources claimed_for_advice;
  bool is_on_probation = false;  // see WorkerHealth::IsOnProbation
  double speed = 1;              // in relation to the typical worker
  int32_t pace = 0;  // steps of speed above the typical; negative if slower
  // Has become so since the last plan of all steps, or is awaited.
  bool is_unusable = false;
  bool is_awaited = false;  // will probably be usable soon
  // The step for which the worker is kept free, and the class of that step.
  std::optional<StepKey> reserved_for;
  ServiceClass reserved_class;
  // The same in the last plan, and so perhaps in this one for a step that is
  // placed later.
  std::optional<StepKey> was_reserved_for;
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

// A step with tasks to start. Steps of one share level are served in the order
// of Rank().
struct WaitingStep {
  const JobRecord* job = nullptr;
  const Queue* queue = nullptr;
  const StepSpec* spec = nullptr;
  const StepRecord* record = nullptr;
  StepKey key;
  DueTime due;
  bool is_ready = false;       // the steps that it depends on are done
  bool awaits_advice = false;  // the first query about it is in flight
  bool is_excess = false;      // the job is
  // The last plan kept workers free for all its tasks. It comes before others
  // of its class: newer work of an earlier due time would otherwise take these
  // workers one by one as they become free.
  bool has_reservation = false;
  PoolUse* pool_use = nullptr;  // of its customer
  // It waits for the next plan beyond this level.
  ShareLevel max_level = ShareLevel::kFarBeyond;
  // State of the plan that is being made.
  bool is_settled = false;  // nothing more is decided about it
  size_t placed = 0;        // tasks that the plan starts
  uint32_t next_task = 0;   // earlier tasks aren't looked at again
  // The relative speed that a worker needs to run the step in time; infinity if
  // the step should run on the fastest.
  double needed_speed = 0;
  // Tasks for which the customer's cap allows a query.
  size_t max_queried = std::numeric_limits<size_t>::max();

  // Number of tasks that neither run nor are done.
  size_t UnstartedTasks() const { return record->Waiting(); }
  // The same, as far as a query may be about them.
  size_t MissingTasks() const {
    return std::min(UnstartedTasks(), max_queried);
  }
  // Number of tasks that start together.
  size_t UnitSize() const { return spec->is_gang ? record->tasks.size() : 1; }
  ShareLevel Level() const {
    return PoolUse::LevelOf(pool_use, *spec, UnitSize());
  }
  // Whether the customer's cap keeps the next tasks from starting.
  bool IsCapped() const {
    return PoolUse::CountStartable(pool_use, *spec) < UnitSize();
  }
  ServiceClass Class() const {
    return {is_excess, due.is_missed, queue->priority};
  }
  auto Rank() const {
    return std::tuple(Class(), !has_reservation, due.at, job->order, key.step);
  }
};

// Cost of placing a task on a worker; the lowest is best. By order of
// importance: avoid workers on probation, avoid interference between fillers
// and tasks with a latency target, stay near the data, leave reserved workers
// to the steps that wait for them, match the worker's speed (see SpeedRank),
// pack accelerators, spread processor load.
struct PlacementCost {
  bool is_on_probation = false;
  bool has_interference = false;
  bool is_remote = false;
  bool was_reserved = false;
  int32_t speed_rank = 0;
  int64_t accelerators_left = 0;
  // Negated free cpu_milli, so that the emptiest worker is best.
  int64_t negated_free_cpu = 0;

  friend auto operator<=>(const PlacementCost&, const PlacementCost&) = default;
};

// Returns the number of tasks of the step on the worker.
size_t CountTasks(const StepKey& step, const Candidate& worker);
// Takes the capacity of one task of the step.
void AddTask(const WaitingStep& step, Candidate& worker);
// Whether any task of the step must be started in a trial.
bool HasSuspects(const WaitingStep& step);
// Whether the worker isn't kept free for another step that comes first.
bool IsOpenTo(const WaitingStep& step, const Candidate& worker);
// Whether the worker could run a task of the step if it were empty.
bool IsEligible(const WaitingStep& step, const Candidate& worker);
// Whether a task of the step would fit on the worker if that were usable.
bool HasRoom(const WaitingStep& step, const Candidate& worker);
// Whether a task of the step fits on the worker now.
bool HasFreeCapacity(const WaitingStep& step, const Candidate& worker);
// Returns how many noticeable steps a relative speed is above that of the
// typical worker.
int32_t PaceOf(double speed);
PlacementCost CostOf(const WaitingStep& step, const Candidate& worker);
// Returns how many tasks of the step fit into `free_capacity`, at most the
// step's count.
size_t CountFitting(const WaitingStep& step, const Resources& free_capacity);
// The same for what is free on the worker, reserved or not; 0 if that is
// unusable.
size_t CountFittingNow(const WaitingStep& step, const Candidate& worker);
// Whether the step is a gang, or one of its tasks takes more than half of every
// eligible worker. Without a reservation, smaller work would fill every gap
// before such a step finds one.
bool IsHardToPlace(const WaitingStep& step, const Pool& eligible);

}  // namespace sassafras::jobs

#endif  // JOBS_SRC_PLAN_STATE_H_
