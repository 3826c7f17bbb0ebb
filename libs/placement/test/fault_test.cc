// Focused tests of what goes wrong: impossible and cancelled work, wrong
// declarations, workers that shrink or fail, and a new leader.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "fake_cell.h"
#include "placement/scheduler.h"

namespace sassafras::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::TaskState;

TEST(InfeasibleTest, IsRefusedNamingResourceAndBound) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  EXPECT_EQ(cell.Submit(MakeJob("a", "x", {1000, 1024, 1})),
            "job \"a\" needs 1 accelerators per task, the largest worker has "
            "0 accelerators");
  EXPECT_EQ(cell.Submit(Gang("g", "x", {9000, 1024, 0}, 4)),
            "job \"g\" needs 4 tasks of 9000m cpu, 1024 MiB, 0 accelerators "
            "at once, all workers together hold 3");
}

TEST(InfeasibleTest, ImpossibleJobIsParkedAndComesBack) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  cell.AddWorker("gpu", "zone-0", "rack-9", kGpu);
  cell.Submit(MakeJob("hog", "x", {32'000, 1024, 8}));
  cell.Plan();
  cell.Submit(MakeJob("a", "x", {1000, 1024, 8}));
  cell.Plan();
  const auto put = cell.workers.at(wire::WorkerId("gpu")).put;
  cell.RemoveWorker(wire::WorkerId("gpu"));
  cell.Submit(MakeJob("b", "x", {1000, 1024, 0}));
  cell.Plan();
  EXPECT_NE(cell.jobs.at(wire::JobId("a")).parked.find("accelerators"),
            std::string::npos);
  EXPECT_EQ(cell.Active("b"), 1U);
  cell.PutWorker(put);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.jobs.at(wire::JobId("a")).parked, "");
  EXPECT_EQ(cell.Active("a") + cell.Active("hog"), 1U);
}

TEST(CancelTest, CancelledWorkIsNeverProposedAgain) {
  FakeCell cell;
  AddWorkers(cell, 1, {1000, 1024, 0});
  for (int n = 0; n < 10'000; ++n) {
    cell.Submit(MakeJob("j" + std::to_string(n), "x", {1000, 1024, 0}));
  }
  cell.Plan();
  EXPECT_EQ(cell.placements, 3U);
  for (const auto& [id, job] : cell.jobs) {
    cell.Cancel(id);
  }
  cell.Submit(MakeJob("next", "x", {1000, 1024, 0}));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.placements, 4U);
  EXPECT_EQ(cell.Active("next"), 1U);
}

TEST(EstimateTest, UseAboveTheDeclarationIsLearnedWithinAFewRuns) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  cell.use = [](const FakeJob&, const FakeTask&) {
    return wire::Resources{3000, 1024, 0};
  };
  auto spec = MakeJob("a", "x", {1000, 1024, 0}, 3);
  spec.workload = wire::WorkloadId("render");
  cell.Submit(spec);
  cell.Plan();
  cell.ReportUse();
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 3450);
  spec.id = wire::JobId("b");
  cell.Submit(spec);
  cell.Plan();
  EXPECT_EQ(cell.task({wire::JobId("b"), 0}).reserved.milli_cpus, 3450);
}

// Runs attempts of workload "k" that use `percent` of the `milli_cpus` that
// each declares.
void RunAndLearn(FakeCell& cell,
                 int64_t milli_cpus,
                 int64_t percent,
                 uint32_t tasks = 4) {
  cell.use = [percent](const FakeJob& job, const FakeTask&) {
    const auto& declared = job.spec.per_task;
    return wire::Resources{declared.milli_cpus * percent / 100,
                           declared.memory_mib * percent / 100, 0};
  };
  cell.run_time = [](const wire::JobSpec& spec) {
    return spec.id.str() == "past" ? std::optional<base::Duration>(seconds(2))
                                   : std::nullopt;
  };
  auto spec = MakeJob("past", "x", {milli_cpus, 100, 0}, tasks);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.Run(seconds(1));
  cell.ReportUse();
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
  cell.Run(seconds(2));
}

TEST(EstimateTest, ProcessorsThatAreNeverUsedAreGivenBackMemoryIsNot) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  RunAndLearn(cell, 1000, 40);
  auto spec = MakeJob("next", "x", {10'000, 1000, 0}, 9);
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec),
            (wire::Resources{4600, 1000, 0}));
  cell.Submit(spec);
  cell.Plan();
  EXPECT_EQ(cell.Active("next"), 9U);
  EXPECT_EQ(cell.FindOverCapacity(), "");
  spec.kind = wire::JobKind::kService;
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
}

TEST(EstimateTest, ThreeAttemptsAreTooFewToGiveBackProcessors) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  RunAndLearn(cell, 1000, 40, 3);
  auto spec = MakeJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
}

TEST(EstimateTest, AtLeastAQuarterOfTheDeclaredProcessorsIsReserved) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlain);
  RunAndLearn(cell, 1000, 1);
  auto spec = MakeJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 2500);
}

TEST(EstimateTest, WaitingWorkStartsOnceItIsKnownToNeedLess) {
  FakeCell cell;
  cell.AddWorker("small", "z", "r", {1000, 1000, 0});
  // Used last, as it has an accelerator.
  cell.AddWorker("large", "z", "r", {10'000, 10'000, 1});
  cell.Submit(MakeJob("other", "x", {5000, 100, 0}));
  auto spec = MakeJob("next", "x", {8000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.Plan();
  // These end on the small worker, where the waiting task never fits.
  RunAndLearn(cell, 250, 40);
  EXPECT_EQ(cell.Active("next"), 1U);
}

TEST(EstimateTest, AttemptsThatUseAllTheyAreHeldToAreTakenToWantMore) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 10'000, 0});
  RunAndLearn(cell, 1000, 40);
  auto spec = MakeJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.Plan();
  const FakeTask& task = cell.task({spec.id, 0});
  EXPECT_EQ(task.order, wire::AttemptOrder::kThrottle);
  cell.use = [](const FakeJob&, const FakeTask& at) {
    return wire::Resources{at.reserved.milli_cpus, 1000, 0};
  };
  cell.ReportUse();
  cell.Run(seconds(5));
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
  EXPECT_EQ(task.order, wire::AttemptOrder::kThrottle);  // is never let go
}

TEST(EstimateTest, WorkThatOutgrowsItsReservationComesBackAsDeclared) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  RunAndLearn(cell, 1000, 20);
  auto spec = MakeJob("next", "x", {10'000, 100, 0}, 4);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.Plan();
  EXPECT_EQ(cell.Active("next"), 4U);
  const wire::TaskId odd{spec.id, 3};
  cell.use = [&](const FakeJob& job, const FakeTask& at) {
    const bool is_odd = &at == &job.tasks[odd.index];
    return wire::Resources{is_odd ? 3500 : 2500, 100, 0};
  };
  cell.ReportUse();
  cell.Plan();
  EXPECT_EQ(cell.task(odd).state, TaskState::kStopping);
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 10'000);
}

TEST(OverUseTest, ClimbsFromThrottleToStopLowestClassFirst) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  auto low = MakeJob("low", "x", {4000, 1000, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.Submit(MakeJob("normal", "x", {4000, 1000, 0}));
  cell.Plan();
  int64_t each = 4450;
  cell.use = [&](const FakeJob&, const FakeTask&) {
    return wire::Resources{each, 1000, 0};
  };
  const auto step = [&] {
    cell.ReportUse();
    cell.Run(seconds(1));
  };
  step();
  EXPECT_EQ(cell.task({wire::JobId("low"), 0}).order,
            wire::AttemptOrder::kThrottle);
  step();
  EXPECT_EQ(cell.task({wire::JobId("low"), 0}).order,
            wire::AttemptOrder::kCheckpoint);
  step();
  EXPECT_EQ(cell.Count("low", TaskState::kRunning), 0U);
  EXPECT_EQ(cell.Count("normal", TaskState::kRunning), 1U);
}

TEST(OverUseTest, CloseToCapacityTheLowestClassIsStoppedAtOnce) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  auto low = MakeJob("low", "x", {4000, 1000, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.Submit(MakeJob("normal", "x", {4000, 1000, 0}));
  cell.Plan();
  cell.use = [&](const FakeJob&, const FakeTask&) {
    return wire::Resources{4600, 1000, 0};
  };
  cell.ReportUse();
  cell.Plan();
  EXPECT_EQ(cell.Count("low", TaskState::kStopping), 1U);
  EXPECT_EQ(cell.Count("normal", TaskState::kRunning), 1U);
}

TEST(ShrinkTest, AWorkerThatComesBackSmallerSheds) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", kPlain);
  cell.Submit(Service("s", "x", {4000, 8192, 0}, 2));
  cell.Submit(MakeJob("b", "x", {4000, 8192, 0}, 2));
  cell.Plan();
  auto put = cell.workers.at(wire::WorkerId("w")).put;
  put.capacity = {8000, 16'384, 0};
  cell.PutWorker(put);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.FindOverCapacity(), "");
  EXPECT_EQ(cell.Count("s", TaskState::kRunning), 2U);
  EXPECT_EQ(cell.Active("b"), 0U);
}

TEST(HealthTest, WorkerThatFailsEverythingIsHeldBackProbedAndReleased) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlain);
  const wire::WorkerId bad("w0-0");
  bool is_bad = true;
  cell.fails = [&](const wire::TaskId&, const wire::WorkerId& worker) {
    return is_bad && worker == bad;
  };
  cell.run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(3));
  };
  int n = 0;
  const auto stream = [&](int count) {
    for (int k = 0; k < count; ++k) {
      const std::string owner = n % 2 == 0 ? "x" : "y";
      auto spec = MakeJob("j" + std::to_string(n), owner, {4000, 1024, 0}, 4);
      spec.workload = wire::WorkloadId("kind-" + std::to_string(n % 6));
      cell.Submit(spec);
      ++n;
      cell.Run(seconds(1));
    }
  };
  stream(20);
  EXPECT_TRUE(cell.quarantined.contains(bad));
  EXPECT_EQ(cell.quarantined.size(), 1U);
  const auto count_probes = [&] {
    return std::ranges::count(cell.decisions,
                              std::string("probe of a quarantined worker"),
                              &Decision::why);
  };
  stream(40);
  EXPECT_GE(count_probes(), 1);
  EXPECT_LE(count_probes(), 2);  // at most one at a time, ever more seldom
  is_bad = false;
  stream(120);
  EXPECT_TRUE(cell.quarantined.empty());
  for (const auto& [id, job] : cell.jobs) {
    EXPECT_EQ(cell.Count(id.str(), TaskState::kFailed), 0U);
  }
}

TEST(HealthTest, FloodOfFailingWorkOfOneOwnerHoldsNoWorkerBack) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlain);
  cell.fails = [](const wire::TaskId& id, const wire::WorkerId&) {
    return id.job.str().starts_with("bad");
  };
  cell.run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(3));
  };
  for (int n = 0; n < 100; ++n) {
    cell.Submit(MakeJob("bad" + std::to_string(n), "x", {4000, 1024, 0}));
    cell.Submit(MakeJob("good" + std::to_string(n), "y", {4000, 1024, 0}));
    cell.Run(milliseconds(200));
  }
  EXPECT_TRUE(cell.quarantined.empty());
}

TEST(HealthTest, AFailedTaskIsTriedOnAnotherWorker) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlain);
  cell.fails = [](const wire::TaskId&, const wire::WorkerId&) { return true; };
  cell.Submit(MakeJob("a", "x", {4000, 1024, 0}));
  cell.Run(seconds(5));
  EXPECT_EQ(cell.Count("a", TaskState::kFailed), 1U);
  EXPECT_EQ(cell.task({wire::JobId("a"), 0}).failed_on.size(), 3U);
}

TEST(RebuildTest, ANewSchedulerGoesOnFromTheState) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlain);
  cell.Submit(MakeJob("a", "x", {4000, 8192, 0}, 20));
  cell.Plan();
  PlacementReason why;
  Scheduler next = *Scheduler::Create({}, 2, why);
  for (const auto& [id, worker] : cell.workers) {
    next.Apply(cell.now, worker.put);
  }
  for (const auto& [id, job] : cell.jobs) {
    next.Apply(cell.now, PutJob{job.spec, job.submitted});
    for (uint32_t n = 0; n < job.tasks.size(); ++n) {
      const FakeTask& it = job.tasks[n];
      next.Apply(cell.now,
                 TaskAssigned{{id, n}, it.attempt, it.worker, it.reserved});
    }
  }
  cell.scheduler = std::move(next);
  cell.Submit(MakeJob("b", "x", {4000, 8192, 0}, 20));
  cell.Plan();
  EXPECT_EQ(cell.Active("b"), 4U);
  EXPECT_EQ(cell.refused_groups, 0U);
}

}  // namespace
}  // namespace sassafras::placement
