// Tests of the single conditions for quarantine, probing, aging and spreading.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "fake_cell.h"
#include "worker_health.h"

namespace sassafras::placement {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::Instant kNow{std::chrono::hours(1)};

// Returns the health of a worker on which `workload_count` workloads, each of
// another owner, failed once.
WorkerHealth HealthAfterFailures(uint64_t workload_count) {
  WorkerHealth health;
  for (uint64_t n = 0; n < workload_count; ++n) {
    health.RecordFastFailure(kNow, n, static_cast<uint32_t>(n), false, {});
  }
  return health;
}

TEST(SuspicionTest, RequiresFailuresOfThreeWorkloads) {
  EXPECT_FALSE(HealthAfterFailures(2).QuarantineReason(kNow, 3, {}));
  EXPECT_TRUE(HealthAfterFailures(3).QuarantineReason(kNow, 3, {}));
}

TEST(SuspicionTest, RequiresMoreFailuresThanSuccesses) {
  auto health = HealthAfterFailures(3);
  for (int n = 0; n < 3; ++n) {
    health.RecordSuccess(kNow);
  }
  EXPECT_FALSE(health.QuarantineReason(kNow, 3, {}));
}

TEST(SuspicionTest, FailuresOfOneOwnerCountOnlyIfWorkloadSucceedsElsewhere) {
  for (const bool has_succeeded_elsewhere : {false, true}) {
    WorkerHealth health;
    for (uint64_t n = 0; n < 3; ++n) {
      health.RecordFastFailure(kNow, n, 1, has_succeeded_elsewhere, {});
    }
    EXPECT_EQ(health.QuarantineReason(kNow, 2, {}).has_value(),
              has_succeeded_elsewhere);
  }
}

TEST(SuspicionTest, LaterSuccessElsewhereMakesFailuresCount) {
  WorkerHealth health;
  for (uint64_t n = 0; n < 3; ++n) {
    health.RecordFastFailure(kNow, n, 1, false, {});
    EXPECT_FALSE(health.QuarantineReason(kNow, 2, {}));
    health.RecordSuccessElsewhere(n);
  }
  EXPECT_TRUE(health.QuarantineReason(kNow, 2, {}));
  WorkloadHealth workload;
  workload.RecordFailure(kNow, 4, {});
  EXPECT_EQ(workload.RecordSuccess(kNow, 5), std::vector<uint32_t>{4});
  EXPECT_TRUE(workload.RecordSuccess(kNow, 5).empty());
}

TEST(SuspicionTest, IgnoresFailuresOutsideTheWindow) {
  EXPECT_FALSE(
      HealthAfterFailures(3).QuarantineReason(kNow + minutes(6), 3, {}));
}

TEST(ProbeTest, RunsOneProbeAtATimeWithDoublingDelay) {
  WorkerHealth health;
  health.Quarantine(kNow, {});
  EXPECT_FALSE(health.MayProbe(kNow + seconds(29)));
  EXPECT_TRUE(health.MayProbe(kNow + seconds(30)));
  health.StartProbe();
  EXPECT_FALSE(health.MayProbe(kNow + seconds(31)));
  health.FailProbe(kNow + seconds(31), {});
  EXPECT_FALSE(health.MayProbe(kNow + seconds(90)));
  EXPECT_TRUE(health.MayProbe(kNow + seconds(91)));
}

// Tasks of three owners fail on all workers but one. At most two of the six
// workers may be quarantined at once.
TEST(QuarantineTest, QuarantinesAtMostAThirdOfWorkers) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlainCapacity);
  cell.should_fail = [](const wire::TaskId&, const wire::WorkerId& worker) {
    return worker.str() != "w2-1";
  };
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(1));
  };
  for (int n = 0; n < 100; ++n) {
    auto spec = MakeBatchJob("j" + std::to_string(n),
                             "o" + std::to_string(n % 3), {9000, 1024, 0});
    cell.Submit(spec);
    cell.Run(seconds(1));
    EXPECT_LE(cell.quarantined.size(), 2U);
  }
  EXPECT_FALSE(cell.quarantined.empty());
}

TEST(SpreadTest, BalancesServiceTasksAcrossRacksOfAZone) {
  FakeCell cell;
  for (int n = 0; n < 8; ++n) {
    // Six of the eight workers are in one rack.
    cell.AddWorker("w" + std::to_string(n), "z", n < 6 ? "a" : "b",
                   kPlainCapacity);
  }
  cell.Submit(MakeServiceJob("s", "x", {1000, 1024, 0}, 4));
  cell.PlanUntilEmpty();
  const auto count_in_rack = [&](const std::string& rack) {
    return std::ranges::count_if(
        cell.jobs.at(wire::JobId("s")).tasks, [&](const FakeTask& it) {
          return cell.workers.at(it.worker).registration.rack.str() == rack;
        });
  };
  EXPECT_EQ(count_in_rack("a"), 2);
  EXPECT_EQ(count_in_rack("b"), 2);
}

// Lets a low-priority and a normal task wait for a worker with capacity for one
// task. Returns the job that starts first.
std::string FirstJobToStart(base::Duration low_priority_head_start) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {4000, 8192, 0});
  cell.Submit(MakeBatchJob("blocker", "x", {4000, 1024, 0}));
  cell.PlanUntilEmpty();
  auto low = MakeBatchJob("low", "x", {4000, 1024, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.now += low_priority_head_start;
  cell.Submit(MakeBatchJob("normal", "x", {4000, 1024, 0}));
  cell.Cancel(wire::JobId("blocker"));
  cell.Run(seconds(1));
  return cell.CountActiveTasks("low") == 1 ? "low" : "normal";
}

TEST(AgingTest, WaitingOneMinuteRaisesPriorityByOneClass) {
  EXPECT_EQ(FirstJobToStart(seconds(59)), "normal");
  EXPECT_EQ(FirstJobToStart(seconds(61)), "low");
}

}  // namespace
}  // namespace sassafras::placement
