// Tests how owners share the memory that jobs may take.

#include "jobs/table_size.h"

#include <chrono>

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::seconds;

constexpr size_t kMaxBytes = 1'000'000;

JobSpec SpecOf(size_t steps, size_t payload = 0) {
  JobSpec spec;
  spec.payload.assign(payload, 'x');
  spec.steps.assign(steps, Step(1));
  return spec;
}

TEST(TableSizeTest, TheSizeFollowsWhatIsAskedForButNotTheTasks) {
  JobSpec many = SpecOf(1);
  many.steps[0].count = 10'000;
  EXPECT_EQ(SizeWithOccurrence(many), SizeWithOccurrence(SpecOf(1)));
  EXPECT_EQ(SizeOf(SpecOf(1, 100)), SizeOf(SpecOf(1)) + 100);
  EXPECT_GT(SizeOf(SpecOf(2)), SizeOf(SpecOf(1)));
  JobSpec texts = SpecOf(1);
  texts.steps[0].image.assign(100, 'x');
  texts.steps[0].required_label.assign(100, 'x');
  texts.steps[0].data_rack.assign(100, 'x');
  EXPECT_EQ(SizeOf(texts), SizeOf(SpecOf(1)) + 300);
}

TEST(TableSizeTest, OneOwnerGetsHalfAndLeavesRoomForAnother) {
  const TableBudget budget(kMaxBytes);
  constexpr size_t kBytes = 1'000;
  size_t held = 0;
  while (budget.MissingFor(kBytes, held, held) == 0) {
    held += kBytes;
  }
  EXPECT_GT(held, kMaxBytes / 2 - 10 * kBytes);
  EXPECT_LE(held, kMaxBytes / 2);
  EXPECT_EQ(budget.MissingFor(kBytes, 0, held), 0U) << "another owner";
}

// A crowd of large jobs in one queue without customers kept small ones out.
TEST(TableSizeTest, SmallJobsFindRoomBesideACrowdOfLargeOnes) {
  const TableBudget budget(kMaxBytes);
  size_t held = 0;
  while (budget.MissingFor(50'000, held, held) == 0) {
    held += 50'000;
  }
  for (int n = 0; n < 50; ++n) {
    ASSERT_EQ(budget.MissingFor(2'000, held, held), 0U) << n;
    held += 2'000;
  }
}

TEST(TableSizeTest, AJobThatIsLargerThanItsShareHasAFault) {
  const JobSpec spec = SpecOf(10);
  const size_t bytes = SizeWithOccurrence(spec);
  EXPECT_EQ(TableBudget(8 * bytes).FaultOf(spec), "");
  EXPECT_NE(TableBudget(8 * bytes - 1).FaultOf(spec), "");
}

TEST(TableSizeTest, TheTimeToFreeFollowsWhatIsReleased) {
  ReleaseRate rate;
  EXPECT_EQ(rate.TimeToFree(1'000), seconds(30)) << "nothing is released";
  uint64_t released = 0;
  for (int n = 0; n < 60; ++n) {
    rate.Update(released, base::Instant(seconds(n + 1)));
    released += 1'000;
  }
  EXPECT_GT(rate.TimeToFree(10'000), seconds(9));
  EXPECT_LT(rate.TimeToFree(10'000), seconds(11));
  EXPECT_EQ(rate.TimeToFree(1), seconds(1));
  EXPECT_EQ(rate.TimeToFree(SIZE_MAX), seconds(30));
}

}  // namespace
}  // namespace sassafras::jobs
