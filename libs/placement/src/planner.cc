// A plan first ends or moves attempts, then places waiting work in the order of
// weighted dominant shares, then preempts for work that didn't fit.

#include "planner.h"

#include <algorithm>
#include <queue>
#include <ranges>

#include "orders.h"
#include "policies.h"
#include "preemption.h"

namespace sassafras::placement {
namespace {

constexpr base::Duration kBlockedRetryInterval = std::chrono::milliseconds(250);

// An owner with ready work, ordered for placement.
struct ReadyOwner {
  Share share = 0;
  Owner* owner = nullptr;

  // The owner with the lowest share per weight comes first; ties are broken by
  // slot.
  friend bool operator<(const ReadyOwner& a, const ReadyOwner& b) {
    const uint64_t left = a.share * b.owner->weight;
    const uint64_t right = b.share * a.owner->weight;
    return left != right ? left > right : a.owner->slot > b.owner->slot;
  }
};

// Whether a task of the group's first job fits on the worker. Claimed capacity
// counts as free.
bool MayFit(const Cell& cell, const JobGroup& group, const Worker& worker) {
  const Job& head = group.head();
  return worker.IsUsable() &&
         cell.TaskReservation(head).FitsIn(worker.FreeIncludingClaims());
}

}  // namespace

Plan Planner::Make(base::Instant now, const PlanLimits& limits) {
  Plan plan;
  PlanContext context{cell_, now, limits, plan};
  last_plan_ = now;
  RunTimers(context);
  quarantine_.Run(context);
  watch_.Run(context);
  parking_.Run(context);
  const std::vector<Worker*> freed = cell_.TakeFreed();
  PlaceClaimed(context, freed);
  reservation_.Run(context, !freed.empty());
  Unblock(freed);
  PlaceByShare(context);
  PreemptForBlocked(context);
  // Accelerator work that was waiting before this plan no longer is, so work
  // that was kept off accelerator hosts for it can be placed in the next plan.
  const bool is_demand_over =
      had_accelerator_demand_ && !cell_.HasAcceleratorDemand();
  plan.has_more |= cell_.HasFreed() || is_demand_over;
  return plan;
}

std::optional<base::Instant> Planner::NextDeadline() const {
  std::optional<base::Instant> next = cell_.NextTimer();
  const auto consider = [&](base::Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  const bool has_blocked = std::ranges::any_of(
      cell_.owners(), [](const Owner& it) { return !it.blocked.empty(); });
  if (has_blocked || cell_.HasFreed()) {
    consider(last_plan_ + kBlockedRetryInterval);
  }
  return next;
}

void Planner::Unblock(const std::vector<Worker*>& freed) {
  const bool is_demand_over =
      had_accelerator_demand_ && !cell_.HasAcceleratorDemand();
  const bool are_reservations_smaller =
      reservation_epoch_ != cell_.reservation_epoch();
  reservation_epoch_ = cell_.reservation_epoch();
  if (!freed.empty() || is_demand_over || are_reservations_smaller) {
    for (Owner& owner : cell_.owners()) {
      if (!owner.blocked.empty()) {
        UnblockOwner(owner, freed, {is_demand_over, are_reservations_smaller});
      }
    }
  }
  had_accelerator_demand_ = cell_.HasAcceleratorDemand();
}

void Planner::UnblockOwner(Owner& owner,
                           const std::vector<Worker*>& freed,
                           RetryCause cause) {
  std::vector<JobGroup*> groups;
  std::ranges::copy(owner.blocked | std::views::values,
                    std::back_inserter(groups));
  for (JobGroup* group : groups) {
    const auto may_fit = [&](const Worker* worker) {
      return MayFit(cell_, *group, *worker);
    };
    // This work may have been kept off accelerator hosts that have enough free
    // capacity, so no worker needs to be freed for it.
    const bool was_restricted =
        (cause.is_demand_over || cell_.HasAcceleratorDemand()) &&
        group->key.kind == wire::JobKind::kBatch &&
        group->key.declared.accelerators == 0;
    const bool may_fit_now =
        group->block == BlockReason::kQuota
            ? !freed.empty()
            : was_restricted || group->key.kind == wire::JobKind::kGang ||
                  std::ranges::any_of(freed, may_fit);
    const bool may_unblock = may_fit_now || cause.are_reservations_smaller;
    if (may_unblock) {
      cell_.SetBlock(*group, BlockReason::kNone);
    }
  }
}

void Planner::PlaceClaimed(PlanContext& context,
                           const std::vector<Worker*>& freed) {
  for (Worker* worker : freed) {
    const std::vector<Task*> claimants = worker->claimants;
    for (Task* task : claimants) {
      const Job& job = *task->job;
      const wire::Resources need = cell_.TaskReservation(job);
      const bool fits = worker->IsUsable() &&
                        need.FitsIn(worker->Free() + task->claim) &&
                        cell_.IsWithinQuota(*job.owner, need);
      // A gang is only placed as a whole, see Reservation::TryStart.
      const bool may_start = job.spec.kind != wire::JobKind::kGang;
      if (fits && may_start && context.MayAssign()) {
        context.plan.groups.emplace_back();
        Place(context, *task, {worker, 1, "capacity preempted for it"}, need);
      }
    }
  }
}

void Planner::PlaceByShare(PlanContext& context) {
  std::priority_queue<ReadyOwner> ready_owners;
  for (Owner& owner : cell_.owners()) {
    if (!owner.ready.empty()) {
      ready_owners.push({cell_.ShareOf(owner.reserved), &owner});
    }
  }
  while (!ready_owners.empty()) {
    if (!context.MayAssign()) {
      context.plan.has_more = true;
      return;
    }
    Owner& owner = *ready_owners.top().owner;
    ready_owners.pop();
    if (PlaceNext(context, owner)) {
      ready_owners.push({cell_.ShareOf(owner.reserved), &owner});
    }
  }
}

bool Planner::PlaceNext(PlanContext& context, Owner& owner) {
  if (owner.ready.empty()) {
    return false;
  }
  Job& job = owner.ready.begin()->second->head();
  const BlockReason block = TryPlace(context, job);
  if (block == BlockReason::kNone) {
    return true;
  }
  if (block == BlockReason::kCapacity && reservation_.Backfill(context, job)) {
    return true;
  }
  // A failed trial placement of a gang requeues the job, so its group may have
  // changed.
  cell_.SetBlock(*job.group, block);
  return true;
}

}  // namespace sassafras::placement
