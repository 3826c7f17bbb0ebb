// Places the steps of a plan in their order: by class, within a class by the
// shares of their customers, and otherwise by rank.

#include <algorithm>
#include <optional>
#include <ranges>
#include <span>
#include <utility>

#include "planner.h"

namespace sassafras::jobs {

// A customer's level rises with each task that is placed for it, so a step may
// be placed in part on each of the levels.
void Planner::PlaceSteps(const std::function<void(WaitingStep&)>& on_settled) {
  std::span<WaitingStep> rest = waiting_steps_;
  while (!rest.empty()) {
    const ServiceClass first_class = rest.front().Class();
    const auto end = std::ranges::find_if(
        rest, [&](const auto& step) { return step.Class() != first_class; });
    const auto steps = rest.first(static_cast<size_t>(end - rest.begin()));
    std::optional<ShareLevel> level = ShareLevel::kWithin;
    while (level) {
      level = PlaceSteps(steps, *level, on_settled);
    }
    rest = rest.subspan(steps.size());
  }
}

std::optional<ShareLevel> Planner::PlaceSteps(
    std::span<WaitingStep> steps,
    ShareLevel level,
    const std::function<void(WaitingStep&)>& on_settled) {
  std::optional<ShareLevel> next;
  for (WaitingStep& step : steps) {
    if (step.is_settled || level > step.max_level) {
      continue;
    }
    PlaceStep(step, level);
    if (step.is_settled) {
      on_settled(step);
      continue;
    }
    const ShareLevel left = step.Level();
    if (left <= step.max_level) {
      next = std::min(next.value_or(left), left);
    }
  }
  return next;
}

void Planner::PlaceStep(WaitingStep& step, ShareLevel level) {
  if (step.Level() > level) {
    return;
  }
  step.is_settled = true;
  if (step.awaits_advice) {
    NoteWaiting(step, WaitReason::kQueryOpen);
    return;
  }
  const bool has_rest = step.placed < step.UnstartedTasks();
  if (has_rest && step.IsCapped()) {
    NoteWaiting(step, OnCapped(step));
    return;
  }
  if (has_rest && IsKeptBack(step)) {
    NoteWaiting(step, WaitReason::kExcess);
    return;
  }
  const Pool eligible = EligibleWorkers(step);
  switch (TryStep(step, eligible, level)) {
    case PlaceResult::kPlaced:
      break;
    case PlaceResult::kDeferred:
      step.is_settled = false;
      break;
    case PlaceResult::kCapped:
      NoteWaiting(step, OnCapped(step));
      break;
    case PlaceResult::kKeptBack:
      NoteWaiting(step, WaitReason::kExcess);
      break;
    case PlaceResult::kNoRoom:
      NoteWaiting(step, OnNoRoom(step, eligible));
      break;
  }
}

Planner::PlaceResult Planner::TryStep(WaitingStep& step,
                                      const Pool& eligible,
                                      ShareLevel level) {
  return step.spec->is_gang ? PlaceGang(step, eligible)
                            : PlaceTasks(step, eligible, level);
}

Planner::PlaceResult Planner::PlaceTasks(WaitingStep& step,
                                         const Pool& eligible,
                                         ShareLevel level) {
  for (; step.next_task < step.record->tasks.size(); ++step.next_task) {
    const TaskRecord& task = step.record->tasks[step.next_task];
    if (task.is_done || task.is_open || IsSuspect(task.crashes)) {
      continue;
    }
    if (step.IsCapped()) {
      return PlaceResult::kCapped;
    }
    if (step.Level() > level) {
      return PlaceResult::kDeferred;
    }
    if (IsKeptBack(step)) {
      return PlaceResult::kKeptBack;
    }
    Candidate* worker =
        ChooseWorker(step, {step.key, step.next_task}, eligible);
    if (worker == nullptr) {
      return PlaceResult::kNoRoom;
    }
    AddStart(step, *worker, step.next_task, task.NextRun());
  }
  return step.placed >= step.UnstartedTasks() ? PlaceResult::kPlaced
                                              : PlaceResult::kNoRoom;
}

void Planner::AddStart(WaitingStep& step,
                       Candidate& worker,
                       uint32_t task,
                       uint64_t run) {
  AddTask(step, worker);
  CountStarts(step, 1);
  plan_.starts.push_back({{step.key, task}, run, worker.boot()});
}

void Planner::CountStarts(WaitingStep& step, size_t tasks) {
  PoolUse::AddStarts(step.pool_use, *step.spec, tasks);
  step.placed += tasks;
  if (step.is_excess) {
    RoomForExcess(step) -= Times(step.spec->Charge(), tasks);
  }
}

// A task runs to its end whatever arrives meanwhile, so excess work that fills
// every gap delays others although it is served last. Of a customer that is
// within its share it may: that is capacity which others aren't owed.
bool Planner::IsKeptBack(const WaitingStep& step) {
  if (!step.is_excess || step.Level() == ShareLevel::kWithin) {
    return false;
  }
  if (pools_short_of_room_.contains(step.queue->service)) {
    return true;
  }
  const Resources need = Times(step.spec->Charge(), step.UnitSize());
  const Resources& room = RoomForExcess(step);
  return std::ranges::any_of(kResourceKinds, [&](auto kind) {
    return need.*kind > 0 && need.*kind > room.*kind;
  });
}

// What is free, less what usual work has taken lately: it is likely to need as
// much again soon.
Resources& Planner::RoomForExcess(const WaitingStep& step) {
  const wire::ServiceId& pool = step.queue->service;
  const auto [it, is_new] = room_for_excess_.try_emplace(pool);
  if (is_new) {
    it->second = FreeCapacityFor(step);
    it->second -= history_.usual_starts.SumOf(pool, now_);
  }
  return it->second;
}

Resources Planner::FreeCapacityFor(const WaitingStep& step) {
  Resources free;
  for (const Candidate* worker : PoolOf(step)) {
    if (!worker->reserved_for && !worker->is_unusable) {
      free += worker->free_capacity;
    }
  }
  return free;
}

// An end of any of the customer's runs may let the step start, so it is tried
// again before the next plan of all steps.
WaitReason Planner::OnCapped(const WaitingStep& step) {
  if (capped_steps_.size() < kMaxRetriedSteps) {
    capped_steps_.push_back(step.key);
  }
  return WaitReason::kAtCap;
}

WaitReason Planner::OnNoRoom(WaitingStep& step, const Pool& eligible) {
  if (!eligible.empty()) {
    NoteShortOfRoom(step);
  }
  if (quotas_.HasShares() &&
      (!eligible.empty() || !PermittedWorkers(step).empty())) {
    pools_short_of_room_.insert(step.queue->service);
  }
  if (step.queue->advice.is_required && !LimitQuery(step)) {
    return WaitReason::kAtCap;
  }
  const size_t before = plan_.advice_requests.size();
  const WaitReason reason = RequestAdviceIfNeeded(step);
  CountRequest(step, before);
  if (!IsHardToPlace(step, eligible) && !eligible.empty()) {
    return reason;
  }
  // Capacity must not go to other work while tickets are being renewed.
  Pool permitted = PermittedWorkers(step);
  if (!permitted.empty() && IsHardToPlace(step, permitted)) {
    Reserve(step, std::move(permitted));
  }
  return reason;
}

bool Planner::LimitQuery(WaitingStep& step) const {
  step.max_queried = PoolUse::CountUnclaimed(step.pool_use, *step.spec);
  return step.max_queried >= step.UnitSize();
}

void Planner::CountRequest(const WaitingStep& step, size_t requests_before) {
  if (step.pool_use == nullptr ||
      plan_.advice_requests.size() == requests_before) {
    return;
  }
  CountClaims(step, plan_.advice_requests.back().claims);
}

// A query about a gang is about all of it, though it claims no capacity.
void Planner::CountClaims(const WaitingStep& step,
                          std::span<const CapacityClaim> claims) {
  size_t tasks = step.spec->is_gang ? step.UnitSize() : 0;
  for (const CapacityClaim& it : claims) {
    tasks += it.tasks;
  }
  PoolUse::AddClaims(step.pool_use, *step.spec,
                     std::min(tasks, step.UnstartedTasks() - step.placed));
}

void Planner::HoldClaims(const WaitingStep& step) {
  if (step.IsCapped()) {
    return;
  }
  const Resources charge = step.spec->Charge();
  const auto claims = advice_.ClaimsOf(step.key);
  for (const CapacityClaim& claim : claims) {
    Candidate* worker = FindCandidate(claim.worker);
    for (size_t n = 0; worker != nullptr && n < claim.tasks; ++n) {
      if (charge.Fits(worker->free_capacity)) {
        worker->free_capacity -= charge;
      }
    }
  }
  if (step.pool_use != nullptr && advice_.HasOpenQuery(step.key)) {
    CountClaims(step, claims);
  }
}

}  // namespace sassafras::jobs
