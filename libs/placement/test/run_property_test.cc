// Checks invariants of the scheduler in runs of random steps.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <ranges>

#include "fake_cell.h"
#include "generators.h"

namespace sassafras::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string RandomOwner() {
  return *rc::gen::element<std::string>("x", "y", "z");
}

void AddOneWorker(FakeCell& cell, int n) {
  cell.AddWorker("w" + std::to_string(n), "zone-" + std::to_string(n % 3),
                 "rack-" + std::to_string(n % 2),
                 n % 4 == 0 ? kGpuCapacity : kPlainCapacity);
}

void SubmitRandomJob(FakeCell& cell, int n) {
  const auto accelerators = InRange<int64_t>(0, 4) == 0 ? 4 : 0;
  auto spec = MakeBatchJob("j" + std::to_string(n), RandomOwner(),
                           RandomResources(9000, 20'000, accelerators) +
                               wire::Resources{500, 500, 0},
                           InRange<uint32_t>(1, 25));
  spec.kind = *rc::gen::element(wire::JobKind::kService, wire::JobKind::kBatch,
                                wire::JobKind::kGang);
  spec.priority = *rc::gen::element(
      wire::Priority::kUrgent, wire::Priority::kNormal, wire::Priority::kLow);
  spec.workload =
      wire::WorkloadId("kind-" + std::to_string(InRange<int>(0, 4)));
  spec.expected_run_ms = *rc::gen::element<int64_t>(0, 2000, 20'000);
  cell.Submit(spec);
}

wire::WorkerId RandomWorker(const FakeCell& cell) {
  const auto n = InRange<size_t>(0, cell.workers.size());
  return std::next(cell.workers.begin(), static_cast<int64_t>(n))->first;
}

void ChangeWorker(FakeCell& cell, bool is_leaving) {
  auto registration = cell.workers.at(RandomWorker(cell)).registration;
  registration.state =
      is_leaving ? wire::WorkerState::kLeaving : wire::WorkerState::kReady;
  const bool is_gpu = registration.capacity.accelerators > 0;
  registration.capacity = is_leaving ? registration.capacity
                                     : (is_gpu ? kGpuCapacity : kPlainCapacity);
  if (!is_leaving && *rc::gen::arbitrary<bool>()) {
    registration.capacity = {registration.capacity.milli_cpus / 2,
                             registration.capacity.memory_mib / 2,
                             registration.capacity.accelerators / 2};
  }
  cell.PutWorker(registration);
}

void CancelRandomJob(FakeCell& cell) {
  if (!cell.jobs.empty()) {
    const auto n = InRange<size_t>(0, cell.jobs.size());
    cell.Cancel(std::next(cell.jobs.begin(), static_cast<int64_t>(n))->first);
  }
}

// Sends usage reports and ends of earlier attempts, which the scheduler must
// ignore.
void SendStaleReports(FakeCell& cell) {
  for (const auto& [id, job] : cell.jobs) {
    const wire::AttemptId stale_attempt(job.tasks[0].attempt.value() / 2);
    if (stale_attempt.IsNone()) {
      continue;
    }
    const wire::TaskId task{id, 0};
    cell.scheduler.Apply(
        cell.now, TaskEnded{task, stale_attempt, TaskOutcome::kDone, 1, ""});
    Usage usage{job.tasks[0].worker, {}};
    usage.samples.push_back({task, stale_attempt, kGpuCapacity});
    cell.scheduler.Apply(cell.now, usage);
  }
}

void RunRandomStep(FakeCell& cell, int n) {
  switch (InRange<int>(0, 20)) {
    case 0:
      if (cell.workers.size() > 3) {
        cell.RemoveWorker(RandomWorker(cell));
      }
      break;
    case 1:
      AddOneWorker(cell, InRange<int>(0, 12));
      break;
    case 2:
      ChangeWorker(cell, *rc::gen::arbitrary<bool>());
      break;
    case 3:
      CancelRandomJob(cell);
      break;
    case 4:
      cell.ReportUsage();
      break;
    case 5:
      SendStaleReports(cell);
      break;
    case 6:
      cell.RebuildScheduler(static_cast<uint64_t>(n));
      break;
    case 7:
      cell.PutOwner(RandomOwner(), InRange<uint32_t>(1, 4),
                    *rc::gen::arbitrary<bool>()
                        ? std::optional(wire::Resources{64'000, 131'072, 8})
                        : std::nullopt);
      break;
    case 8: {
      // The state changes between the plan and its commit.
      const Plan plan = cell.scheduler.MakePlan(cell.now, {});
      CancelRandomJob(cell);
      ChangeWorker(cell, true);
      cell.Commit(plan);
      break;
    }
    default:
      SubmitRandomJob(cell, n);
  }
}

// Checks that the scheduler's reservations match the committed state.
void CheckAccounting(FakeCell& cell) {
  for (const WorkerReport& it : cell.scheduler.ReportWorkers()) {
    const FakeWorker& worker = cell.workers.at(it.worker);
    RC_ASSERT(it.reserved == worker.reserved);
    RC_ASSERT(it.attempts == worker.tasks.size());
  }
  for (const OwnerReport& it : cell.scheduler.ReportOwners(cell.now)) {
    RC_ASSERT(it.held == cell.ReservedByOwner(it.owner.str()));
  }
}

bool HasPendingTask(const FakeJob& job) {
  return !job.is_cancelled && job.park_reason.empty() &&
         std::ranges::any_of(job.tasks, [](const FakeTask& it) {
           return it.state == wire::TaskState::kPending;
         });
}

bool HasPendingTaskWithinQuota(FakeCell& cell,
                               const FakeJob& job,
                               wire::Resources need) {
  const auto& owner = cell.owners[job.spec.owner.str()];
  return HasPendingTask(job) &&
         (!owner.quota || (cell.ReservedByOwner(job.spec.owner.str()) + need)
                              .FitsIn(*owner.quota));
}

// Checks that no task is pending for which a naive scan of all workers finds
// free capacity.
void CheckNoPlaceableTaskWaits(FakeCell& cell) {
  const auto reports = cell.scheduler.ReportWorkers();
  // A job that reached its quota after the scheduler last examined it counts as
  // demand until an attempt ends.
  const bool has_demand =
      std::ranges::any_of(cell.jobs | std::views::values, [&](FakeJob& job) {
        return job.spec.per_task.accelerators > 0 && HasPendingTask(job);
      });
  for (const FakeJob& job : cell.jobs | std::views::values) {
    const auto need = cell.scheduler.TaskReservation(job.spec);
    if (job.spec.kind == wire::JobKind::kGang ||
        !HasPendingTaskWithinQuota(cell, job, need)) {
      continue;
    }
    for (const WorkerReport& it : reports) {
      const bool is_kept_for_accelerators =
          has_demand && it.free.accelerators > 0 && need.accelerators == 0 &&
          job.spec.kind == wire::JobKind::kBatch;
      const bool is_usable = !it.is_leaving && !it.is_quarantined &&
                             wire::Resources{}.FitsIn(it.free);
      if (!is_kept_for_accelerators && is_usable && need.FitsIn(it.free)) {
        RC_FAIL(job.spec.id.str() + " of owner " + job.spec.owner.str() +
                " needs " + need.ToString() +
                " and is pending although worker " + it.worker.str() +
                " has free " + it.free.ToString());
      }
    }
  }
}

RC_GTEST_PROP(SchedulerProperty, InvariantsHoldInRandomRuns, ()) {
  FakeCell cell;
  cell.actual_run_time = [](const wire::JobSpec& spec) {
    const bool is_service = spec.kind == wire::JobKind::kService;
    return is_service ? std::nullopt
                      : std::optional<base::Duration>(seconds(8));
  };
  cell.actual_usage = [](const FakeJob& job, const FakeTask& task) {
    const int64_t percent = 30 + task.attempt.value() % 3 * 45;
    const auto& declared = job.spec.per_task;
    return wire::Resources{declared.milli_cpus * percent / 100,
                           declared.memory_mib * percent / 100,
                           declared.accelerators};
  };
  for (int n = 0; n < 8; ++n) {
    AddOneWorker(cell, n);
  }
  for (int n = 0; n < 60; ++n) {
    RunRandomStep(cell, n);
    CheckAccounting(cell);
    cell.PlanUntilEmpty();
    CheckAccounting(cell);
    CheckNoPlaceableTaskWaits(cell);
    // Longer than a stop takes, so workers that lost capacity are within it
    // again.
    cell.Run(milliseconds(InRange<int>(300, 2000)));
    RC_ASSERT(cell.FindOvercommittedWorker() == "");
    RC_ASSERT(cell.violation == "");
  }
}

// Runs attempts of workload "k" that use a tenth of what they declare.
void LearnLowUsage(FakeCell& cell) {
  cell.actual_usage = [](const FakeJob&, const FakeTask&) {
    return wire::Resources{100, 100, 0};
  };
  auto spec = MakeBatchJob("past", "x", {1000, 1000, 0}, 20);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional(seconds(1));
  };
  cell.PlanUntilEmpty();
  cell.ReportUsage();
  cell.Run(seconds(2));
  cell.actual_run_time = {};
}

// Runs tasks that together declare `declared_capacities` times the processors
// of the worker. Their usage grows to up to three times what was reserved, and
// by less than the stop margin between two reports. Checks that the usage never
// exceeds the worker's capacity.
void GrowBeyondReservations(FakeCell& cell, uint32_t declared_capacities) {
  const auto tasks = InRange<uint32_t>(std::max(2U, declared_capacities), 20);
  for (uint32_t n = 0; n < tasks; ++n) {
    auto spec = MakeBatchJob(
        "j" + std::to_string(n), "x",
        {int64_t{100'000} / tasks * declared_capacities, 100'000 / tasks, 0});
    spec.workload = wire::WorkloadId("k");
    spec.priority =
        *rc::gen::element(wire::Priority::kNormal, wire::Priority::kLow);
    cell.Submit(spec);
  }
  const uint64_t placements_before = cell.placements;
  cell.PlanUntilEmpty();
  RC_ASSERT(cell.placements - placements_before == tasks);
  std::map<wire::JobId, wire::Resources> usage_by_job;
  // Growth of the worker's usage between two reports, less than the margin of
  // 10,000 between the stop threshold and the capacity.
  constexpr int64_t kGrowthPerReport = 9000;
  cell.actual_usage = [&](const FakeJob& job, const FakeTask&) {
    return usage_by_job[job.spec.id];
  };
  const auto peak_percent = InRange<int64_t>(30, 300);
  for (int n = 0; n < 60; ++n) {
    wire::Resources total_usage;
    for (auto& [id, job] : cell.jobs) {
      const FakeTask& task = job.tasks[0];
      wire::Resources& current_usage = usage_by_job[id];
      const bool is_throttled = task.order == wire::AttemptOrder::kThrottle ||
                                task.order == wire::AttemptOrder::kCheckpoint;
      const auto requested =
          std::min(task.reserved.milli_cpus * peak_percent / 100,
                   current_usage.milli_cpus + kGrowthPerReport / tasks);
      if (task.state != wire::TaskState::kRunning) {
        current_usage = {};
      } else if (is_throttled) {
        // Throttling limits processors to the reservation. Memory is kept.
        current_usage.milli_cpus =
            std::min(requested, task.reserved.milli_cpus);
      } else {
        current_usage = {requested, requested, 0};
      }
      total_usage += current_usage;
    }
    RC_ASSERT(total_usage.FitsIn({100'000, 100'000, 0}));
    RC_ASSERT(cell.FindOvercommittedWorker() == "");
    cell.ReportUsage();
    cell.Run(seconds(1));
  }
}

RC_GTEST_PROP(OverUseProperty, ObservedUsageStaysWithinCapacity, ()) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 100'000, 0});
  GrowBeyondReservations(cell, 1);
}

// Many attempts first use little of what they declare, so later tasks that
// declare four times the worker's processors are placed together. Then their
// usage grows.
RC_GTEST_PROP(OverUseProperty, GrowthAfterLowUsageStaysWithinCapacity, ()) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 100'000, 0});
  LearnLowUsage(cell);
  GrowBeyondReservations(cell, 4);
}

}  // namespace
}  // namespace sassafras::placement
