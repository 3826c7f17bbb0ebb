// Tasks that stand still or fall behind are named, others aren't.

#include "jobs/progress.h"

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(100'000 + ms));
}

std::vector<Laggard> Look(ProgressWatch& watch,
                          uint32_t index,
                          int32_t percent,
                          int64_t ms,
                          bool is_gang = false) {
  const std::vector<WatchedRun> runs = {
      {Task("j", 0, index), 1, percent, is_gang}};
  return watch.OnLook(runs, At(ms));
}

// The load pattern: tasks on some workers stand still.
TEST(ProgressWatch, ATaskThatStandsStillIsNamedOnce) {
  ProgressWatch watch;
  EXPECT_TRUE(Look(watch, 0, 20, 0).empty());
  EXPECT_TRUE(Look(watch, 0, 20, 1000).empty());
  const auto laggards = Look(watch, 0, 20, 1600);
  ASSERT_EQ(laggards.size(), 1U);
  EXPECT_EQ(laggards[0].lag, Lag::kStuck);
  EXPECT_TRUE(Look(watch, 0, 20, 3000).empty());
}

TEST(ProgressWatch, ATaskThatMovesIsLeftAlone) {
  ProgressWatch watch;
  for (int64_t ms = 0; ms < 30'000; ms += 1000) {
    EXPECT_TRUE(Look(watch, 0, static_cast<int32_t>(ms / 1000), ms).empty());
  }
}

TEST(ProgressWatch, MembersOfAGangMayWaitForTheOthers) {
  ProgressWatch watch;
  EXPECT_TRUE(Look(watch, 0, 0, 0, true).empty());
  EXPECT_TRUE(Look(watch, 0, 0, 3500, true).empty());
  EXPECT_EQ(Look(watch, 0, 0, 4600, true).size(), 1U);
}

// The load pattern: some workers turn several times slower.
TEST(ProgressWatch, ATaskFarBehindItsSiblingsIsNamed) {
  ProgressWatch watch;
  for (uint32_t n = 0; n < 3; ++n) {
    Look(watch, n, 0, 0);
    watch.OnEnd(Task("j", 0, n), 1, true, At(700));
  }
  EXPECT_TRUE(Look(watch, 3, 0, 0).empty());
  // Six times as slow: 3.5 s are left, and 0.7 s elsewhere would do.
  const auto laggards = Look(watch, 3, 17, 720);
  ASSERT_EQ(laggards.size(), 1U);
  EXPECT_EQ(laggards[0].lag, Lag::kSlow);
  EXPECT_TRUE(Look(watch, 4, 0, 0).empty());
  EXPECT_TRUE(Look(watch, 4, 60, 720).empty()) << "a little behind";
}

// The load pattern: a new leader finds runs that are nearly done, and so end a
// moment later.
TEST(ProgressWatch, RunsThatWereFoundHalfDoneDontMakeTheirSiblingsSlow) {
  ProgressWatch watch;
  for (uint32_t n = 0; n < 3; ++n) {
    Look(watch, n, 90, 0);
    watch.OnEnd(Task("j", 0, n), 1, true, At(100));
  }
  EXPECT_TRUE(Look(watch, 3, 0, 0).empty());
  EXPECT_TRUE(Look(watch, 3, 20, 900).empty());
}

// The load pattern: a task has several times the work of its siblings, and
// would be stopped on one worker after the other.
TEST(ProgressWatch, ATaskIsMovedForSlownessOnce) {
  ProgressWatch watch;
  for (uint32_t n = 0; n < 3; ++n) {
    Look(watch, n, 0, 0);
    watch.OnEnd(Task("j", 0, n), 1, true, At(700));
  }
  const auto look = [&](uint64_t run, int32_t percent, int64_t ms) {
    const std::vector<WatchedRun> runs = {
        {Task("j", 0, 3), run, percent, false}};
    return watch.OnLook(runs, At(ms));
  };
  EXPECT_TRUE(look(1, 0, 0).empty());
  EXPECT_EQ(look(1, 10, 720).size(), 1U);
  watch.OnEnd(Task("j", 0, 3), 1, false, At(800));
  EXPECT_TRUE(look(2, 0, 900).empty());
  EXPECT_TRUE(look(2, 10, 1620).empty());
}

}  // namespace
}  // namespace sassafras::jobs
