// The reserved capacity is held by claims of the job's pending tasks, see
// Cell::Claim.

#include "reservation.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <tuple>

#include "orders.h"
#include "policies.h"
#include "preemption.h"

namespace sassafras::placement {
namespace {

constexpr base::Duration kCandidateSearchInterval =
    std::chrono::milliseconds(200);
constexpr base::Instant kNever = base::Instant::max();

// Number of tasks that a reservation of the job covers.
size_t TasksToReserve(const Job& job) {
  return job.spec.kind == wire::JobKind::kGang ? job.pending.size() : 1;
}

Preemptor PreemptorFor(const PlanContext& context, const Job& job) {
  const Cell& cell = context.cell;
  const wire::Resources one = cell.TaskReservation(job);
  wire::Resources need;
  // Existing claims are already included in Owner::claimed.
  for (uint32_t index : job.pending | std::views::take(TasksToReserve(job))) {
    need += job.tasks[index].claim_worker == nullptr ? one : wire::Resources{};
  }
  const bool is_entitled = IsEntitled(cell, *job.owner, need);
  const bool is_starved =
      context.now - job.waiting_since >= cell.options().starvation_bound;
  return {*job.owner, RankOf(job.spec), is_entitled, is_starved};
}

base::Instant ExpectedEnd(const PlanContext& context, const Task& task) {
  if (task.is_evicting) {
    return context.now + context.cell.options().checkpoint_grace;
  }
  if (task.backfill_deadline) {
    return *task.backfill_deadline;
  }
  const int64_t run_ms = task.job->spec.expected_run_ms;
  if (run_ms <= 0 || task.job->spec.kind == wire::JobKind::kService) {
    return kNever;
  }
  return std::max(context.now, task.queued_or_assigned_at +
                                   std::chrono::milliseconds(run_ms));
}

// Sum of the job's claims on the worker.
wire::Resources ClaimsOf(const Job& job, const Worker& worker) {
  wire::Resources sum;
  for (const Task* task : worker.claimants) {
    if (task->job == &job) {
      sum += task->claim;
    }
  }
  return sum;
}

// Workers on which the job has claims, by slot.
std::map<uint32_t, Worker*> ClaimedWorkers(const Job& job) {
  std::map<uint32_t, Worker*> workers;
  for (uint32_t index : job.pending) {
    Worker* worker = job.tasks[index].claim_worker;
    if (worker != nullptr) {
      workers.emplace(worker->slot, worker);
    }
  }
  return workers;
}

}  // namespace

void Reservation::Run(PlanContext& context, bool has_freed) {
  Job* job = holder_.empty() ? nullptr : context.cell.FindJob(holder_);
  const bool is_over = job == nullptr || job->pending.empty() ||
                       job->is_parked || job->is_removed;
  if (!is_over) {
    if (has_freed && TryStart(context, *job)) {
      return;
    }
    Continue(context, *job);
    return;
  }
  if (job != nullptr) {
    Release(context.cell, *job);
  }
  holder_ = {};
  if (context.now < next_candidate_search_) {
    return;
  }
  next_candidate_search_ = context.now + kCandidateSearchInterval;
  Job* candidate = FindCandidate(context);
  if (candidate != nullptr) {
    Create(context, *candidate);
  }
}

void Reservation::Continue(PlanContext& context, Job& job) {
  if (context.now >= expires_at_) {
    ++job.failed_reservations;
    Release(context.cell, job);
    holder_ = {};
    return;
  }
  EvictForJob(context, job);
  EvictBackfill(context, job);
}

void Reservation::Release(Cell& cell, Job& job) {
  for (uint32_t index : job.pending) {
    cell.Unclaim(job.tasks[index]);
  }
}

bool Reservation::TryStart(PlanContext& context, Job& job) {
  Cell& cell = context.cell;
  // The job may use the capacity that it claimed, so its claims are removed for
  // the trial placement.
  std::vector<std::tuple<Task*, Worker*, wire::Resources>> claims;
  cell.BeginTrial();
  for (uint32_t index : job.pending) {
    Task& task = job.tasks[index];
    if (task.claim_worker != nullptr) {
      claims.emplace_back(&task, task.claim_worker, task.claim);
      cell.Unclaim(task);
    }
  }
  const bool has_started = TryPlace(context, job) == BlockReason::kNone;
  if (has_started) {
    cell.EndTrial();
    // Claimed capacity that the job didn't use is free for other work.
    for (const auto& [task, worker, amount] : claims) {
      cell.MarkFreed(*worker);
    }
    for (Task& task : job.tasks) {
      task.is_protected |= task.phase == Phase::kInFlight;
    }
    holder_ = {};
    return true;
  }
  for (const auto& [task, worker, amount] : claims) {
    cell.Claim(context.now, *task, *worker, amount);
  }
  cell.EndTrial();
  return false;
}

void Reservation::EvictForJob(PlanContext& context, Job& job) {
  const Preemptor preemptor = PreemptorFor(context, job);
  if (!preemptor.is_entitled && !preemptor.is_starved) {
    return;
  }
  for (Worker* worker : ClaimedWorkers(job) | std::views::values) {
    if (!context.MayOrder()) {
      context.plan.has_more = true;
      return;
    }
    // The claims already reduce the worker's free capacity, so it is enough to
    // make that non-negative.
    const auto eviction = FindVictimsOn(context, preemptor, *worker, {});
    if (eviction) {
      EvictAll(context, *eviction,
               "preempted by the reservation of job " + job.spec.id.str());
    }
  }
}

void Reservation::EvictBackfill(PlanContext& context, Job& job) {
  const auto workers = ClaimedWorkers(job);
  std::vector<Task*> backfill;
  for (const Worker* worker : workers | std::views::values) {
    wire::Resources free = worker->FreeAfterEvictions();
    for (Task* task : worker->tasks) {
      if (task->backfill_deadline && task->phase == Phase::kActive &&
          !task->is_evicting) {
        free += task->charge;
        backfill.push_back(task);
      }
    }
    if (!wire::Resources{}.FitsIn(free)) {
      return;  // ending the backfill wouldn't free enough
    }
  }
  for (Task* task : backfill) {
    EvictWithCheckpoint(context, *task,
                        "the reservation whose capacity it backfills is due");
  }
}

Job* Reservation::FindCandidate(PlanContext& context) {
  const Options& options = context.cell.options();
  Job* best = nullptr;
  const auto order = [](const Job& job) {
    return std::tuple(job.failed_reservations, job.queue_key, job.sequence);
  };
  for (Owner& owner : context.cell.owners()) {
    for (JobGroup* group : owner.blocked | std::views::values) {
      Job& job = group->head();
      const bool is_gang = job.spec.kind == wire::JobKind::kGang;
      const base::Duration wait = context.now - job.waiting_since;
      const bool may_reserve = group->block == BlockReason::kCapacity &&
                               wait >= (is_gang ? options.gang_reservation_delay
                                                : options.starvation_bound);
      if (may_reserve && (best == nullptr || order(job) < order(*best))) {
        best = &job;
      }
    }
  }
  return best;
}

void Reservation::Create(PlanContext& context, Job& job) {
  Cell& cell = context.cell;
  const bool is_gang = job.spec.kind == wire::JobKind::kGang;
  if (is_gang && job.active > 0) {
    // A gang can't make progress while some of its members aren't running, so
    // its remaining members are evicted to free their capacity for the whole
    // gang.
    for (Task& member : job.tasks) {
      if (member.phase == Phase::kActive && !member.is_evicting) {
        EvictWithCheckpoint(context, member, "its gang lost a member");
      }
    }
    return;
  }
  const size_t task_count = TasksToReserve(job);
  auto fits = FindExpectedFits(context, job);
  if (fits.size() < task_count) {
    ++job.failed_reservations;
    return;
  }
  fits.resize(task_count);
  const wire::Resources need = cell.TaskReservation(job);
  auto fit = fits.begin();
  for (uint32_t index : job.pending | std::views::take(task_count)) {
    cell.Claim(context.now, job.tasks[index], *fit->worker, need);
    ++fit;
  }
  holder_ = job.spec.id;
  expires_at_ = context.now + cell.options().max_reservation_time;
  expected_start_ =
      fits.back().at == kNever ? std::nullopt : std::optional(fits.back().at);
  context.Note(DecisionKind::kReserve, job.tasks[*job.pending.begin()],
               fits.back().worker, static_cast<uint32_t>(task_count),
               "reserves workers until all of its tasks fit");
  if (!TryStart(context, job)) {
    EvictForJob(context, job);
  }
}

std::vector<Reservation::ExpectedFit> Reservation::FindExpectedFits(
    PlanContext& context,
    const Job& job) {
  const Preemptor preemptor = PreemptorFor(context, job);
  std::vector<ExpectedFit> fits;
  for (Worker& worker : context.cell.workers()) {
    if (worker.IsUsable()) {
      AddExpectedFits(context, job, preemptor, worker, fits);
    }
  }
  std::ranges::sort(fits, {}, [](const ExpectedFit& it) {
    return std::pair(it.at, it.worker->slot);
  });
  return fits;
}

void Reservation::AddExpectedFits(PlanContext& context,
                                  const Job& job,
                                  const Preemptor& preemptor,
                                  Worker& worker,
                                  std::vector<ExpectedFit>& fits) {
  const wire::Resources need = context.cell.TaskReservation(job);
  if (!need.FitsIn(worker.capacity)) {
    return;
  }
  const bool may_evict = preemptor.is_entitled || preemptor.is_starved;
  std::vector<std::pair<base::Instant, const Task*>> ends;
  for (const Task* task : worker.tasks) {
    const bool is_evictable = may_evict && MayEvict(context, preemptor, *task);
    const auto end = is_evictable
                         ? context.now + context.cell.options().checkpoint_grace
                         : ExpectedEnd(context, *task);
    const bool is_service = task->job->spec.kind == wire::JobKind::kService;
    if (end != kNever || !is_service) {
      ends.emplace_back(end, task);
    }
  }
  std::ranges::sort(ends, {}, [](const auto& it) {
    return std::pair(it.first, it.second->index_on_worker);
  });
  wire::Resources free = worker.Free();
  base::Instant at = context.now;
  auto next = ends.begin();
  for (size_t n = 0; n < job.pending.size();) {
    if (need.FitsIn(free)) {
      fits.push_back({at, &worker});
      free -= need;
      ++n;
    } else if (next != ends.end()) {
      at = next->first;
      free += next->second->charge;
      ++next;
    } else {
      return;
    }
  }
}

bool Reservation::Backfill(PlanContext& context, Job& job) {
  const int64_t run_ms = job.spec.expected_run_ms;
  const bool may_backfill = !holder_.empty() && expected_start_ && run_ms > 0 &&
                            job.spec.kind == wire::JobKind::kBatch &&
                            job.spec.id != holder_;
  if (!may_backfill) {
    return false;
  }
  Cell& cell = context.cell;
  const auto run = std::chrono::milliseconds(
      run_ms * cell.options().backfill_margin_percent / 100);
  const Job* holder = cell.FindJob(holder_);
  if (holder == nullptr || context.now + run > *expected_start_) {
    return false;
  }
  const wire::Resources need = cell.TaskReservation(job);
  for (Worker* worker : ClaimedWorkers(*holder) | std::views::values) {
    const auto available = worker->Free() + ClaimsOf(*holder, *worker);
    if (worker->IsUsable() && need.FitsIn(available)) {
      Task& task = job.tasks[*job.pending.begin()];
      context.plan.groups.emplace_back();
      Place(context, task, {worker, 1, "backfill ahead of a reservation"},
            need);
      task.backfill_deadline = expected_start_;
      return true;
    }
  }
  return false;
}

}  // namespace sassafras::placement
