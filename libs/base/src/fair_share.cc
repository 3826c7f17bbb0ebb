// Products are computed in 128 bits, so they can't overflow.

#include "base/fair_share.h"

#include <algorithm>

namespace sassafras::base {
namespace {

__extension__ using Wide = unsigned __int128;

Share Fraction(const HeldAmount& amount) {
  if (amount.held <= 0 || amount.total <= 0) {
    return 0;
  }
  const Wide scaled = static_cast<Wide>(amount.held) * kWholeShare;
  return static_cast<Share>(scaled / static_cast<Wide>(amount.total));
}

}  // namespace

Share DominantShare(std::span<const HeldAmount> amounts) {
  Share largest = 0;
  for (const HeldAmount& it : amounts) {
    largest = std::max(largest, Fraction(it));
  }
  return largest;
}

// A double holds the product exactly, as kWholeShare is a power of two.
Share Entitlement(double weight, double sum_of_weights) {
  if (sum_of_weights <= 0) {
    return kWholeShare;
  }
  const double share =
      static_cast<double>(kWholeShare) * weight / sum_of_weights;
  return std::min(kWholeShare, static_cast<Share>(share));
}

}  // namespace sassafras::base
