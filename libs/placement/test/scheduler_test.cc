// Tests of the placement policies for services, batch jobs, gangs, fair shares
// and urgent jobs.

#include "placement/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "fake_cell.h"

namespace sassafras::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using wire::TaskState;

std::multiset<std::string> ZonesOf(FakeCell& cell, const std::string& job) {
  std::multiset<std::string> zones;
  for (const FakeTask& it : cell.jobs.at(wire::JobId(job)).tasks) {
    if (it.state == TaskState::kRunning) {
      zones.insert(cell.workers.at(it.worker).registration.zone.str());
    }
  }
  return zones;
}

TEST(CreateTest, RejectsInvalidOptionAndNamesItsRange) {
  Options options;
  options.usage_quantile_percent = 101;
  PlacementReason why;
  EXPECT_FALSE(Scheduler::Create(options, 1, why));
  EXPECT_EQ(why.message, "usage_quantile_percent is 101, allowed are 1 to 100");
}

TEST(BatchTest, PacksTasksOntoOneWorkerWithinCapacity) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.Submit(MakeBatchJob("a", "x", {4000, 8192, 0}, 4));
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("a"), 4U);
  std::set<wire::WorkerId> used;
  for (const FakeTask& it : cell.jobs.at(wire::JobId("a")).tasks) {
    used.insert(it.worker);
  }
  EXPECT_EQ(used.size(), 1U);
  cell.Submit(MakeBatchJob("b", "x", {4000, 8192, 0}, 100));
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("b"), 20U);
  EXPECT_EQ(cell.FindOvercommittedWorker(), "");
  EXPECT_EQ(cell.refused_groups, 0U);
}

TEST(BatchTest, KeepsAcceleratorWorkersForTasksThatNeedThem) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity, "plain");
  AddWorkers(cell, 1, kGpuCapacity, "gpu");
  cell.Submit(MakeBatchJob("plain", "x", {16'000, 1024, 0}, 9));
  cell.Submit(MakeBatchJob("gpu", "x", {4000, 1024, 1}, 30));
  cell.PlanUntilEmpty();
  // All 24 accelerators are used, although the plain job was submitted first:
  // it doesn't take the processors of their workers.
  EXPECT_EQ(cell.CountActiveTasks("gpu"), 24U);
  EXPECT_EQ(cell.CountActiveTasks("plain"), 3U);
}

TEST(ServiceTest, SpreadsOverZonesThenRacksThenWorkers) {
  FakeCell cell;
  AddWorkers(cell, 4, kPlainCapacity);
  cell.Submit(MakeServiceJob("s", "x", {4000, 8192, 0}, 12));
  cell.PlanUntilEmpty();
  const auto zones = ZonesOf(cell, "s");
  EXPECT_EQ(zones.count("zone-0"), 4U);
  EXPECT_EQ(zones.count("zone-1"), 4U);
  std::set<wire::WorkerId> used;
  for (const FakeTask& it : cell.jobs.at(wire::JobId("s")).tasks) {
    used.insert(it.worker);
  }
  EXPECT_EQ(used.size(), 12U);
}

TEST(ServiceTest, RestoresTaskCountAfterZoneLoss) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 1);
  AddWorkers(cell, 4, kPlainCapacity);
  cell.Submit(MakeServiceJob("s", "x", {4000, 8192, 0}, 12));
  cell.PlanUntilEmpty();
  // The batch job of the other owner fills the rest of the cell.
  cell.Submit(MakeBatchJob("b", "y", {4000, 8192, 0}, 36));
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("b"), 36U);
  for (int n = 0; n < 4; ++n) {
    cell.RemoveWorker(wire::WorkerId("w0-" + std::to_string(n)));
  }
  EXPECT_EQ(cell.CountActiveTasks("s"), 8U);
  cell.Run(seconds(2));
  EXPECT_EQ(cell.CountTasks("s", TaskState::kRunning), 12U);
  EXPECT_EQ(cell.FindOvercommittedWorker(), "");
}

TEST(ServiceTest, MovesOffLeavingWorkerWithoutDuplicates) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.Submit(MakeServiceJob("s", "x", {4000, 8192, 0}, 6));
  cell.PlanUntilEmpty();
  auto registration = cell.workers.at(wire::WorkerId("w1-0")).registration;
  registration.state = wire::WorkerState::kLeaving;
  cell.PutWorker(registration);
  cell.Submit(MakeBatchJob("b", "x", {1000, 1024, 0}, 50));
  cell.Run(seconds(3));
  EXPECT_EQ(cell.CountTasks("s", TaskState::kRunning), 6U);
  EXPECT_TRUE(cell.workers.at(wire::WorkerId("w1-0")).tasks.empty());
}

TEST(GangTest, StartsAllTasksOrNone) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.Submit(MakeBatchJob("b", "x", {8000, 1024, 0}, 1));
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.Submit(MakeGangJob("g", "x", {8000, 1024, 0}, 6)),
            std::nullopt);
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("g"), 0U);
  cell.Cancel(wire::JobId("b"));
  const auto start = cell.now;
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountTasks("g", TaskState::kRunning), 6U);
  EXPECT_GT(cell.now, start);
}

TEST(GangTest, BackfillDoesNotDelayReservation) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.actual_run_time = [](const wire::JobSpec& spec) {
    return std::optional<base::Duration>(milliseconds(spec.expected_run_ms));
  };
  auto long_job = MakeBatchJob("long", "x", {8000, 1024, 0}, 3);
  long_job.expected_run_ms = 60'000;
  cell.Submit(long_job);
  cell.PlanUntilEmpty();
  auto gang = MakeGangJob("g", "x", {8000, 1024, 0}, 6);
  gang.expected_run_ms = 30'000;
  cell.Submit(gang);
  // Exceeds Options::gang_reservation_delay, so the gang holds a reservation.
  cell.Run(seconds(11));
  auto quick = MakeBatchJob("quick", "x", {8000, 1024, 0}, 1);
  quick.expected_run_ms = 5000;
  cell.Submit(quick);
  auto slow = MakeBatchJob("slow", "x", {8000, 1024, 0}, 1);
  slow.expected_run_ms = 60'000;
  cell.Submit(slow);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountActiveTasks("quick"), 1U);
  EXPECT_EQ(cell.CountActiveTasks("slow"), 0U);
  cell.Run(seconds(49));
  EXPECT_EQ(cell.CountTasks("g", TaskState::kRunning), 6U);
  cell.Run(seconds(60));
  EXPECT_EQ(cell.CountActiveTasks("slow"), 1U);
}

TEST(GangTest, StopsBackfillThatDelaysReservation) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.actual_run_time = [](const wire::JobSpec& spec) {
    const bool has_correct_estimate = spec.id.str() == "long";
    return has_correct_estimate ? std::optional<base::Duration>(seconds(60))
                                : std::nullopt;
  };
  auto long_job = MakeBatchJob("long", "x", {8000, 1024, 0}, 3);
  long_job.expected_run_ms = 60'000;
  cell.Submit(long_job);
  cell.PlanUntilEmpty();
  cell.Submit(MakeGangJob("g", "x", {8000, 1024, 0}, 6));
  cell.Run(seconds(11));
  auto underestimated = MakeBatchJob("liar", "x", {8000, 1024, 0}, 1);
  underestimated.expected_run_ms = 5000;
  cell.Submit(underestimated);
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountActiveTasks("liar"), 1U);
  cell.Run(seconds(49));
  EXPECT_EQ(cell.CountTasks("g", TaskState::kRunning), 6U);
}

TEST(GangTest, TwoGangsThatEachNeedMostOfTheCellBothFinish) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(20));
  };
  cell.Submit(MakeBatchJob("b", "z", {8000, 1024, 0}, 6));
  cell.PlanUntilEmpty();
  cell.Submit(MakeGangJob("g1", "x", {8000, 1024, 0}, 5));
  cell.Submit(MakeGangJob("g2", "y", {8000, 1024, 0}, 5));
  cell.Submit(MakeBatchJob("more", "z", {8000, 1024, 0}, 100));
  cell.Run(seconds(120));
  EXPECT_EQ(cell.CountTasks("g1", TaskState::kDone), 5U);
  EXPECT_EQ(cell.CountTasks("g2", TaskState::kDone), 5U);
}

// The new worker has room for one task of the gang, so the others' workers stay
// reserved and other work gets only the room beside them.
TEST(GangTest, FailedStartKeepsReservation) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  cell.Submit(MakeBatchJob("long", "x", {12'000, 1024, 0}, 3));
  cell.PlanUntilEmpty();
  AddWorkers(cell, 1, {8000, 8192, 0}, "small");
  cell.Submit(MakeGangJob("g", "x", {12'000, 1024, 0}, 3));
  // Exceeds Options::gang_reservation_delay, so the gang holds a reservation.
  cell.Run(seconds(11));
  cell.AddWorker("new", "zone-0", "rack-0", kPlainCapacity);
  cell.PlanUntilEmpty();
  EXPECT_EQ(cell.CountActiveTasks("g"), 0U);
  cell.Submit(MakeBatchJob("late", "x", {4000, 1024, 0}, 100));
  cell.Run(seconds(1));
  // Four on the new worker, two on each small one.
  EXPECT_EQ(cell.CountActiveTasks("late"), 10U);
  cell.Cancel(wire::JobId("long"));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountTasks("g", TaskState::kRunning), 3U);
}

// The gang starts on a worker that it didn't reserve, as soon as that needs no
// longer be kept for accelerator work. No attempt ends meanwhile.
TEST(GangTest, StartElsewhereFreesReservation) {
  FakeCell cell;
  AddWorkers(cell, 1, kPlainCapacity);
  auto long_job = MakeBatchJob("long", "x", {12'000, 1024, 0}, 3);
  long_job.priority = wire::Priority::kUrgent;
  cell.Submit(long_job);
  cell.PlanUntilEmpty();
  cell.AddWorker("small", "zone-0", "rack-0", {4000, 8192, 8});
  cell.Submit(MakeBatchJob("half", "x", {1000, 1024, 5}));
  cell.Submit(MakeBatchJob("other-half", "x", {1000, 1024, 5}));
  cell.Submit(MakeGangJob("g", "x", {12'000, 1024, 0}, 2));
  // Exceeds Options::gang_reservation_delay, so the gang holds a reservation.
  cell.Run(seconds(11));
  cell.Submit(MakeServiceJob("late", "x", {4000, 30'000, 0}, 3));
  cell.AddWorker("new", "zone-0", "rack-0", {24'000, 20'000, 4});
  cell.Run(seconds(1));
  ASSERT_EQ(cell.CountActiveTasks("g"), 0U);
  ASSERT_EQ(cell.CountActiveTasks("late"), 1U);
  cell.Cancel(wire::JobId("other-half"));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountActiveTasks("g"), 2U);
  EXPECT_EQ(cell.CountActiveTasks("late"), 3U);
}

TEST(FairShareTest, LargeBacklogOfOneOwnerDoesNotStarveAnother) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 3);
  AddWorkers(cell, 4, kPlainCapacity);
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(1));
  };
  cell.Submit(MakeBatchJob("flood", "x", {1000, 1024, 0}, 20'000));
  cell.Run(seconds(2));
  cell.Submit(MakeBatchJob("y", "y", {1000, 1024, 0}, 5000));
  cell.Run(seconds(3));
  const auto x_cpus = cell.ReservedByOwner("x").milli_cpus;
  const auto y_cpus = cell.ReservedByOwner("y").milli_cpus;
  EXPECT_EQ(x_cpus + y_cpus, 12 * 16'000);
  EXPECT_NEAR(static_cast<double>(y_cpus) / (12 * 16'000), 0.75, 0.01);
}

TEST(FairShareTest, ReclaimsLentShareByCheckpointBeforeStop) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 1);
  AddWorkers(cell, 4, kPlainCapacity);
  cell.Submit(MakeBatchJob("x", "x", {4000, 8192, 0}, 48));
  cell.PlanUntilEmpty();
  // Owner x borrows the idle half of owner y.
  EXPECT_EQ(cell.CountActiveTasks("x"), 48U);
  cell.Submit(MakeBatchJob("y", "y", {4000, 8192, 0}, 48));
  cell.Run(seconds(5));
  const auto count_ordered = [&](wire::AttemptOrder order) {
    return std::ranges::count(cell.jobs.at(wire::JobId("x")).tasks, order,
                              &FakeTask::order);
  };
  EXPECT_EQ(count_ordered(wire::AttemptOrder::kCheckpoint), 24);
  EXPECT_EQ(count_ordered(wire::AttemptOrder::kStop), 0);
  cell.Run(seconds(2));
  EXPECT_EQ(cell.CountTasks("y", TaskState::kRunning), 24U);
  EXPECT_EQ(cell.CountTasks("x", TaskState::kRunning), 24U);
  cell.Run(seconds(20));  // no further preemptions
  EXPECT_EQ(cell.preemptions, 24U);
}

TEST(FairShareTest, QuotaLimitsOwnerInIdleCell) {
  FakeCell cell;
  cell.PutOwner("x", 1, wire::Resources{10'000, 32'768, 0});
  AddWorkers(cell, 4, kPlainCapacity);
  cell.Submit(MakeBatchJob("x", "x", {4000, 1024, 0}, 10));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.CountActiveTasks("x"), 2U);
  EXPECT_EQ(cell.Submit(MakeBatchJob("big", "x", {12'000, 1024, 0})),
            "job \"big\" needs 12000m processors, the quota of owner \"x\" is "
            "10000m processors");
}

TEST(UrgentTest, StartsWithinTwoSecondsInFullCell) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 1);
  cell.stop_delay = seconds(1);
  AddWorkers(cell, 4, kPlainCapacity);
  cell.Submit(MakeBatchJob("x", "x", {4000, 8192, 0}, 60));
  cell.PlanUntilEmpty();
  base::Duration longest_wait{};
  cell.on_task_start = [&](const wire::TaskId& id, base::Duration wait) {
    longest_wait =
        id.job.str() == "urgent" ? std::max(longest_wait, wait) : longest_wait;
  };
  auto urgent = MakeBatchJob("urgent", "y", {8000, 8192, 0}, 6);
  urgent.priority = wire::Priority::kUrgent;
  cell.Submit(urgent);
  cell.Run(seconds(3));
  EXPECT_EQ(cell.CountTasks("urgent", TaskState::kRunning), 6U);
  EXPECT_LE(longest_wait, milliseconds(2100));
  EXPECT_EQ(cell.FindOvercommittedWorker(), "");
}

TEST(UrgentTest, PreemptsLowestPriorityAndSparesOwnersWithinShare) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 1);
  AddWorkers(cell, 1, kPlainCapacity);
  auto low = MakeBatchJob("low", "x", {4000, 8192, 0}, 4);
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.Submit(MakeBatchJob("normal", "x", {4000, 8192, 0}, 2));
  cell.Submit(MakeBatchJob("y", "y", {4000, 8192, 0}, 6));
  cell.PlanUntilEmpty();
  auto urgent = MakeBatchJob("urgent", "x", {4000, 8192, 0}, 6);
  urgent.priority = wire::Priority::kUrgent;
  cell.Submit(urgent);
  cell.Run(seconds(3));
  // Each owner uses its half, so only lower-priority tasks of the same owner
  // are preempted.
  EXPECT_EQ(cell.CountTasks("urgent", TaskState::kRunning), 6U);
  EXPECT_EQ(cell.CountTasks("low", TaskState::kRunning), 0U);
  EXPECT_EQ(cell.CountTasks("normal", TaskState::kRunning), 0U);
  EXPECT_EQ(cell.CountTasks("y", TaskState::kRunning), 6U);
}

TEST(AgingTest, LowPriorityTaskRunsDespiteUrgentTasksOfItsOwner) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {4000, 8192, 0});
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(10));
  };
  auto low = MakeBatchJob("low", "x", {4000, 1024, 0});
  low.priority = wire::Priority::kLow;
  for (int n = 0; n < 200; ++n) {
    auto urgent = MakeBatchJob("u" + std::to_string(n), "x", {4000, 1024, 0});
    urgent.priority = wire::Priority::kUrgent;
    cell.Submit(urgent);
    if (n == 0) {
      cell.PlanUntilEmpty();
      cell.Submit(low);
    }
    cell.Run(seconds(5));
  }
  EXPECT_EQ(cell.CountTasks("low", TaskState::kDone), 1U);
}

}  // namespace
}  // namespace sassafras::placement
