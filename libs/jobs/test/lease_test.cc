// Tests lease bounds and expiry with slow worker clocks.

#include "jobs/lease.h"

#include <gtest/gtest.h>

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

constexpr auto kLimit = milliseconds(6000);
constexpr auto kLength = milliseconds(4000);
constexpr base::Duration kNone{};

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(ms));
}

TEST(WorkerLease, ExpiresOnlyAfterBoundsOfEarlierLeaders) {
  const WorkerLease lease(At(0), kLimit, kNone);
  // A clock that is 2% slow reaches the bound after 6123 ms.
  EXPECT_FALSE(lease.HasEndedRuns(At(6122)));
  EXPECT_TRUE(lease.HasEndedRuns(At(6124)));
}

TEST(WorkerLease, ReturnsNoBoundBeforeTheClockIsKnown) {
  WorkerLease lease(At(0), kLimit, kNone);
  EXPECT_FALSE(lease.Extend(At(10), At(10), kLength));
  lease.OnClock(At(20), 500);
  EXPECT_EQ(lease.Extend(At(20), At(20), kLength), 4500);
}

// A later leader counts from its own start, so a bound must not.
TEST(WorkerLease, ABoundCountsFromTheLastTimeAsALeader) {
  WorkerLease lease(At(0), kLimit, kNone);
  lease.OnClock(At(1000), 1000);
  EXPECT_EQ(lease.Extend(At(1000), At(1000), kLength), 5000);
  EXPECT_EQ(lease.Extend(At(1000), At(400), kLength), 5000) << "never shortens";
  lease.OnClock(At(5000), 5000);
  EXPECT_EQ(lease.Extend(At(5000), At(1500), kLength), 5500);
  EXPECT_EQ(lease.Extend(At(5000), At(500), kLength), 5500);
}

TEST(WorkerLease, AllowsForASlowWorkerClock) {
  WorkerLease lease(At(0), kLimit, kNone);
  lease.OnClock(At(10'000), 500);
  lease.Extend(At(10'000), At(10'000), kLength);
  // 4000 ms on a clock that is 2% slow take 4082 ms here.
  EXPECT_FALSE(lease.HasEndedRuns(At(14'080)));
  EXPECT_TRUE(lease.HasEndedRuns(At(14'090)));
}

// Tasks were started again at the moment when the lease of a lost worker ended,
// while the worker was still ending their first runs.
TEST(WorkerLease, RunsAreOverWhenTheWorkerHasHadTimeToEndThem) {
  constexpr auto kStopTime = milliseconds(900);
  WorkerLease lease(At(0), kLimit, kStopTime);
  // 6900 ms on a clock that is 2% slow take 7041 ms here.
  EXPECT_FALSE(lease.HasEndedRuns(At(7040)));
  EXPECT_TRUE(lease.HasEndedRuns(At(7042)));
  lease.OnClock(At(10'000), 500);
  lease.Extend(At(10'000), At(10'000), kLength);
  lease.OnClock(At(14'000), 4500);
  EXPECT_FALSE(lease.HasEndedRuns(At(14'900)));
  // 900 ms on a clock that is 2% slow take 918 ms here.
  EXPECT_TRUE(lease.HasEndedRuns(At(14'921)));
}

TEST(WorkerLease, ABoundNeverRunsAheadOfTheWorkersClock) {
  WorkerLease lease(At(0), kLimit, kNone);
  lease.OnClock(At(0), 0);
  // The slowest clock shows 9800 after ten seconds.
  EXPECT_EQ(lease.Extend(At(10'000), At(10'000), kLength), 13'800);
}

TEST(WorkerLease, IgnoresAnOutOfOrderReading) {
  WorkerLease lease(At(0), kLimit, kNone);
  lease.OnClock(At(10'000), 10'000);
  lease.OnClock(At(10'100), 9000);
  EXPECT_EQ(lease.Extend(At(10'100), At(10'100), kLength), 14'098);
}

TEST(WorkerLease, ExpiresAfterTheLatestBoundOfAllCalls) {
  WorkerLease lease(At(0), kLimit, kNone);
  lease.OnClock(At(10'000), 0);
  lease.Extend(At(10'000), At(10'000), kLength);
  lease.Extend(At(12'000), At(12'000), kLength);
  EXPECT_FALSE(lease.HasEndedRuns(At(14'200)));
  EXPECT_TRUE(lease.HasEndedRuns(At(16'200)));
}

}  // namespace
}  // namespace sassafras::jobs
