// Tests that no lease counts from an instant before a suspension.

#include "confirmed_leadership.h"

#include <chrono>

#include <gtest/gtest.h>

namespace sassafras::jobcontrol {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(ms));
}

// A leader whose machine was suspended extended leases from an instant that
// seemed recent, while its successor had already given up their workers.
TEST(ConfirmedLeadershipTest, AnInstantBeforeASuspensionConfirmsNothing) {
  ConfirmedLeadership leadership(milliseconds(70'000));
  EXPECT_EQ(leadership.At(At(100), At(150), milliseconds(70'000)), At(100));
  EXPECT_EQ(leadership.At(At(100), At(160), milliseconds(75'000)),
            std::nullopt);
  EXPECT_EQ(leadership.At(At(155), At(170), milliseconds(75'000)),
            std::nullopt);
  EXPECT_EQ(leadership.At(At(180), At(200), milliseconds(75'000)), At(180));
}

// Many readings that differ a little are no suspension, a sum of short ones is.
TEST(ConfirmedLeadershipTest, ShortSuspensionsAddUp) {
  ConfirmedLeadership leadership(milliseconds(0));
  EXPECT_EQ(leadership.At(At(100), At(150), milliseconds(6)), At(100));
  EXPECT_EQ(leadership.At(At(100), At(150), milliseconds(-6)), At(100));
  EXPECT_EQ(leadership.At(At(100), At(160), milliseconds(12)), std::nullopt);
}

TEST(ConfirmedLeadershipTest, UnknownLeadershipStaysUnknown) {
  ConfirmedLeadership leadership(milliseconds(0));
  EXPECT_EQ(leadership.At(std::nullopt, At(150), milliseconds(0)),
            std::nullopt);
}

}  // namespace
}  // namespace sassafras::jobcontrol
