// Tests that quotas sum up to all slots and that a step moves few slots.

#include "grant_split.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafras::routing {
namespace {

std::vector<SplitEntry> MakeEntries(const std::vector<int>& demands,
                                    const std::vector<int>& last) {
  std::vector<SplitEntry> entries;
  for (size_t n = 0; n < demands.size(); ++n) {
    entries.push_back({wire::ZoneId("z"), static_cast<double>(demands[n]),
                       false, static_cast<uint32_t>(last[n])});
  }
  return entries;
}

uint32_t Sum(const std::vector<uint32_t>& quotas) {
  return std::accumulate(quotas.begin(), quotas.end(), 0U);
}

// The slots that remaining entries lose in a step are bounded for any change of
// demand, and repeated steps converge to the result of one unbounded step.
RC_GTEST_PROP(GrantSplitTest, BoundsMovedSlotsAndConverges, ()) {
  const auto small = rc::gen::resize(100, rc::gen::inRange(0, 40));
  const auto demands = *rc::gen::container<std::vector<int>>(5, small);
  const auto last = *rc::gen::container<std::vector<int>>(5, small);
  const auto slots = *rc::gen::resize(100, rc::gen::inRange(0, 200));
  const auto max_moved = *rc::gen::resize(100, rc::gen::inRange(1, 20));
  std::vector<SplitEntry> entries = MakeEntries(demands, last);
  const auto last_total =
      static_cast<uint32_t>(std::accumulate(last.begin(), last.end(), 0));
  const uint32_t shortage =
      last_total > static_cast<uint32_t>(slots) ? last_total - slots : 0;
  const std::vector<uint32_t> quotas = Quotas(entries, slots, max_moved);
  RC_ASSERT(Sum(quotas) == static_cast<uint32_t>(slots));
  uint32_t lost = 0;
  for (size_t n = 0; n < quotas.size(); ++n) {
    lost += entries[n].last_quota - std::min(entries[n].last_quota, quotas[n]);
  }
  RC_ASSERT(lost <= shortage + max_moved);
  for (int step = 0; step < 200; ++step) {
    const std::vector<uint32_t> next = Quotas(entries, slots, max_moved);
    for (size_t n = 0; n < next.size(); ++n) {
      entries[n].last_quota = next[n];
    }
  }
  RC_ASSERT(Quotas(entries, slots, 1000) == Quotas(entries, slots, 0));
  for (const SplitEntry& it : entries) {
    RC_ASSERT(slots < 5 || it.last_quota >= 1);
  }
}

TEST(GrantSplitTest, LeavingEntryLosesAllSlotsInOneStep) {
  std::vector<SplitEntry> entries = MakeEntries({10, 10}, {10, 10});
  entries[0].is_leaving = true;
  EXPECT_EQ(Quotas(entries, 20, 1), (std::vector<uint32_t>{0, 20}));
}

}  // namespace
}  // namespace sassafras::routing
