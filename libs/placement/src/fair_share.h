// Weighted dominant-resource shares in integer arithmetic.

#ifndef PLACEMENT_FAIR_SHARE_H_
#define PLACEMENT_FAIR_SHARE_H_

#include <cstdint>

#include "wire/resources.h"

namespace sassafras::placement {

// A share of the cell in units of 1 / kWholeCell, rounded down.
using Share = uint64_t;
inline constexpr Share kWholeCell = uint64_t{1} << 32;

// Returns the largest fraction of `total` that `held` is in any dimension.
// Dimensions in which `total` is zero are ignored.
Share DominantShare(const wire::Resources& held, const wire::Resources& total);

// Returns the owner's fair share by weight, as it applies when all owners use
// theirs.
Share Entitlement(uint32_t weight, uint64_t sum_of_weights);

}  // namespace sassafras::placement

#endif  // PLACEMENT_FAIR_SHARE_H_
