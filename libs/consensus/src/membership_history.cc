// Searches the entries linearly: the list is short, as changes are rare and old
// ones are compacted away.

#include "membership_history.h"

#include <ranges>
#include <utility>

namespace sassafras::consensus {

const Membership& MembershipHistory::At(Index index) const {
  auto newest_first = entries_ | std::views::reverse;
  const auto it = std::ranges::find_if(
      newest_first, [&](const Entry& entry) { return entry.index <= index; });
  return it == newest_first.end() ? entries_.front().membership
                                  : it->membership;
}

void MembershipHistory::Reset(Index index, Membership membership) {
  entries_.clear();
  entries_.push_back({index, std::move(membership)});
}

void MembershipHistory::Append(Index index, Membership membership) {
  entries_.push_back({index, std::move(membership)});
}

void MembershipHistory::TruncateFrom(Index index) {
  while (entries_.size() > 1 && entries_.back().index >= index) {
    entries_.pop_back();
  }
}

void MembershipHistory::CompactTo(Index index) {
  while (entries_.size() > 1 && entries_[1].index <= index) {
    entries_.erase(entries_.begin());
  }
}

}  // namespace sassafras::consensus
