// Tests that fillers slow down for tasks with a latency target and recover step
// by step.

#include "jobs/pacing.h"

#include <gtest/gtest.h>

namespace sassafras::jobs {
namespace {

TaskKey Key(uint32_t index) {
  return {{wire::JobId("j"), 0, 0}, index};
}

std::vector<PacedRun> MakeRuns(int64_t tail_ms, uint32_t percent) {
  return {{Key(0), 1, false, 100, tail_ms, kFullPace},
          {Key(1), 1, true, 0, 4000, percent}};
}

TEST(Pacing, HalvesThePaceWhenATailLatencyNearsItsTarget) {
  const auto orders = DecidePaces(MakeRuns(90, 100));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].task, Key(1));
  EXPECT_EQ(orders[0].percent, 50U);
}

TEST(Pacing, PausesFillersAfterAFewHalvings) {
  uint32_t percent = 100;
  int polls = 0;
  while (percent > 0 && polls < 10) {
    percent = DecidePaces(MakeRuns(150, percent))[0].percent;
    ++polls;
  }
  EXPECT_EQ(percent, 0U);
  EXPECT_LE(polls, 5);
}

TEST(Pacing, RaisesThePaceStepByStepWhileTheTailLatencyIsLow) {
  EXPECT_EQ(DecidePaces(MakeRuns(20, 0))[0].percent, 10U);
  EXPECT_TRUE(DecidePaces(MakeRuns(20, 100)).empty());
  EXPECT_TRUE(DecidePaces(MakeRuns(70, 50)).empty());
}

TEST(Pacing, RaisesThePaceWithoutUserServingTasks) {
  const std::vector<PacedRun> runs = {{Key(1), 1, true, 0, 4000, 50}};
  EXPECT_EQ(DecidePaces(runs)[0].percent, 60U);
}

}  // namespace
}  // namespace sassafras::jobs
