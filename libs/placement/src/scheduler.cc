// Implements the public interface: dispatches events to the planner's
// components.

#include "placement/scheduler.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "orders.h"
#include "planner.h"

namespace sassafras::placement {
namespace {

struct OptionRange {
  const char* name;
  uint32_t Options::*value;
  uint32_t min;
  uint32_t max;
};

constexpr std::array kOptionRanges = {
    OptionRange{"max_candidates", &Options::max_candidates, 1, 4096},
    OptionRange{"usage_quantile_percent", &Options::usage_quantile_percent, 1,
                100},
    OptionRange{"usage_margin_percent", &Options::usage_margin_percent, 0,
                1000},
    OptionRange{"usage_min_samples", &Options::usage_min_samples, 1, 64},
    OptionRange{"usage_min_done", &Options::usage_min_done, 1, 64},
    OptionRange{"throttle_percent", &Options::throttle_percent, 20, 100},
    OptionRange{"stop_percent", &Options::stop_percent, 20, 100},
    OptionRange{"quarantine_workloads", &Options::quarantine_workloads, 1, 32},
    OptionRange{"faulty_task_workers", &Options::faulty_task_workers, 1, 4},
    OptionRange{"backfill_margin_percent", &Options::backfill_margin_percent,
                100, 10'000}};

// The observed demand of the attempt. An attempt that used nearly all of the
// processors that it is throttled to may need all that it declared.
wire::Resources ObservedDemand(const Task& task) {
  constexpr int64_t kSaturatedPercent = 95;
  wire::Resources demand = task.peak_use;
  if (task.IsCpuCapped() &&
      demand.milli_cpus * 100 >= task.reserved.milli_cpus * kSaturatedPercent) {
    demand.milli_cpus =
        std::max(demand.milli_cpus, task.job->spec.per_task.milli_cpus);
  }
  return demand;
}

double ToFraction(Share share) {
  return static_cast<double>(share) / static_cast<double>(kWholeCell);
}

}  // namespace

class Scheduler::Impl {
 public:
  Impl(const Options& options, uint64_t seed) : planner_(options, seed) {}

  Planner& planner() { return planner_; }
  const Planner& planner() const { return planner_; }

  void On(base::Instant now, const PutOwner& event);
  void On(base::Instant now, const RemoveOwner& event);
  void On(base::Instant now, const PutWorker& event);
  void On(base::Instant now, const RemoveWorker& event);
  void On(base::Instant now, const SetQuarantine& event);
  void On(base::Instant now, const PutJob& event);
  void On(base::Instant now, const RemoveJob& event);
  void On(base::Instant now, const JobParked& event);
  void On(base::Instant now, const TaskPending& event);
  void On(base::Instant now, const TaskAssigned& event);
  void On(base::Instant now, const AssignmentRefused& event);
  void On(base::Instant now, const TaskRunning& event);
  void On(base::Instant now, const TaskOrdered& event);
  void On(base::Instant now, const TaskStopping& event);
  void On(base::Instant now, const TaskEnded& event);
  void On(base::Instant now, const Usage& event);

 private:
  Cell& cell() { return planner_.cell(); }
  // Returns the task if `attempt` is its current attempt, otherwise null.
  Task* FindAttempt(const wire::TaskId& id, wire::AttemptId attempt);

  Planner planner_;
};

Task* Scheduler::Impl::FindAttempt(const wire::TaskId& id,
                                   wire::AttemptId attempt) {
  Task* task = cell().FindTask(id);
  const bool is_present = task != nullptr && task->phase == Phase::kActive &&
                          task->attempt == attempt;
  return is_present ? task : nullptr;
}

void Scheduler::Impl::On(base::Instant /*now*/, const PutOwner& event) {
  cell().Put(event);
}

void Scheduler::Impl::On(base::Instant /*now*/, const RemoveOwner& event) {
  cell().Remove(event);
}

void Scheduler::Impl::On(base::Instant /*now*/, const PutWorker& event) {
  planner_.watch().Add(cell().Put(event));
}

void Scheduler::Impl::On(base::Instant /*now*/, const RemoveWorker& event) {
  if (Worker* worker = cell().FindWorker(event.worker)) {
    cell().Remove(*worker);
  }
}

void Scheduler::Impl::On(base::Instant now, const SetQuarantine& event) {
  if (Worker* worker = cell().FindWorker(event.worker)) {
    planner_.quarantine().OnCommitted(now, cell(), *worker,
                                      event.is_quarantined);
  }
}

void Scheduler::Impl::On(base::Instant /*now*/, const PutJob& event) {
  planner_.parking().Add(cell().Put(event));
}

void Scheduler::Impl::On(base::Instant /*now*/, const RemoveJob& event) {
  if (Job* job = cell().FindJob(event.job)) {
    cell().Remove(*job);
  }
}

void Scheduler::Impl::On(base::Instant /*now*/, const JobParked& event) {
  if (Job* job = cell().FindJob(event.job)) {
    planner_.parking().OnCommitted(cell(), *job, !event.reason.empty());
  }
}

void Scheduler::Impl::On(base::Instant now, const TaskPending& event) {
  if (Task* task = cell().FindTask(event.task)) {
    cell().MakePending(now, *task);
  }
}

void Scheduler::Impl::On(base::Instant now, const TaskAssigned& event) {
  Task* task = cell().FindTask(event.task);
  if (task == nullptr) {
    return;
  }
  cell().Activate(now, *task, event);
  if (task->worker != nullptr) {
    planner_.watch().Add(*task->worker);
  }
}

void Scheduler::Impl::On(base::Instant /*now*/,
                         const AssignmentRefused& event) {
  Task* task = cell().FindTask(event.task);
  if (task == nullptr) {
    return;
  }
  if (task->is_probe && task->worker != nullptr) {
    task->worker->health.CancelProbe();
  }
  cell().ReturnToQueue(*task);
}

void Scheduler::Impl::On(base::Instant /*now*/, const TaskRunning& event) {
  if (Task* task = FindAttempt(event.task, event.attempt)) {
    task->is_running = true;
  }
}

void Scheduler::Impl::On(base::Instant /*now*/, const TaskOrdered& event) {
  if (Task* task = FindAttempt(event.task, event.attempt)) {
    ConfirmOrder(cell(), *task, event.order);
  }
}

void Scheduler::Impl::On(base::Instant /*now*/, const TaskStopping& event) {
  if (Task* task = FindAttempt(event.task, event.attempt)) {
    ConfirmOrder(cell(), *task, wire::AttemptOrder::kStop);
  }
}

void Scheduler::Impl::On(base::Instant now, const TaskEnded& event) {
  Task* task = cell().FindTask(event.task);
  const bool is_stale = task == nullptr || task->phase != Phase::kActive ||
                        event.attempt < task->attempt;
  if (is_stale) {
    return;
  }
  planner_.quarantine().OnEnded(now, cell(), *task, event);
  Estimator& estimator = task->job->workload->estimator;
  if (event.outcome == TaskOutcome::kDone &&
      estimator.RecordSuccess(ObservedDemand(*task), task->job->spec.per_task,
                              cell().options())) {
    cell().NoteSmallerReservations();
  }
  cell().Finish(*task, event.outcome);
}

void Scheduler::Impl::On(base::Instant /*now*/, const Usage& event) {
  Worker* worker = cell().FindWorker(event.worker);
  if (worker == nullptr) {
    return;
  }
  for (const Usage::Sample& sample : event.samples) {
    Task* task = FindAttempt(sample.task, sample.attempt);
    if (task == nullptr || task->worker != worker) {
      continue;
    }
    cell().RecordUsage(*task, sample.used);
    const wire::Resources& declared = task->job->spec.per_task;
    const bool is_smaller = task->job->workload->estimator.RecordUsage(
        sample.attempt, ObservedDemand(*task), declared, cell().options());
    if (is_smaller) {
      cell().NoteSmallerReservations();
    }
  }
  planner_.watch().Add(*worker);
}

std::optional<Scheduler> Scheduler::Create(const Options& options,
                                           uint64_t seed,
                                           PlacementReason& why) {
  for (const OptionRange& range : kOptionRanges) {
    const uint32_t value = options.*range.value;
    if (value < range.min || value > range.max) {
      why.Set(PlacementError::kBadOptions,
              std::string(range.name) + " is " + std::to_string(value) +
                  ", allowed are " + std::to_string(range.min) + " to " +
                  std::to_string(range.max));
      return std::nullopt;
    }
  }
  if (options.aging_step < base::Duration(2)) {
    why.Set(PlacementError::kBadOptions, "aging_step must be at least 2 us");
    return std::nullopt;
  }
  return Scheduler(std::make_unique<Impl>(options, seed));
}

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Scheduler::Scheduler(Scheduler&& other) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&& other) noexcept = default;
Scheduler::~Scheduler() = default;

void Scheduler::Apply(base::Instant now, const Event& event) {
  std::visit([&](const auto& it) { impl_->On(now, it); }, event);
}

Plan Scheduler::MakePlan(base::Instant now, const PlanLimits& limits) {
  return impl_->planner().Make(now, limits);
}

std::optional<base::Instant> Scheduler::NextDeadline() const {
  return impl_->planner().NextDeadline();
}

std::optional<std::string> Scheduler::WhyInfeasible(
    const wire::JobSpec& spec) const {
  return impl_->planner().cell().WhyInfeasible(spec);
}

wire::Resources Scheduler::TaskReservation(const wire::JobSpec& spec) const {
  return impl_->planner().cell().TaskReservationFor(spec);
}

std::vector<OwnerReport> Scheduler::ReportOwners(base::Instant now) const {
  const Cell& cell = impl_->planner().cell();
  std::vector<OwnerReport> reports;
  for (const Owner& owner : cell.owners()) {
    OwnerReport report;
    report.owner = owner.id;
    report.weight = owner.weight;
    report.held = owner.reserved;
    report.fair_share = ToFraction(cell.EntitlementOf(owner));
    report.dominant_share = ToFraction(cell.ShareOf(owner.reserved));
    report.lent = std::max(0.0, report.fair_share - report.dominant_share);
    report.borrowed = std::max(0.0, report.dominant_share - report.fair_share);
    report.waiting_tasks = owner.waiting_tasks;
    for (const auto& group : owner.groups | std::views::values) {
      report.longest_wait = std::max<base::Duration>(
          report.longest_wait, now - group->head().waiting_since);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

std::vector<WorkerReport> Scheduler::ReportWorkers() const {
  const Cell& cell = impl_->planner().cell();
  std::vector<WorkerReport> reports;
  for (const Worker& worker : cell.workers()) {
    if (worker.is_present) {
      reports.push_back(
          {worker.id, worker.zone_id, worker.rack_id, worker.capacity,
           worker.reserved, worker.used, worker.Free(),
           static_cast<uint32_t>(worker.tasks.size()), worker.is_quarantined,
           worker.state == wire::WorkerState::kLeaving});
    }
  }
  return reports;
}

}  // namespace sassafras::placement
