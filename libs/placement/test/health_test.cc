// Guards of quarantine, probing, aging and spread, one test each.

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

// Failures of distinct workloads, each of its own owner.
WorkerHealth FailedBy(uint64_t workloads) {
  WorkerHealth health;
  for (uint64_t n = 0; n < workloads; ++n) {
    health.RecordFastFailure(kNow, n, static_cast<uint32_t>(n), false, {});
  }
  return health;
}

TEST(SuspicionTest, NeedsFailuresOfThreeWorkloads) {
  EXPECT_FALSE(FailedBy(2).QuarantineReason(kNow, 3, {}));
  EXPECT_TRUE(FailedBy(3).QuarantineReason(kNow, 3, {}));
}

TEST(SuspicionTest, NeedsMoreFailuresThanSuccesses) {
  auto health = FailedBy(3);
  for (int n = 0; n < 3; ++n) {
    health.RecordSuccess(kNow);
  }
  EXPECT_FALSE(health.QuarantineReason(kNow, 3, {}));
}

TEST(SuspicionTest, FailuresOfOneOwnerCountOnlyWhereTheWorkSucceedsElsewhere) {
  for (const bool is_proven : {false, true}) {
    WorkerHealth health;
    for (uint64_t n = 0; n < 3; ++n) {
      health.RecordFastFailure(kNow, n, 1, is_proven, {});
    }
    EXPECT_EQ(health.QuarantineReason(kNow, 2, {}).has_value(), is_proven);
  }
}

TEST(SuspicionTest, WorkMaySucceedElsewhereAfterItFailed) {
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

TEST(SuspicionTest, FailuresOutsideTheWindowAreForgotten) {
  EXPECT_FALSE(FailedBy(3).QuarantineReason(kNow + minutes(6), 3, {}));
}

TEST(ProbeTest, ComesAfterAWaitThatDoublesAndOneAtATime) {
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

// Work of one owner that fails on its third of the workers and on no other.
TEST(QuarantineTest, AtMostAThirdOfTheWorkersIsHeldBack) {
  FakeCell cell;
  AddWorkers(cell, 2, kPlain);
  cell.fails = [](const wire::TaskId&, const wire::WorkerId& worker) {
    return worker.str() != "w2-1";
  };
  cell.run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(1));
  };
  for (int n = 0; n < 100; ++n) {
    auto spec = MakeJob("j" + std::to_string(n), "o" + std::to_string(n % 3),
                        {9000, 1024, 0});
    cell.Submit(spec);
    cell.Run(seconds(1));
    EXPECT_LE(cell.quarantined.size(), 2U);
  }
  EXPECT_FALSE(cell.quarantined.empty());
}

TEST(SpreadTest, ServicesOfOneZoneGoToEachRackBeforeAnyTwice) {
  FakeCell cell;
  for (int n = 0; n < 8; ++n) {
    // Most workers are in one rack.
    cell.AddWorker("w" + std::to_string(n), "z", n < 6 ? "a" : "b", kPlain);
  }
  cell.Submit(Service("s", "x", {1000, 1024, 0}, 4));
  cell.Plan();
  const auto in_rack = [&](const std::string& rack) {
    return std::ranges::count_if(
        cell.jobs.at(wire::JobId("s")).tasks, [&](const FakeTask& it) {
          return cell.workers.at(it.worker).put.rack.str() == rack;
        });
  };
  EXPECT_EQ(in_rack("a"), 2);
  EXPECT_EQ(in_rack("b"), 2);
}

// The order in which a worker for one task takes two tasks that wait.
std::string FirstOf(base::Duration low_is_older_by) {
  FakeCell cell;
  cell.AddWorker("w", "z", "r", {4000, 8192, 0});
  cell.Submit(MakeJob("blocker", "x", {4000, 1024, 0}));
  cell.Plan();
  auto low = MakeJob("low", "x", {4000, 1024, 0});
  low.priority = wire::Priority::kLow;
  cell.Submit(low);
  cell.now += low_is_older_by;
  cell.Submit(MakeJob("normal", "x", {4000, 1024, 0}));
  cell.Cancel(wire::JobId("blocker"));
  cell.Run(seconds(1));
  return cell.Active("low") == 1 ? "low" : "normal";
}

TEST(AgingTest, AMinuteOfWaitingRaisesByOneClass) {
  EXPECT_EQ(FirstOf(seconds(59)), "normal");
  EXPECT_EQ(FirstOf(seconds(61)), "low");
}

}  // namespace
}  // namespace sassafras::placement
