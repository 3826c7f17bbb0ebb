// Batch and gang tasks are packed by best fit. Services are spread over zones,
// then racks, then workers.

#include "policies.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <tuple>
#include <utility>

#include "preemption.h"

namespace sassafras::placement {
namespace {

// Services are placed rarely and run for long, so more workers are compared.
constexpr uint32_t kServiceCandidateFactor = 4;

// The fraction value / capacity in millionths.
int64_t FractionOf(int64_t value, int64_t capacity) {
  constexpr int64_t kWhole = 1'000'000;
  return capacity <= 0 ? 0 : value * kWhole / capacity;
}

std::vector<WorkerIndex::Slot> SlotsToAvoid(const Task& task) {
  std::vector<WorkerIndex::Slot> slots;
  std::ranges::transform(task.failed_on, std::back_inserter(slots),
                         &Worker::slot);
  return slots;
}

bool HasFailedOn(const Task& task, const Worker& worker) {
  return std::ranges::find(task.failed_on, &worker) != task.failed_on.end();
}

// Whether a task that needs no accelerators may use a worker with free ones
// while other work waits for accelerators. It may not if its own owner waits
// for accelerators, or if it would put its owner above its share. Services, and
// tasks that waited for Options::starvation_bound, always may.
bool MayUseAcceleratorHosts(const PlanContext& context,
                            const Task& task,
                            const wire::Resources& need) {
  const Cell& cell = context.cell;
  const Owner& owner = *task.job->owner;
  const bool is_exempt = !cell.HasAcceleratorDemand() ||
                         task.job->spec.kind == wire::JobKind::kService ||
                         context.now - task.queued_or_assigned_at >=
                             cell.options().starvation_bound;
  return is_exempt ||
         (owner.accelerator_groups == 0 && IsEntitled(cell, owner, need));
}

// Returns a quarantined worker that is due for a probe and can take this task
// as the probe; null if there is none. Only batch tasks of normal or low
// priority that haven't failed yet serve as probes.
Worker* FindWorkerToProbe(const PlanContext& context,
                          const Task& task,
                          const wire::Resources& need) {
  const bool is_fit_for_probe = task.job->spec.kind == wire::JobKind::kBatch &&
                                RankOf(task.job->spec) >= 3 &&
                                task.failures == 0;
  if (!is_fit_for_probe) {
    return nullptr;
  }
  Cell& cell = context.cell;
  for (uint32_t slot : cell.quarantined()) {
    Worker& worker = cell.workers()[slot];
    if (worker.state == wire::WorkerState::kReady &&
        worker.health.MayProbe(context.now) && need.FitsIn(worker.Free())) {
      return &worker;
    }
  }
  return nullptr;
}

WorkerChoice ChoosePacked(const PlanContext& context,
                          const Task& task,
                          const wire::Resources& need) {
  Cell& cell = context.cell;
  if (Worker* probe = FindWorkerToProbe(context, task, need)) {
    return {probe, 1, "probe of a quarantined worker"};
  }
  const auto avoid = SlotsToAvoid(task);
  WorkerIndex::Query query;
  query.need = need;
  query.limit = cell.options().max_candidates;
  query.may_use_accelerator_hosts = MayUseAcceleratorHosts(context, task, need);
  query.avoid = avoid;
  std::vector<WorkerIndex::Slot> slots;
  cell.index().Find(query, slots);
  if (slots.empty()) {
    return {};
  }
  const auto cost = [&](WorkerIndex::Slot slot) {
    const Worker& worker = cell.workers()[slot];
    return std::tuple(HasFailedOn(task, worker), LeftoverFraction(worker, need),
                      slot);
  };
  const auto best = *std::ranges::min_element(slots, {}, cost);
  return {&cell.workers()[best], static_cast<uint32_t>(slots.size()),
          "best fit"};
}

template <typename Counts, typename Key>
uint32_t CountOf(const Counts& counts, const Key& key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

// Zones ordered by the number of the job's tasks in them. Among equal zones,
// the first one differs from job to job, so that jobs don't all prefer the same
// zone.
std::vector<uint32_t> ZonesBySpread(const Cell& cell, const Job& job) {
  std::vector<uint32_t> zones(cell.zone_count());
  for (uint32_t n = 0; n < zones.size(); ++n) {
    zones[n] = static_cast<uint32_t>((job.sequence + n) % zones.size());
  }
  std::ranges::stable_sort(
      zones, {}, [&](uint32_t zone) { return CountOf(job.in_zone, zone); });
  return zones;
}

WorkerChoice ChooseSpread(const PlanContext& context,
                          const Task& task,
                          const wire::Resources& need) {
  Cell& cell = context.cell;
  const Job& job = *task.job;
  const auto avoid = SlotsToAvoid(task);
  std::vector<WorkerIndex::Slot> slots;
  for (uint32_t zone : ZonesBySpread(cell, job)) {
    WorkerIndex::Query query;
    query.need = need;
    query.zone = zone;
    query.limit = cell.options().max_candidates * kServiceCandidateFactor;
    query.avoid = avoid;
    cell.index().Find(query, slots);
    if (slots.empty()) {
      continue;
    }
    const auto cost = [&](WorkerIndex::Slot slot) {
      const Worker& worker = cell.workers()[slot];
      return std::tuple(HasFailedOn(task, worker),
                        CountOf(job.in_rack, worker.rack),
                        CountOf(job.on_worker, &worker),
                        LeftoverFraction(worker, need), slot);
    };
    const auto best = *std::ranges::min_element(slots, {}, cost);
    return {&cell.workers()[best], static_cast<uint32_t>(slots.size()),
            "spread over zones and racks"};
  }
  return {};
}

BlockReason TryPlaceOne(PlanContext& context, Job& job) {
  Cell& cell = context.cell;
  Task& task = job.tasks[*job.pending.begin()];
  const wire::Resources need = cell.TaskReservation(job);
  if (!cell.IsWithinQuota(*job.owner, need)) {
    return BlockReason::kQuota;
  }
  const WorkerChoice choice = ChooseWorker(context, task, need);
  if (choice.worker == nullptr) {
    return BlockReason::kCapacity;
  }
  context.plan.groups.emplace_back();
  Place(context, task, choice, need);
  return BlockReason::kNone;
}

wire::Resources Multiply(const wire::Resources& value, int64_t n) {
  return {value.milli_cpus * n, value.memory_mib * n, value.accelerators * n};
}

// A proposed assignment of a gang's member, and the claim that the member gave
// up for it.
struct Member {
  Task* task = nullptr;
  WorkerChoice choice;
  Worker* claim_worker = nullptr;  // null: it had no claim
  wire::Resources claim;
};

Member ProposeMember(PlanContext& context,
                     Task& task,
                     const WorkerChoice& choice,
                     const wire::Resources& need) {
  const Member member{&task, choice, task.claim_worker, task.claim};
  context.cell.Propose(context.now, task, *choice.worker, need);
  return member;
}

// Undoes the proposed assignments of a gang of which one member doesn't fit.
void Rollback(PlanContext& context, const std::vector<Member>& placed) {
  Cell& cell = context.cell;
  for (const Member& it : placed) {
    cell.ReturnToQueue(*it.task);
  }
  for (const Member& it : placed) {
    if (it.claim_worker != nullptr) {
      cell.Claim(context.now, *it.task, *it.claim_worker, it.claim);
    }
  }
}

// Adds the proposed assignments to the plan. Claimed capacity that the gang
// doesn't use is free for other work.
void PlaceGang(PlanContext& context,
               std::vector<Member> members,
               const wire::Resources& need) {
  context.plan.groups.emplace_back();
  for (Member& it : members) {
    Worker& worker = *it.choice.worker;
    if (worker.capacity.accelerators > 0 && !worker.has_free_accelerators) {
      // No accelerators are left to keep for accelerator work, so other work
      // may use the rest of the worker.
      context.cell.MarkFreed(worker);
    }
    if (it.claim_worker != nullptr) {
      context.cell.MarkFreed(*it.claim_worker);
    }
    it.choice.why = "all tasks of the gang at once";
    Place(context, *it.task, it.choice, need);
  }
}

BlockReason TryPlaceGang(PlanContext& context, Job& job) {
  Cell& cell = context.cell;
  const wire::Resources need = cell.TaskReservation(job);
  const auto count = static_cast<int64_t>(job.pending.size());
  const wire::Resources all = Multiply(need, count);
  // Members that are being stopped must be pending again before the gang can
  // start.
  if (job.pending.size() + job.active + job.done < job.spec.tasks) {
    return BlockReason::kCapacity;
  }
  if (!cell.IsWithinQuota(*job.owner, all)) {
    return BlockReason::kQuota;
  }
  if (!all.FitsIn(cell.index().total_free())) {
    return BlockReason::kCapacity;
  }
  std::vector<Member> placed;
  cell.BeginTrial();
  const std::vector<uint32_t> members(job.pending.begin(), job.pending.end());
  for (uint32_t index : members) {
    Task& task = job.tasks[index];
    const WorkerChoice choice = ChoosePacked(context, task, need);
    if (choice.worker == nullptr) {
      Rollback(context, placed);
      cell.EndTrial();
      return BlockReason::kCapacity;
    }
    placed.push_back(ProposeMember(context, task, choice, need));
  }
  cell.EndTrial();
  PlaceGang(context, std::move(placed), need);
  return BlockReason::kNone;
}

struct Policy {
  WorkerChoice (*choose)(const PlanContext&,
                         const Task&,
                         const wire::Resources&);
  BlockReason (*place)(PlanContext&, Job&);
};

// In the order of wire::JobKind.
constexpr std::array kPolicies = {Policy{ChooseSpread, TryPlaceOne},
                                  Policy{ChoosePacked, TryPlaceOne},
                                  Policy{ChoosePacked, TryPlaceGang}};

const Policy& PolicyOf(const Job& job) {
  return kPolicies[static_cast<size_t>(job.spec.kind)];
}

}  // namespace

int64_t LeftoverFraction(const Worker& worker, const wire::Resources& need) {
  const wire::Resources left = worker.Free() - need;
  return FractionOf(left.milli_cpus, worker.capacity.milli_cpus) +
         FractionOf(left.memory_mib, worker.capacity.memory_mib);
}

WorkerChoice ChooseWorker(const PlanContext& context,
                          const Task& task,
                          const wire::Resources& need) {
  return PolicyOf(*task.job).choose(context, task, need);
}

void Place(PlanContext& context,
           Task& task,
           const WorkerChoice& choice,
           const wire::Resources& need) {
  Worker& worker = *choice.worker;
  if (worker.is_quarantined) {
    worker.health.StartProbe();
    task.is_probe = true;
  }
  if (task.phase == Phase::kPending) {
    context.cell.Propose(context.now, task, worker, need);
  }
  context.plan.groups.back().push_back(
      {task.Id(), worker.id, worker.incarnation, need});
  ++context.assignments;
  context.Note(DecisionKind::kPlace, task, &worker, choice.candidates,
               choice.why);
}

BlockReason TryPlace(PlanContext& context, Job& job) {
  return PolicyOf(job).place(context, job);
}

}  // namespace sassafras::placement
