// Keeps sums of work by date.

#include "jobs/dated_work.h"

#include <algorithm>

namespace sassafras::jobs {

void DatedWork::Add(int64_t date, const Work& work) {
  total_ += work;
  int64_t prefix = std::clamp<int64_t>(date, 0, kMaxDate);
  for (auto& level : levels_) {
    Node& node = level[prefix];
    node.work += work;
    ++node.items;
    prefix >>= kDigitBits;
  }
}

void DatedWork::Remove(int64_t date, const Work& work) {
  total_ -= work;
  int64_t prefix = std::clamp<int64_t>(date, 0, kMaxDate);
  for (auto& level : levels_) {
    const auto it = level.find(prefix);
    it->second.work -= work;
    if (--it->second.items == 0) {
      level.erase(it);
    }
    prefix >>= kDigitBits;
  }
}

// On each level, the nodes before the one of `date` that have the same parent.
Work DatedWork::SumBefore(int64_t date) const {
  if (date > kMaxDate) {
    return total_;
  }
  Work sum;
  int64_t prefix = std::max<int64_t>(date, 0);
  for (const auto& level : levels_) {
    const int64_t first = (prefix >> kDigitBits) << kDigitBits;
    const auto end = level.lower_bound(prefix);
    for (auto it = level.lower_bound(first); it != end; ++it) {
      sum += it->second.work;
    }
    prefix >>= kDigitBits;
  }
  return sum;
}

}  // namespace sassafras::jobs
