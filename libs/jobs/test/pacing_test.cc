// Fillers give way to tasks that serve users, and come back slowly.

#include "jobs/pacing.h"

#include <gtest/gtest.h>

namespace sassafras::jobs {
namespace {

TaskKey Key(uint32_t index) {
  return {{wire::JobId("j"), 0, 0}, index};
}

std::vector<PacedRun> Worker(int64_t tail_ms, uint32_t percent) {
  return {{Key(0), 1, false, 100, tail_ms, kFullPace},
          {Key(1), 1, true, 0, 4000, percent}};
}

TEST(Pacing, FillersAreHalvedWhenATailComesNearItsTarget) {
  const auto orders = DecidePaces(Worker(90, 100));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].task, Key(1));
  EXPECT_EQ(orders[0].percent, 50U);
}

TEST(Pacing, FillersStandAfterAFewHalvings) {
  uint32_t percent = 100;
  int looks = 0;
  while (percent > 0 && looks < 10) {
    percent = DecidePaces(Worker(150, percent))[0].percent;
    ++looks;
  }
  EXPECT_EQ(percent, 0U);
  EXPECT_LE(looks, 5);
}

TEST(Pacing, FillersComeBackStepByStepWhileTheTailIsLow) {
  EXPECT_EQ(DecidePaces(Worker(20, 0))[0].percent, 10U);
  EXPECT_TRUE(DecidePaces(Worker(20, 100)).empty());
  EXPECT_TRUE(DecidePaces(Worker(70, 50)).empty());
}

TEST(Pacing, WithoutTasksThatServeUsersFillersWorkInFull) {
  const std::vector<PacedRun> runs = {{Key(1), 1, true, 0, 4000, 50}};
  EXPECT_EQ(DecidePaces(runs)[0].percent, 60U);
}

}  // namespace
}  // namespace sassafras::jobs
