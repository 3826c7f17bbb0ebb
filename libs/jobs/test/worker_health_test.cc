// Tests which workers are excluded for failing runs.

#include "jobs/worker_health.h"

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(100'000 + ms));
}

wire::JobId Job(int n) {
  return wire::JobId("j" + std::to_string(n));
}

// A worker fails every run immediately after the start.
TEST(WorkerHealth, ExcludesAWorkerThatFailsSeveralJobsAndRetriesItLater) {
  WorkerHealth health;
  for (int n = 0; n < 3; ++n) {
    EXPECT_FALSE(health.IsExcluded(Boot("w"), At(n)));
    health.OnEnd(Boot("w"), Job(n), true, At(n));
  }
  EXPECT_TRUE(health.IsExcluded(Boot("w"), At(10)));
  EXPECT_FALSE(health.IsExcluded(Boot("v"), At(10)));
  EXPECT_FALSE(health.IsExcluded(Boot("w"), At(3100)));
  EXPECT_TRUE(health.IsOnProbation(Boot("w")));
  health.OnEnd(Boot("w"), Job(9), true, At(3200));
  EXPECT_TRUE(health.IsExcluded(Boot("w"), At(9000)))
      << "the backoff has doubled";
  health.OnEnd(Boot("w"), Job(10), false, At(9300));
  EXPECT_FALSE(health.IsOnProbation(Boot("w")));
}

// Many jobs fail on every worker.
TEST(WorkerHealth, JobsThatFailEverywhereDoNotExcludeHealthyWorkers) {
  WorkerHealth health;
  for (int n = 0; n < 50; ++n) {
    health.OnEnd(Boot("w"), Job(n), n % 2 == 0, At(n));
    EXPECT_FALSE(health.IsExcluded(Boot("w"), At(n)));
  }
}

TEST(WorkerHealth, FailuresOfOneJobDoNotExcludeAWorker) {
  WorkerHealth health;
  for (int n = 0; n < 20; ++n) {
    health.OnEnd(Boot("w"), Job(1), true, At(n));
  }
  EXPECT_FALSE(health.IsExcluded(Boot("w"), At(30)));
}

}  // namespace
}  // namespace sassafras::jobs
