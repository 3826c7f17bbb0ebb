// Tests of infeasible and cancelled jobs, wrong resource declarations, workers
// that lose capacity or fail, and a change of leader.

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

TEST(InfeasibleTest, RejectionNamesResourceAndLimit) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  EXPECT_EQ(cell.Submit(MakeBatchJob("a", "x", {1000, 1024, 1})),
            "job \"a\" needs 1 accelerators per task, the largest worker has "
            "0 accelerators");
  EXPECT_EQ(cell.Submit(MakeGangJob("g", "x", {9000, 1024, 0}, 4)),
            "job \"g\" needs 4 tasks of 9000m cpu, 1024 MiB, 0 accelerators "
            "at once, all workers together hold 3");
}

TEST(InfeasibleTest, InfeasibleJobIsParkedUntilFeasible) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.AddWorker("gpu", "zone-0", "rack-9", kGpuCapacity);
  cell.Submit(MakeBatchJob("hog", "x", {32'000, 1024, 8}));
  cell.PlanUntilEmpty();
  cell.Submit(MakeBatchJob("a", "x", {1000, 1024, 8}));
  cell.PlanUntilEmpty();
  const auto registration = cell.workers.at(wire::WorkerId("gpu")).registration;
  cell.RemoveWorker(wire::WorkerId("gpu"));
  cell.Submit(MakeBatchJob("b", "x", {1000, 1024, 0}));
  cell.PlanUntilEmpty();
  EXPECT_NE(cell.jobs.at(wire::JobId("a")).park_reason.find("accelerators"),
            std::string::npos);
  EXPECT_EQ(cell.CountActiveTasks("b"), 1U);
  cell.PutWorker(registration);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.jobs.at(wire::JobId("a")).park_reason, "");
  EXPECT_EQ(cell.CountActiveTasks("a") + cell.CountActiveTasks("hog"), 1U);
}

TEST(CancelTest, CancelledTasksAreNotPlaced) {
  FakeCell cell;
  AddWorkers(cell, 1, {1000, 1024, 0});
  for (int n = 0; n < 10'000; ++n) {
    cell.Submit(MakeBatchJob("j" + std::to_string(n), "x", {1000, 1024, 0}));
  }
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.placements, 3U);
  for (const auto& [id, job] : cell.jobs) {
    cell.Cancel(id);
  }
  cell.Submit(MakeBatchJob("next", "x", {1000, 1024, 0}));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.placements, 4U);
  EXPECT_EQ(cell.CountActiveTasks("next"), 1U);
}

TEST(EstimateTest, ReservationRisesAfterUsageAboveDeclaration) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.actual_usage = [](const FakeJob&, const FakeTask&) {
    return wire::Resources{3000, 1024, 0};
  };
  auto spec = MakeBatchJob("a", "x", {1000, 1024, 0}, 3);
  spec.workload = wire::WorkloadId("render");
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  cell.ReportUsage();
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 3450);
  spec.id = wire::JobId("b");
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.task({wire::JobId("b"), 0}).reserved.milli_cpus, 3450);
}

// Runs attempts of workload "k" to completion. Each declares `milli_cpus` and
// uses `percent` percent of what it declares.
void LearnUsageFromCompletedJob(FakeCell& cell,
                                int64_t milli_cpus,
                                int64_t percent,
                                uint32_t tasks = 4) {
  cell.actual_usage = [percent](const FakeJob& job, const FakeTask&) {
    const auto& declared = job.spec.per_task;
    return wire::Resources{declared.milli_cpus * percent / 100,
                           declared.memory_mib * percent / 100, 0};
  };
  cell.actual_run_time = [](const wire::JobSpec& spec) {
    return spec.id.str() == "past" ? std::optional<base::Duration>(seconds(2))
                                   : std::nullopt;
  };
  auto spec = MakeBatchJob("past", "x", {milli_cpus, 100, 0}, tasks);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.Run(seconds(1));
  cell.ReportUsage();
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
  cell.Run(seconds(2));
}

TEST(EstimateTest, UnusedCpuIsReclaimedButMemoryIsNot) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  LearnUsageFromCompletedJob(cell, 1000, 40);
  auto spec = MakeBatchJob("next", "x", {10'000, 1000, 0}, 9);
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec),
            (wire::Resources{4600, 1000, 0}));
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("next"), 9U);
  EXPECT_EQ(cell.FindOvercommittedWorker(), "");
  spec.kind = wire::JobKind::kService;
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
}

TEST(EstimateTest, ThreeAttemptsAreTooFewToReclaimCpu) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  LearnUsageFromCompletedJob(cell, 1000, 40, 3);
  auto spec = MakeBatchJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
}

TEST(EstimateTest, ReservesAtLeastAQuarterOfDeclaredCpu) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  LearnUsageFromCompletedJob(cell, 1000, 1);
  auto spec = MakeBatchJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 2500);
}

TEST(EstimateTest, PendingTaskStartsWhenItsEstimateDrops) {
  FakeCell cell;
  cell.AddWorker("small", "z", "r", {1000, 1000, 0});
  // Workers with accelerators are used last.
  cell.AddWorker("large", "z", "r", {10'000, 10'000, 1});
  cell.Submit(MakeBatchJob("other", "x", {5000, 100, 0}));
  auto spec = MakeBatchJob("next", "x", {8000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  // These attempts run on the small worker, which is too small for the pending
  // task.
  LearnUsageFromCompletedJob(cell, 250, 40);
  EXPECT_EQ(cell.CountActiveTasks("next"), 1U);
}

TEST(EstimateTest, UsageAtThrottleLimitRestoresDeclaredReservation) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {100'000, 10'000, 0});
  LearnUsageFromCompletedJob(cell, 1000, 40);
  auto spec = MakeBatchJob("next", "x", {10'000, 1000, 0});
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  const FakeTask& task = cell.task({spec.id, 0});
  EXPECT_EQ(task.order, wire::AttemptOrder::kThrottle);
  cell.actual_usage = [](const FakeJob&, const FakeTask& fake_task) {
    return wire::Resources{fake_task.reserved.milli_cpus, 1000, 0};
  };
  cell.ReportUsage();
  cell.Run(seconds(5));
  EXPECT_EQ(cell.scheduler.TaskReservation(spec), spec.per_task);
  EXPECT_EQ(task.order, wire::AttemptOrder::kThrottle);  // remains throttled
}

TEST(EstimateTest, UsageAboveReservationRestoresDeclaredReservation) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  LearnUsageFromCompletedJob(cell, 1000, 20);
  auto spec = MakeBatchJob("next", "x", {10'000, 100, 0}, 4);
  spec.workload = wire::WorkloadId("k");
  cell.Submit(spec);
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("next"), 4U);
  const wire::TaskId outlier{spec.id, 3};
  cell.actual_usage = [&](const FakeJob& job, const FakeTask& fake_task) {
    const bool is_outlier = &fake_task == &job.tasks[outlier.index];
    return wire::Resources{is_outlier ? 3500 : 2500, 100, 0};
  };
  cell.ReportUsage();
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.task(outlier).state, TaskState::kStopping);
  EXPECT_EQ(cell.scheduler.TaskReservation(spec).milli_cpus, 10'000);
}

TEST(OverUseTest, EscalatesFromThrottleToStopForLowestPriority) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  auto low = MakeBatchJob("low", "x", {4000, 1000, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.Submit(MakeBatchJob("normal", "x", {4000, 1000, 0}));
  cell.PlanUntilEmpty();
  int64_t cpu_usage = 4450;
  cell.actual_usage = [&](const FakeJob&, const FakeTask&) {
    return wire::Resources{cpu_usage, 1000, 0};
  };
  const auto report_and_run = [&] {
    cell.ReportUsage();
    cell.Run(seconds(1));
  };
  report_and_run();
  EXPECT_EQ(cell.task({wire::JobId("low"), 0}).order,
            wire::AttemptOrder::kThrottle);
  report_and_run();
  EXPECT_EQ(cell.task({wire::JobId("low"), 0}).order,
            wire::AttemptOrder::kCheckpoint);
  report_and_run();
  EXPECT_EQ(cell.CountTasks("low", TaskState::kRunning), 0U);
  EXPECT_EQ(cell.CountTasks("normal", TaskState::kRunning), 1U);
}

TEST(OverUseTest, StopsLowestPriorityImmediatelyNearCapacity) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {10'000, 10'000, 0});
  auto low = MakeBatchJob("low", "x", {4000, 1000, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.Submit(MakeBatchJob("normal", "x", {4000, 1000, 0}));
  cell.PlanUntilEmpty();
  cell.actual_usage = [&](const FakeJob&, const FakeTask&) {
    return wire::Resources{4600, 1000, 0};
  };
  cell.ReportUsage();
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountTasks("low", TaskState::kStopping), 1U);
  EXPECT_EQ(cell.CountTasks("normal", TaskState::kRunning), 1U);
}

TEST(ShrinkTest, StopsTasksThatExceedReducedCapacity) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", kPlainCapacity);
  cell.Submit(MakeServiceJob("s", "x", {4000, 8192, 0}, 2));
  cell.Submit(MakeBatchJob("b", "x", {4000, 8192, 0}, 2));
  cell.PlanUntilEmpty();
  auto registration = cell.workers.at(wire::WorkerId("w")).registration;
  registration.capacity = {8000, 16'384, 0};
  cell.PutWorker(registration);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.FindOvercommittedWorker(), "");
  EXPECT_EQ(cell.CountTasks("s", TaskState::kRunning), 2U);
  EXPECT_EQ(cell.CountActiveTasks("b"), 0U);
}

TEST(HealthTest, FailingWorkerIsQuarantinedProbedAndReleased) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  const wire::WorkerId failing_worker("w0-0");
  bool is_failing = true;
  cell.should_fail = [&](const wire::TaskId&, const wire::WorkerId& worker) {
    return is_failing && worker == failing_worker;
  };
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(3));
  };
  int n = 0;
  const auto submit_jobs = [&](int count) {
    for (int k = 0; k < count; ++k) {
      const std::string owner = n % 2 == 0 ? "x" : "y";
      auto spec =
          MakeBatchJob("j" + std::to_string(n), owner, {4000, 1024, 0}, 4);
      spec.workload = wire::WorkloadId("kind-" + std::to_string(n % 6));
      cell.Submit(spec);
      ++n;
      cell.Run(seconds(1));
    }
  };
  submit_jobs(20);
  EXPECT_TRUE(cell.quarantined.contains(failing_worker));
  EXPECT_EQ(cell.quarantined.size(), 1U);
  const auto count_probes = [&] {
    return std::ranges::count(cell.decisions,
                              std::string("probe of a quarantined worker"),
                              &Decision::why);
  };
  submit_jobs(40);
  EXPECT_GE(count_probes(), 1);
  EXPECT_LE(count_probes(), 2);  // one at a time, with a growing delay
  is_failing = false;
  submit_jobs(120);
  EXPECT_TRUE(cell.quarantined.empty());
  for (const auto& [id, job] : cell.jobs) {
    EXPECT_EQ(cell.CountTasks(id.str(), TaskState::kFailed), 0U);
  }
}

TEST(HealthTest, FailingJobsOfOneOwnerQuarantineNoWorker) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.should_fail = [](const wire::TaskId& id, const wire::WorkerId&) {
    return id.job.str().starts_with("bad");
  };
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(3));
  };
  for (int n = 0; n < 100; ++n) {
    cell.Submit(MakeBatchJob("bad" + std::to_string(n), "x", {4000, 1024, 0}));
    cell.Submit(MakeBatchJob("good" + std::to_string(n), "y", {4000, 1024, 0}));
    cell.Run(milliseconds(200));
  }
  EXPECT_TRUE(cell.quarantined.empty());
}

TEST(HealthTest, RetriesFailedTaskOnAnotherWorker) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.should_fail = [](const wire::TaskId&, const wire::WorkerId&) {
    return true;
  };
  cell.Submit(MakeBatchJob("a", "x", {4000, 1024, 0}));
  cell.Run(seconds(5));
  EXPECT_EQ(cell.CountTasks("a", TaskState::kFailed), 1U);
  EXPECT_EQ(cell.task({wire::JobId("a"), 0}).failed_workers.size(), 3U);
}

TEST(RebuildTest, NewSchedulerResumesFromState) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.Submit(MakeBatchJob("a", "x", {4000, 8192, 0}, 20));
  cell.PlanUntilEmpty();
  PlacementReason why;
  Scheduler new_scheduler = *Scheduler::Create({}, 2, why);
  for (const auto& [id, worker] : cell.workers) {
    new_scheduler.Apply(cell.now, worker.registration);
  }
  for (const auto& [id, job] : cell.jobs) {
    new_scheduler.Apply(cell.now, PutJob{job.spec, job.submitted});
    for (uint32_t n = 0; n < job.tasks.size(); ++n) {
      const FakeTask& it = job.tasks[n];
      new_scheduler.Apply(
          cell.now, TaskAssigned{{id, n}, it.attempt, it.worker, it.reserved});
    }
  }
  cell.scheduler = std::move(new_scheduler);
  cell.Submit(MakeBatchJob("b", "x", {4000, 8192, 0}, 20));
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("b"), 4U);
  EXPECT_EQ(cell.refused_groups, 0U);
}

}  // namespace
}  // namespace sassafras::placement
