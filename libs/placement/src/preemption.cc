// Victims are searched from the lowest priority up, on a bounded number of
// workers.

#include "preemption.h"

#include <algorithm>
#include <limits>
#include <map>
#include <ranges>
#include <set>
#include <tuple>

#include "orders.h"

namespace sassafras::placement {
namespace {

constexpr size_t kMaxWorkersPerSearch = 8;
constexpr size_t kMaxTasksPerSearch = 64;
constexpr size_t kMaxOwners = 64;
constexpr size_t kMaxGroupsPerOwner = 128;
constexpr uint32_t kMaxClaimsPerPlan = 64;
constexpr size_t kMaxTasksPerJob = 1024;
constexpr base::Duration kSearchInterval = std::chrono::milliseconds(250);
// A claim expires after this many repeats of the orders that free its capacity.
constexpr int kClaimRetries = 5;

// Owners above their share, those that exceed it most first.
std::vector<Owner*> OwnersAboveShare(Cell& cell) {
  std::vector<std::pair<Share, Owner*>> above;
  for (Owner& owner : cell.owners()) {
    const Share share = cell.NetShare(owner);
    const Share entitled = cell.EntitlementOf(owner);
    if (share > entitled) {
      above.emplace_back(share - entitled, &owner);
    }
  }
  std::ranges::sort(above, [](const auto& a, const auto& b) {
    return std::tuple(b.first, a.second->slot) <
           std::tuple(a.first, b.second->slot);
  });
  std::vector<Owner*> owners;
  std::ranges::copy(above | std::views::values | std::views::take(kMaxOwners),
                    std::back_inserter(owners));
  return owners;
}

// Cost of ending the victims; a lower cost is better.
Share CostOf(const Cell& cell, const Eviction& eviction) {
  wire::Resources lost;
  for (const Task* task : eviction.victims) {
    lost += task->charge;
    if (task->job->spec.kind == wire::JobKind::kGang) {
      lost += task->charge;  // counted twice, as the other members end with it
    }
  }
  return DominantShare(lost, cell.total());
}

// Searches the workers that run tasks of one owner and rank for a cheaper
// eviction than `best`.
void SearchTasks(const PlanContext& context,
                 const Preemptor& preemptor,
                 const std::map<uint64_t, Task*>& candidates,
                 const wire::Resources& need,
                 std::optional<Eviction>& best) {
  std::set<uint32_t> seen;
  Share best_cost =
      best ? CostOf(context.cell, *best) : std::numeric_limits<Share>::max();
  // The latest attempts come first, as they lose the least work.
  for (Task* task : candidates | std::views::values | std::views::reverse |
                        std::views::take(kMaxTasksPerSearch)) {
    Worker& worker = *task->worker;
    if (seen.size() >= kMaxWorkersPerSearch) {
      return;
    }
    if (!worker.IsUsable() || !need.FitsIn(worker.capacity) ||
        !seen.insert(worker.slot).second) {
      continue;
    }
    auto eviction = FindVictimsOn(context, preemptor, worker, need);
    if (eviction && CostOf(context.cell, *eviction) < best_cost) {
      best_cost = CostOf(context.cell, *eviction);
      best = std::move(eviction);
    }
  }
}

std::vector<Owner*> OwnersToPreempt(const PlanContext& context,
                                    const Preemptor& preemptor) {
  std::vector<Owner*> owners;
  if (preemptor.is_entitled) {
    owners = OwnersAboveShare(context.cell);
  }
  for (Owner& owner : context.cell.owners()) {
    const bool is_own = &owner == &preemptor.owner;
    if ((is_own || preemptor.is_starved) && owners.size() <= kMaxOwners &&
        std::ranges::find(owners, &owner) == owners.end()) {
      owners.push_back(&owner);
    }
  }
  return owners;
}

std::optional<Eviction> FindEviction(const PlanContext& context,
                                     const Preemptor& preemptor,
                                     const wire::Resources& need) {
  std::optional<Eviction> best;
  const auto owners = OwnersToPreempt(context, preemptor);
  for (Rank rank = kRankCount; rank-- > 0;) {
    for (const Owner* owner : owners) {
      SearchTasks(context, preemptor, owner->running[rank], need, best);
    }
    if (best) {
      return best;
    }
  }
  return best;
}

bool MustWaitToPreempt(const PlanContext& context, const Job& job) {
  const bool may_preempt_at_once = job.spec.kind == wire::JobKind::kService ||
                                   job.spec.priority == wire::Priority::kUrgent;
  const base::Duration wait = context.now - job.waiting_since;
  return !may_preempt_at_once && wait < context.cell.options().preemption_delay;
}

// Preempts other work for the job's pending tasks. Returns false when no more
// victims are found or a limit of the plan is reached.
bool PreemptForJob(PlanContext& context, Job& job, uint32_t& claims) {
  Cell& cell = context.cell;
  const wire::Resources need = cell.TaskReservation(job);
  for (uint32_t index : job.pending | std::views::take(kMaxTasksPerJob)) {
    Task& task = job.tasks[index];
    if (task.claim_worker != nullptr) {
      continue;
    }
    if (claims >= kMaxClaimsPerPlan || !context.MayOrder()) {
      context.plan.has_more = true;
      return false;
    }
    const Preemptor preemptor{*job.owner, RankOf(job.spec),
                              IsEntitled(cell, *job.owner, need), false};
    const auto eviction = FindEviction(context, preemptor, need);
    if (!eviction) {
      return false;
    }
    ++claims;
    EvictAll(context, *eviction,
             "preempted by task " + task.Id().ToString() + " of owner " +
                 job.owner->id.str());
    cell.Claim(context.now, task, *eviction->worker, need);
    cell.SetTimer(task, context.now + cell.options().order_retry_interval *
                                          kClaimRetries);
    context.Note(DecisionKind::kPreempt, task, eviction->worker,
                 static_cast<uint32_t>(eviction->victims.size()),
                 "other work is preempted for it");
  }
  return true;
}

void PreemptForGroup(PlanContext& context, JobGroup& group, uint32_t& claims) {
  const bool needs_capacity = group.block == BlockReason::kCapacity &&
                              group.key.kind != wire::JobKind::kGang &&
                              group.next_preemption_search <= context.now;
  if (!needs_capacity) {
    return;
  }
  for (Job* job : group.jobs | std::views::values) {
    if (MustWaitToPreempt(context, *job)) {
      return;
    }
    if (!PreemptForJob(context, *job, claims)) {
      group.next_preemption_search = context.now + kSearchInterval;
      return;
    }
  }
}

// The rank to which aging raised the task before its start. After
// Options::preemption_protection the task has its own rank again.
Rank AgedRank(const PlanContext& context, const Task& task) {
  const Options& options = context.cell.options();
  if (context.now - task.queued_or_assigned_at >=
      options.preemption_protection) {
    return task.rank;
  }
  const auto raised = task.waited / (options.aging_step / 2);
  return raised >= task.rank ? 0 : task.rank - static_cast<Rank>(raised);
}

}  // namespace

bool IsEntitled(const Cell& cell,
                const Owner& owner,
                const wire::Resources& need) {
  const auto held = owner.reserved - owner.evicting + owner.claimed + need;
  return cell.ShareOf(held) <= cell.EntitlementOf(owner) &&
         cell.IsWithinQuota(owner, owner.claimed + need);
}

bool MayEvict(const PlanContext& context,
              const Preemptor& preemptor,
              const Task& victim) {
  if (victim.phase != Phase::kActive || victim.is_evicting) {
    return false;
  }
  const Cell& cell = context.cell;
  const Owner& owner = *victim.job->owner;
  const bool can_evict_for_starvation =
      preemptor.is_starved &&
      victim.job->spec.kind != wire::JobKind::kService &&
      context.now - victim.queued_or_assigned_at >=
          cell.options().starvation_bound;
  if (can_evict_for_starvation) {
    return true;
  }
  const bool is_protected =
      victim.is_protected && context.now - victim.queued_or_assigned_at <
                                 cell.options().preemption_protection;
  if (&owner == &preemptor.owner) {
    const bool has_lower_priority = preemptor.rank <= kLastUrgentRank ||
                                    AgedRank(context, victim) > preemptor.rank;
    return victim.rank > preemptor.rank && !is_protected && has_lower_priority;
  }
  const bool is_urgent = preemptor.rank <= kLastUrgentRank;
  return preemptor.is_entitled && (is_urgent || !is_protected) &&
         cell.NetShare(owner) > cell.EntitlementOf(owner);
}

std::optional<Eviction> FindVictimsOn(const PlanContext& context,
                                      const Preemptor& preemptor,
                                      Worker& worker,
                                      const wire::Resources& need) {
  std::vector<Task*> victims;
  std::ranges::copy_if(
      worker.tasks, std::back_inserter(victims),
      [&](const Task* task) { return MayEvict(context, preemptor, *task); });
  std::ranges::sort(victims, [](const Task* a, const Task* b) {
    return std::tuple(a->rank, a->attempt) > std::tuple(b->rank, b->attempt);
  });
  Eviction eviction{&worker, {}};
  wire::Resources free = worker.FreeAfterEvictions();
  std::map<const Owner*, wire::Resources> taken;
  for (Task* task : victims) {
    if (need.FitsIn(free)) {
      break;
    }
    // Preemption doesn't reduce another owner that is already at its share or
    // below, unless the preemptor is starved.
    const Owner& owner = *task->job->owner;
    const auto left = owner.reserved - owner.evicting - taken[&owner];
    const bool is_protected =
        &owner != &preemptor.owner && !preemptor.is_starved &&
        context.cell.ShareOf(left) <= context.cell.EntitlementOf(owner);
    if (is_protected) {
      continue;
    }
    taken[&owner] += task->reserved;
    free += task->charge;
    eviction.victims.push_back(task);
  }
  if (!need.FitsIn(free)) {
    return std::nullopt;
  }
  // Drops victims that aren't needed after all, the highest priority first.
  for (size_t n = eviction.victims.size(); n-- > 0;) {
    const wire::Resources& charge = eviction.victims[n]->charge;
    if (need.FitsIn(free - charge)) {
      free -= charge;
      eviction.victims.erase(eviction.victims.begin() +
                             static_cast<int64_t>(n));
    }
  }
  return eviction;
}

void EvictAll(PlanContext& context,
              const Eviction& eviction,
              const std::string& reason) {
  for (Task* victim : eviction.victims) {
    if (victim->job->spec.kind != wire::JobKind::kGang) {
      EvictWithCheckpoint(context, *victim, reason);
      continue;
    }
    for (Task& member : victim->job->tasks) {
      if (member.phase == Phase::kActive && !member.is_evicting) {
        EvictWithCheckpoint(context, member, reason);
      }
    }
  }
}

void PreemptForBlocked(PlanContext& context) {
  uint32_t claims = 0;
  std::vector<std::pair<Share, Owner*>> owners;
  for (Owner& owner : context.cell.owners()) {
    if (!owner.blocked.empty()) {
      owners.emplace_back(context.cell.NetShare(owner) / owner.weight, &owner);
    }
  }
  std::ranges::sort(owners, {}, [](const auto& it) {
    return std::pair(it.first, it.second->slot);
  });
  for (Owner* owner : owners | std::views::values) {
    // Groups are ordered by rank, so urgent ones come first.
    const auto is_blocked = [](const auto& it) {
      return it.second->block == BlockReason::kCapacity;
    };
    for (const auto& [key, group] : owner->groups |
                                        std::views::filter(is_blocked) |
                                        std::views::take(kMaxGroupsPerOwner)) {
      PreemptForGroup(context, *group, claims);
    }
  }
}

}  // namespace sassafras::placement
