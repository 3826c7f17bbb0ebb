// The memberships in the log by record index. Used to undo a membership change
// that is truncated, and to store in a snapshot the membership as of its last
// record.

#ifndef CONSENSUS_MEMBERSHIP_HISTORY_H_
#define CONSENSUS_MEMBERSHIP_HISTORY_H_

#include <vector>

#include "consensus/types.h"

namespace sassafras::consensus {

class MembershipHistory {
 public:
  MembershipHistory() { Reset(Index(), Membership()); }

  // Returns the newest membership, which takes effect when it is appended.
  const Membership& Latest() const { return entries_.back().membership; }
  Index LatestIndex() const { return entries_.back().index; }
  // Returns the membership as of `index`, which must not precede the first
  // entry.
  const Membership& At(Index index) const;

  void Reset(Index index, Membership membership);
  void Append(Index index, Membership membership);
  void TruncateFrom(Index index);
  void CompactTo(Index index);

 private:
  struct Entry {
    Index index;
    Membership membership;
  };
  std::vector<Entry> entries_;  // by increasing index; never empty
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_MEMBERSHIP_HISTORY_H_
