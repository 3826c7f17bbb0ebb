// Tests that the loss of a zone costs only its capacity: every response is
// correct, and once the leases of the zone have expired, the other zones serve
// requests up to their capacity and refuse the rest immediately.

#include "zone_loss.h"

#include <gtest/gtest.h>

namespace sassafras::routing::test {
namespace {

constexpr base::Duration kLeaseExpiry = std::chrono::seconds(3);
constexpr base::Duration kMaxRefusalTime = std::chrono::milliseconds(100);

uint64_t CompletedAfterLeaseExpiry(const ZoneLoss& loss) {
  uint64_t sum = 0;
  for (const ZoneLossSpan& it : loss.spans) {
    sum += it.from >= kLeaseExpiry ? it.completed : 0;
  }
  return sum;
}

class ZoneLossTest : public testing::TestWithParam<double> {};

TEST_P(ZoneLossTest, CostsOnlyCapacityOfLostZone) {
  const ZoneLoss loss = RunZoneLoss(GetParam(), 1, true);
  const ZoneLoss baseline = RunZoneLoss(GetParam(), 1, false);
  EXPECT_EQ(loss.incorrect_response, "");
  for (const ZoneLossSpan& it : loss.spans) {
    if (it.from >= kLeaseExpiry) {
      EXPECT_LE(it.slowest_refusal, kMaxRefusalTime) << it.from.count();
      EXPECT_EQ(it.unknown, 0U) << it.from.count();
    }
  }
  // Within 10% of what two zones complete without a third one.
  EXPECT_GE(CompletedAfterLeaseExpiry(loss),
            0.9 * CompletedAfterLeaseExpiry(baseline));
}

INSTANTIATE_TEST_SUITE_P(Loads, ZoneLossTest, testing::Values(0.7, 2.0));

}  // namespace
}  // namespace sassafras::routing::test
