// Places tasks that may have crashed their workers: each where no run of
// another job is young enough to be the cause if the worker crashes.

#include <algorithm>
#include <optional>
#include <ranges>

#include "planner.h"

namespace sassafras::jobs {
namespace {

// Share of a pool's workers that trials may close to other work.
constexpr size_t kMaxTrialShareDivisor = 4;

bool IsWaiting(const TaskRecord& task) {
  return !task.is_done && !task.is_open;
}

}  // namespace

bool HasSuspects(const WaitingStep& step) {
  return std::ranges::any_of(
      step.record->tasks.started() | std::views::values,
      [](auto& task) { return IsWaiting(task) && IsSuspect(task.crashes); });
}

// Gangs are placed as a whole, see TryGang.
void Planner::PlaceSuspects(WaitingStep& step) {
  if (step.spec->is_gang || !HasSuspects(step)) {
    return;
  }
  const Pool eligible = EligibleWorkers(step);
  for (const auto& [n, task] : step.record->tasks.started()) {
    if (!IsWaiting(task) || !IsSuspect(task.crashes)) {
      continue;
    }
    if (step.IsCapped()) {
      return;
    }
    Candidate* worker = ChooseTrialWorker(step, {step.key, n}, eligible);
    if (worker == nullptr) {
      CloseWorkerForTrial(step, eligible);
      return;
    }
    AddStart(step, *worker, n, task.NextRun());
    worker->job_on_trial = step.key.job;
  }
}

// Two suspects of one job needn't be told apart, but both are delayed if one of
// them crashes the worker.
Candidate* Planner::ChooseTrialWorker(const WaitingStep& step,
                                      const TaskKey& task,
                                      const Pool& eligible) {
  Pool unused;
  std::ranges::copy_if(
      eligible, std::back_inserter(unused), [&](const Candidate* worker) {
        return !worker->job_on_trial && !LastStartOfOthers(step, *worker);
      });
  return CanCloseWorker(step) ? ChooseWorker(step, task, unused) : nullptr;
}

// Keeps the worker on which the other jobs' runs will be old soonest free of
// new ones. Since it gets none, the next plan chooses it again.
void Planner::CloseWorkerForTrial(const WaitingStep& step,
                                  const Pool& eligible) {
  if (!CanCloseWorker(step)) {
    return;
  }
  Candidate* best = nullptr;
  std::optional<base::Instant> best_start;
  for (Candidate* worker : eligible) {
    if (worker->job_on_trial || !HasFreeCapacity(step, *worker)) {
      continue;
    }
    const std::optional<base::Instant> start = LastStartOfOthers(step, *worker);
    if (best == nullptr || start < best_start) {
      best = worker;
      best_start = start;
    }
  }
  if (best != nullptr) {
    best->job_on_trial = step.key.job;
  }
}

bool Planner::CanCloseWorker(const WaitingStep& step) {
  const Pool& pool = PoolOf(step);
  const auto closed = std::ranges::count_if(
      pool, [](auto* worker) { return worker->job_on_trial.has_value(); });
  return static_cast<size_t>(closed) * kMaxTrialShareDivisor < pool.size();
}

std::optional<base::Instant> Planner::LastStartOfOthers(
    const WaitingStep& step,
    const Candidate& worker) const {
  const bool is_planned =
      std::ranges::any_of(plan_.starts, [&](const StartRun& start) {
        return start.worker == worker.boot() &&
               start.task.step.job != step.key.job;
      });
  return is_planned ? now_
                    : history_.trials.LastStartOfOthers(worker.boot(),
                                                        step.key.job, now_);
}

}  // namespace sassafras::jobs
