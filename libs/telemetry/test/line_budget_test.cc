// Tests that the volume of the log is bounded and that omitted lines are
// counted.

#include "line_budget.h"

#include <chrono>

#include <gtest/gtest.h>

namespace sassafras::telemetry {
namespace {

base::Instant At(int64_t ms) {
  return base::Instant(std::chrono::milliseconds(ms));
}

TEST(LineBudgetTest, AllowsTheFirstLinesOfEachKindInEachSecond) {
  LineBudget budget(2);
  EXPECT_TRUE(budget.Take("start", At(0)));
  EXPECT_TRUE(budget.Take("start", At(1)));
  EXPECT_FALSE(budget.Take("start", At(2)));
  EXPECT_TRUE(budget.Take("end", At(3))) << "each kind has its own budget";
  EXPECT_TRUE(budget.Take("start", At(1000)));
}

TEST(LineBudgetTest, CountsOmittedLinesOnceTheirSecondHasEnded) {
  LineBudget budget(1);
  budget.Take("start", At(0));
  budget.Take("start", At(1));
  budget.Take("start", At(2));
  EXPECT_TRUE(budget.TakeOmitted(At(999)).empty());
  const auto omitted = budget.TakeOmitted(At(1000));
  ASSERT_EQ(omitted.size(), 1U);
  EXPECT_EQ(omitted[0].kind, "start");
  EXPECT_EQ(omitted[0].count, 2U);
  EXPECT_TRUE(budget.TakeOmitted(At(2000)).empty());
}

TEST(LineBudgetTest, WithoutALimitEveryLineIsAllowed) {
  LineBudget budget(0);
  for (int n = 0; n < 10'000; ++n) {
    ASSERT_TRUE(budget.Take("start", At(0)));
  }
}

}  // namespace
}  // namespace sassafras::telemetry
