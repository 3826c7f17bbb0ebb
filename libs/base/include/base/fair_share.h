// Weighted dominant-resource shares in integer arithmetic, so that the same
// amounts give the same order on every run.

#ifndef BASE_FAIR_SHARE_H_
#define BASE_FAIR_SHARE_H_

#include <cstdint>
#include <span>

namespace sassafras::base {

// A share of a capacity in units of 1 / kWholeShare, rounded down.
using Share = uint64_t;
inline constexpr Share kWholeShare = uint64_t{1} << 32;

// An amount of one resource out of all that there is of it, in one unit.
struct HeldAmount {
  int64_t held = 0;
  int64_t total = 0;
};

// Returns the largest fraction that is held of any resource. Resources of which
// there is nothing are ignored.
Share DominantShare(std::span<const HeldAmount> amounts);

// Returns the share by weight, as it applies when all use theirs. Weights are
// at least 0; without any weight the share is the whole.
Share Entitlement(double weight, double sum_of_weights);

}  // namespace sassafras::base

#endif  // BASE_FAIR_SHARE_H_
