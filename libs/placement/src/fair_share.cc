// Products are computed in 128 bits, so they can't overflow.

#include "fair_share.h"

#include <algorithm>

namespace sassafras::placement {
namespace {

__extension__ using Wide = unsigned __int128;

Share Fraction(int64_t held, int64_t total) {
  if (held <= 0 || total <= 0) {
    return 0;
  }
  const Wide scaled = static_cast<Wide>(held) * kWholeCell;
  return static_cast<Share>(scaled / static_cast<Wide>(total));
}

}  // namespace

Share DominantShare(const wire::Resources& held, const wire::Resources& total) {
  return std::max({Fraction(held.milli_cpus, total.milli_cpus),
                   Fraction(held.memory_mib, total.memory_mib),
                   Fraction(held.accelerators, total.accelerators)});
}

Share Entitlement(uint32_t weight, uint64_t sum_of_weights) {
  return sum_of_weights == 0 ? kWholeCell
                             : kWholeCell * weight / sum_of_weights;
}

}  // namespace sassafras::placement
