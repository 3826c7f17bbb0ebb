// Invariants over random runs.

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

std::string AnyOwner() {
  return *rc::gen::element<std::string>("x", "y", "z");
}

void AddOneWorker(FakeCell& cell, int n) {
  cell.AddWorker("w" + std::to_string(n), "zone-" + std::to_string(n % 3),
                 "rack-" + std::to_string(n % 2), n % 4 == 0 ? kGpu : kPlain);
}

void SubmitAny(FakeCell& cell, int n) {
  const auto devices = InRange<int64_t>(0, 4) == 0 ? 4 : 0;
  auto spec = MakeJob(
      "j" + std::to_string(n), AnyOwner(),
      AnyResources(9000, 20'000, devices) + wire::Resources{500, 500, 0},
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

wire::WorkerId AnyWorker(const FakeCell& cell) {
  const auto n = InRange<size_t>(0, cell.workers.size());
  return std::next(cell.workers.begin(), static_cast<int64_t>(n))->first;
}

void ChangeWorker(FakeCell& cell, bool is_leaving) {
  auto put = cell.workers.at(AnyWorker(cell)).put;
  put.state =
      is_leaving ? wire::WorkerState::kLeaving : wire::WorkerState::kReady;
  const bool is_gpu = put.capacity.accelerators > 0;
  put.capacity = is_leaving ? put.capacity : (is_gpu ? kGpu : kPlain);
  if (!is_leaving && *rc::gen::arbitrary<bool>()) {
    put.capacity = {put.capacity.milli_cpus / 2, put.capacity.memory_mib / 2,
                    put.capacity.accelerators / 2};
  }
  cell.PutWorker(put);
}

void CancelAny(FakeCell& cell) {
  if (!cell.jobs.empty()) {
    const auto n = InRange<size_t>(0, cell.jobs.size());
    cell.Cancel(std::next(cell.jobs.begin(), static_cast<int64_t>(n))->first);
  }
}

// Reports and ends of attempts that are long over must change nothing.
void SendStale(FakeCell& cell) {
  for (const auto& [id, job] : cell.jobs) {
    const wire::AttemptId old(job.tasks[0].attempt.value() / 2);
    if (old.IsNone()) {
      continue;
    }
    cell.scheduler.Apply(cell.now,
                         TaskEnded{{id, 0}, old, TaskOutcome::kDone, 1, ""});
    cell.scheduler.Apply(cell.now,
                         Usage{job.tasks[0].worker, {{{id, 0}, old, kGpu}}});
  }
}

void AnyStep(FakeCell& cell, int n) {
  switch (InRange<int>(0, 20)) {
    case 0:
      if (cell.workers.size() > 3) {
        cell.RemoveWorker(AnyWorker(cell));
      }
      break;
    case 1:
      AddOneWorker(cell, InRange<int>(0, 12));
      break;
    case 2:
      ChangeWorker(cell, *rc::gen::arbitrary<bool>());
      break;
    case 3:
      CancelAny(cell);
      break;
    case 4:
      cell.ReportUse();
      break;
    case 5:
      SendStale(cell);
      break;
    case 6:
      cell.Rebuild(static_cast<uint64_t>(n));
      break;
    case 7:
      cell.PutOwner(AnyOwner(), InRange<uint32_t>(1, 4),
                    *rc::gen::arbitrary<bool>()
                        ? std::optional(wire::Resources{64'000, 131'072, 8})
                        : std::nullopt);
      break;
    case 8: {
      // Something changes between the plan and its commit.
      const Plan plan = cell.scheduler.MakePlan(cell.now, {});
      CancelAny(cell);
      ChangeWorker(cell, true);
      cell.Commit(plan);
      break;
    }
    default:
      SubmitAny(cell, n);
  }
}

// The core's accounts are those of the state.
void CheckAccounts(FakeCell& cell) {
  for (const WorkerReport& it : cell.scheduler.ReportWorkers()) {
    const FakeWorker& worker = cell.workers.at(it.worker);
    RC_ASSERT(it.reserved == worker.reserved);
    RC_ASSERT(it.attempts == worker.tasks.size());
  }
  for (const OwnerReport& it : cell.scheduler.ReportOwners(cell.now)) {
    RC_ASSERT(it.held == cell.Reserved(it.owner.str()));
  }
}

bool Waits(const FakeJob& job) {
  return !job.is_cancelled && job.parked.empty() &&
         std::ranges::any_of(job.tasks, [](const FakeTask& it) {
           return it.state == wire::TaskState::kPending;
         });
}

bool WaitsForRoom(FakeCell& cell, const FakeJob& job, wire::Resources need) {
  const auto& owner = cell.owners[job.spec.owner.str()];
  return Waits(job) &&
         (!owner.quota ||
          (cell.Reserved(job.spec.owner.str()) + need).FitsIn(*owner.quota));
}

// What a naive scan of all workers finds room for isn't left waiting.
void CheckNothingFits(FakeCell& cell) {
  const auto reports = cell.scheduler.ReportWorkers();
  // Work that came up against its quota since it was looked at last still
  // counts as a demand until something ends.
  const bool has_demand =
      std::ranges::any_of(cell.jobs | std::views::values, [&](FakeJob& job) {
        return job.spec.per_task.accelerators > 0 && Waits(job);
      });
  for (const FakeJob& job : cell.jobs | std::views::values) {
    const auto need = cell.scheduler.TaskReservation(job.spec);
    if (job.spec.kind == wire::JobKind::kGang ||
        !WaitsForRoom(cell, job, need)) {
      continue;
    }
    for (const WorkerReport& it : reports) {
      const bool is_kept = has_demand && it.free.accelerators > 0 &&
                           need.accelerators == 0 &&
                           job.spec.kind == wire::JobKind::kBatch;
      const bool is_usable = !it.is_leaving && !it.is_quarantined &&
                             wire::Resources{}.FitsIn(it.free);
      if (!is_kept && is_usable && need.FitsIn(it.free)) {
        RC_FAIL(job.spec.id.str() + " of " + job.spec.owner.str() + " needs " +
                need.ToString() + " and waits, " + it.worker.str() + " has " +
                it.free.ToString());
      }
    }
  }
}

RC_GTEST_PROP(SchedulerProperty, KeepsItsPromisesInRandomRuns, ()) {
  FakeCell cell;
  cell.run_time = [](const wire::JobSpec& spec) {
    const bool is_service = spec.kind == wire::JobKind::kService;
    return is_service ? std::nullopt
                      : std::optional<base::Duration>(seconds(8));
  };
  cell.use = [](const FakeJob& job, const FakeTask& task) {
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
    AnyStep(cell, n);
    CheckAccounts(cell);
    cell.Plan();
    CheckAccounts(cell);
    CheckNothingFits(cell);
    // Longer than a stop takes: workers that shrank are inside again.
    cell.Run(milliseconds(InRange<int>(300, 2000)));
    RC_ASSERT(cell.FindOverCapacity() == "");
    RC_ASSERT(cell.fault == "");
  }
}

// Attempts of workload "k" that use a tenth of what they declare.
void LearnThatLittleIsUsed(FakeCell& cell) {
  cell.use = [](const FakeJob&, const FakeTask&) {
    return wire::Resources{100, 100, 0};
  };
  auto spec = MakeJob("past", "x", {1000, 1000, 0}, 20);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.run_time = [](const wire::JobSpec&) {
    return std::optional(seconds(1));
  };
  cell.Plan();
  cell.ReportUse();
  cell.Run(seconds(2));
  cell.run_time = {};
}

// Observed use of tasks that declare `parts` of the worker together grows by
// less than the margin between two reports, to up to three times what was
// reserved; the worker is never over its capacity.
void GrowBeyondReservations(FakeCell& cell, uint32_t parts) {
  const auto tasks = InRange<uint32_t>(std::max(2U, parts), 20);
  for (uint32_t n = 0; n < tasks; ++n) {
    auto spec = MakeJob("j" + std::to_string(n), "x",
                        {int64_t{100'000} / tasks * parts, 100'000 / tasks, 0});
    spec.workload = wire::WorkloadId("k");
    spec.priority =
        *rc::gen::element(wire::Priority::kNormal, wire::Priority::kLow);
    cell.Submit(spec);
  }
  const uint64_t before = cell.placements;
  cell.Plan();
  RC_ASSERT(cell.placements - before == tasks);
  std::map<wire::JobId, wire::Resources> used;
  constexpr int64_t kGrowth = 9000;  // of the worker, between two reports
  cell.use = [&](const FakeJob& job, const FakeTask&) {
    return used[job.spec.id];
  };
  const auto factor = InRange<int64_t>(30, 300);
  for (int n = 0; n < 60; ++n) {
    wire::Resources sum;
    for (auto& [id, job] : cell.jobs) {
      const FakeTask& task = job.tasks[0];
      wire::Resources& now = used[id];
      const bool is_throttled = task.order == wire::AttemptOrder::kThrottle ||
                                task.order == wire::AttemptOrder::kCheckpoint;
      const auto grown = std::min(task.reserved.milli_cpus * factor / 100,
                                  now.milli_cpus + kGrowth / tasks);
      if (task.state != wire::TaskState::kRunning) {
        now = {};
      } else if (is_throttled) {
        // Processors are held to the reservation, memory isn't given back.
        now.milli_cpus = std::min(grown, task.reserved.milli_cpus);
      } else {
        now = {grown, grown, 0};
      }
      sum += now;
    }
    RC_ASSERT(sum.FitsIn({100'000, 100'000, 0}));
    RC_ASSERT(cell.FindOverCapacity() == "");
    cell.ReportUse();
    cell.Run(seconds(1));
  }
}

RC_GTEST_PROP(OverUseProperty, NoWorkerIsOverItsCapacityByObservedUse, ()) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 100'000, 0});
  GrowBeyondReservations(cell, 1);
}

// The same after a flood of attempts that use little of what they declare: the
// tasks that follow declare four times what the worker has, and use it.
RC_GTEST_PROP(OverUseProperty,
              FloodOfUnderUseThenGrowthKeepsTheWorkerInside,
              ()) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 100'000, 0});
  LearnThatLittleIsUsed(cell);
  GrowBeyondReservations(cell, 4);
}

}  // namespace
}  // namespace sassafras::placement
