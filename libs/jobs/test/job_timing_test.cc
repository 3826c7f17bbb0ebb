// Tests which due time a step can still meet.

#include "jobs/job_timing.h"

#include <chrono>

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(50'000 + ms));
}

// Two chains: 1000 + 1000 ms through step 1, and 1000 + 3000 ms through step 2.
JobSpec MakeSpec() {
  JobSpec spec;
  spec.steps = {Step(1), Step(1, {0}), Step(1, {0})};
  spec.steps[2].estimate_ms = 3000;
  return spec;
}

Queue MakeQueue() {
  Queue queue;
  queue.stretch = 2;
  queue.target_latency_ms = 500;
  return queue;
}

TEST(JobTimingTest, TheObjectiveFollowsTheLongestChain) {
  const Queue queue = MakeQueue();
  const JobTiming timing(MakeSpec(), &queue, At(0));
  const DueTime due = timing.DueTimeOf(queue, 0, At(0));
  EXPECT_EQ(due.at, At(2 * 4000 + 500));
  EXPECT_FALSE(due.is_missed);
}

TEST(JobTimingTest, TheObjectiveIncludesOneAdviceQueryAStep) {
  Queue queue = MakeQueue();
  queue.advice = {true, 100, 10, 2000};
  const JobTiming timing(MakeSpec(), &queue, At(0));
  EXPECT_EQ(timing.DueTimeOf(queue, 0, At(0)).at, At(2 * (4000 + 800) + 500));
}

TEST(JobTimingTest, WorkThatWillBeLateIsDueWhenItsResultIsOfNoUse) {
  const Queue queue = MakeQueue();
  const JobTiming timing(MakeSpec(), &queue, At(0));
  EXPECT_EQ(timing.DueTimeOf(queue, 2, At(7000)).at, At(8500));
  const DueTime late = timing.DueTimeOf(queue, 2, At(7001));
  EXPECT_EQ(late.at, At(25'500)) << "half of 3000 ms is left to run";
  EXPECT_FALSE(late.is_missed);
}

TEST(JobTimingTest, WorkThatCannotBeOfUseAnyMoreIsMissed) {
  const Queue queue = MakeQueue();
  const JobTiming timing(MakeSpec(), &queue, At(0));
  EXPECT_FALSE(timing.DueTimeOf(queue, 1, At(25'000)).is_missed);
  EXPECT_TRUE(timing.DueTimeOf(queue, 1, At(25'001)).is_missed);
}

}  // namespace
}  // namespace sassafras::jobs
