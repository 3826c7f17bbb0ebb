// Makes a plan of all steps and chooses workers for their tasks.

#include "planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <ranges>

namespace sassafras::jobs {
namespace {

// Workers that differ by less than this factor (e to this) count as equally
// fast. The error of an estimate is about half of it.
constexpr double kSpeedStep = 0.3;
// A worker at less than this speed, which may be stuck, is used last.
constexpr double kMinUsefulSpeed = 0.35;
// Ranks workers that a step can use before all others.
constexpr int32_t kTooSlow = 100;

// Ranks workers by the expected end of a task; the lowest rank is best. Of the
// workers that are fast enough for the step, the slowest is best, which leaves
// the fast ones to steps that need them. Otherwise the fastest is.
int32_t SpeedRank(const WaitingStep& step, const Candidate& worker) {
  return worker.speed >= std::max(step.needed_speed, kMinUsefulSpeed)
             ? worker.pace
             : kTooSlow - worker.pace;
}

}  // namespace

size_t CountTasks(const StepKey& step, const Candidate& worker) {
  const auto open = std::ranges::count(worker.record->runs, step,
                                       [](auto& run) { return run.task.step; });
  const auto placed = std::ranges::count(worker.placed_steps, step);
  return static_cast<size_t>(open + placed);
}

void AddTask(const WaitingStep& step, Candidate& worker) {
  worker.free_capacity -= step.spec->Charge();
  worker.has_fillers |= step.spec->is_filler;
  worker.has_user_serving_tasks |= step.spec->ServesUsers();
  if (step.spec->max_per_worker > 0) {
    worker.placed_steps.push_back(step.key);
  }
}

bool IsEligible(const WaitingStep& step, const Candidate& worker) {
  const std::string& label = step.spec->required_label;
  const auto& labels = worker.info().labels;
  return (label.empty() || std::ranges::find(labels, label) != labels.end()) &&
         step.spec->Charge().Fits(worker.info().capacity);
}

bool IsOpenTo(const WaitingStep& step, const Candidate& worker) {
  return !worker.reserved_for || worker.reserved_for == step.key ||
         step.Class() < worker.reserved_class;
}

bool HasRoom(const WaitingStep& step, const Candidate& worker) {
  const bool is_closed =
      !IsOpenTo(step, worker) ||
      (worker.job_on_trial && *worker.job_on_trial != step.key.job);
  if (is_closed || !step.spec->Charge().Fits(worker.free_capacity)) {
    return false;
  }
  return step.spec->max_per_worker == 0 ||
         CountTasks(step.key, worker) < step.spec->max_per_worker;
}

bool HasFreeCapacity(const WaitingStep& step, const Candidate& worker) {
  return !worker.is_unusable && HasRoom(step, worker);
}

int32_t PaceOf(double speed) {
  return static_cast<int32_t>(std::lround(std::log(speed) / kSpeedStep));
}

PlacementCost CostOf(const WaitingStep& step, const Candidate& worker) {
  const bool is_remote = !step.spec->data_rack.empty() &&
                         worker.info().rack != step.spec->data_rack;
  const bool has_interference =
      (step.spec->is_filler && worker.has_user_serving_tasks) ||
      (step.spec->ServesUsers() && worker.has_fillers);
  return {worker.is_on_probation,
          has_interference,
          is_remote,
          worker.was_reserved_for && worker.was_reserved_for != step.key,
          SpeedRank(step, worker),
          worker.free_capacity.accelerators - step.spec->need.accelerators,
          -worker.free_capacity.cpu_milli};
}

size_t CountFitting(const WaitingStep& step, const Resources& free_capacity) {
  const Resources charge = step.spec->Charge();
  if (!charge.Fits(free_capacity)) {
    return 0;
  }
  auto fitting = static_cast<int64_t>(step.spec->count);
  for (const auto resource : kResourceKinds) {
    if (charge.*resource > 0) {
      fitting = std::min(fitting, free_capacity.*resource / charge.*resource);
    }
  }
  return static_cast<size_t>(fitting);
}

size_t CountFittingNow(const WaitingStep& step, const Candidate& worker) {
  return worker.is_unusable ? 0 : CountFitting(step, worker.free_capacity);
}

bool IsHardToPlace(const WaitingStep& step, const Pool& eligible) {
  const Resources twice = Times(step.spec->Charge(), 2);
  return step.spec->is_gang ||
         std::ranges::none_of(eligible, [&](const Candidate* worker) {
           return twice.Fits(worker->info().capacity);
         });
}

Planner::Planner(const JobTable& table,
                 const AdviceTracker& advice,
                 const SchedulerHistory& history)
    : table_(table), advice_(advice), history_(history), quotas_(table) {}

Plan Planner::Make(const PlanSources& sources, base::Instant now) {
  now_ = now;
  reports_room_ = sources.reports_room;
  CollectSteps();
  quotas_.AddRunningCustomers();
  if (upcoming_steps_.empty() && history_.slow_runs.empty() &&
      std::ranges::all_of(waiting_steps_, &WaitingStep::awaits_advice)) {
    return {};
  }
  idle_advice_hosts_ = sources.idle_advice_hosts();
  CollectWorkers(sources);
  quotas_.FixShares();
  plan_.ready_steps = waiting_steps_.size();
  std::ranges::sort(waiting_steps_, {}, &WaitingStep::Rank);
  // Suspects first, so that workers which are kept free of other young runs for
  // them don't get any from steps of higher rank.
  std::ranges::for_each(waiting_steps_,
                        [this](auto& step) { PlaceSuspects(step); });
  PlaceSteps([this](const WaitingStep& step) { HoldClaims(step); });
  PlaceCopies();
  std::ranges::sort(upcoming_steps_, {}, &WaitingStep::Rank);
  for (WaitingStep& step : upcoming_steps_) {
    if (CanRequestAdvice(step) && LimitQuery(step)) {
      const size_t before = plan_.advice_requests.size();
      RequestAdvice(step);
      CountRequest(step, before);
    }
  }
  return std::exchange(plan_, {});
}

// Returns the workers on which the step may start now and could run if they
// were empty.
Pool Planner::EligibleWorkers(const WaitingStep& step) {
  if (!step.queue->advice.is_required) {
    return PermittedWorkers(step);
  }
  return CandidatesOf(step, advice_.AllowedWorkers(step.key, now_));
}

// The same, but for tickets that must be renewed first.
Pool Planner::PermittedWorkers(const WaitingStep& step) {
  if (step.queue->advice.is_required) {
    return CandidatesOf(step, advice_.PermittedWorkers(step.key));
  }
  Pool permitted = PoolOf(step);
  std::erase_if(permitted, [&](const Candidate* worker) {
    return !IsEligible(step, *worker);
  });
  return permitted;
}

Pool Planner::CandidatesOf(const WaitingStep& step,
                           std::span<const WorkerBoot* const> boots) {
  Pool candidates;
  for (const WorkerBoot* boot : boots) {
    Candidate* worker = FindCandidate(*boot);
    if (worker != nullptr && IsEligible(step, *worker)) {
      candidates.push_back(worker);
    }
  }
  return candidates;
}

Candidate* Planner::FindCandidate(const WorkerBoot& boot) {
  const auto it = workers_by_id_.find(boot.id.str());
  return it != workers_by_id_.end() && it->second->boot() == boot ? it->second
                                                                  : nullptr;
}

const Pool& Planner::PoolOf(const WaitingStep& step) {
  return pools_[step.queue->service];
}

bool Planner::MayFitSomewhere(const WaitingStep& step) const {
  const Resources charge = step.spec->Charge();
  const auto needs = needs_without_room_.find(step.queue->service);
  if (needs != needs_without_room_.end() &&
      std::ranges::any_of(needs->second,
                          [&](auto& need) { return need.Fits(charge); })) {
    return false;
  }
  const auto it = most_free_.find(step.queue->service);
  return it != most_free_.end() && charge.Fits(it->second);
}

// Returns the workers on which the task failed or was a straggler, or null if
// there are none.
const std::set<wire::WorkerId>* Planner::FailuresOf(const TaskKey& task) const {
  const auto job = history_.failed_on.find(task.step.job);
  if (job == history_.failed_on.end()) {
    return nullptr;
  }
  const auto it = job->second.find(task);
  return it == job->second.end() ? nullptr : &it->second;
}

// Returns the worker with the lowest cost among those with free capacity, or
// null if there is none. Workers on which the task failed or was a
// straggler are used only if there is no other.
Candidate* Planner::ChooseWorker(const WaitingStep& step,
                                 const TaskKey& task,
                                 const Pool& eligible) const {
  const std::set<wire::WorkerId>* failures = FailuresOf(task);
  Candidate* best = nullptr;
  std::pair<bool, PlacementCost> best_cost;
  for (Candidate* worker : eligible) {
    if (!HasFreeCapacity(step, *worker)) {
      continue;
    }
    const bool has_failed =
        failures != nullptr && failures->contains(worker->boot().id);
    const std::pair cost(has_failed, CostOf(step, *worker));
    if (best == nullptr || cost < best_cost) {
      best = worker;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace sassafras::jobs
