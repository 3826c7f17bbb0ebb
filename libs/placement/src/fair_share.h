// Shares of the cell in the resources of this library.

#ifndef PLACEMENT_FAIR_SHARE_H_
#define PLACEMENT_FAIR_SHARE_H_

#include <array>

#include "base/fair_share.h"
#include "wire/resources.h"

namespace sassafras::placement {

using base::Entitlement;
using base::Share;
inline constexpr Share kWholeCell = base::kWholeShare;

// Returns the largest fraction of `total` that `held` is in any dimension.
// Dimensions in which `total` is zero are ignored.
inline Share DominantShare(const wire::Resources& held,
                           const wire::Resources& total) {
  return base::DominantShare(std::array<base::HeldAmount, 3>{
      {{held.milli_cpus, total.milli_cpus},
       {held.memory_mib, total.memory_mib},
       {held.accelerators, total.accelerators}}});
}

}  // namespace sassafras::placement

#endif  // PLACEMENT_FAIR_SHARE_H_
