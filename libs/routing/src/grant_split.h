// Splits the slots of one service among the entries by demand. Prefers
// upstreams in the entry's zone and stays close to the last split, so that few
// slots move between entries.

#ifndef ROUTING_SRC_GRANT_SPLIT_H_
#define ROUTING_SRC_GRANT_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wire/ids.h"

namespace sassafras::routing {

struct SplitEntry {
  wire::ZoneId zone;
  double demand = 0;  // smoothed, in slots
  bool is_leaving = false;
  uint32_t last_quota = 0;
};

struct SplitUpstream {
  wire::ZoneId zone;
  uint32_t slots = 0;  // grantable slots
};

// Load that one owner's callers put on each entry, in slots.
struct OwnerLoad {
  double weight = 1;
  std::vector<double> by_entry;
};

// Returns the demand of each entry after `slots` are shared fairly between
// owners. Load beyond an owner's share is ignored, so that an owner that floods
// one entry takes no slots from other owners' load at the other entries.
std::vector<double> FairDemand(const std::vector<OwnerLoad>& owners,
                               size_t entries,
                               double slots);

// slots[entry][upstream]
using Split = std::vector<std::vector<uint32_t>>;

// Returns the number of slots for each entry: at least one each if there are
// enough, the rest by demand. Keeps the last quotas while all of them are close
// to ideal. Entries that aren't leaving lose at most `max_moved` slots in
// total, plus any shortage of slots, because a moved slot is unusable until
// both entries have renewed.
std::vector<uint32_t> Quotas(const std::vector<SplitEntry>& entries,
                             uint32_t slots,
                             uint32_t max_moved);

// Distributes the quotas over the upstreams. `last` is the previous split, with
// the same dimensions as the result.
Split SplitSlots(const std::vector<SplitEntry>& entries,
                 const std::vector<SplitUpstream>& upstreams,
                 const std::vector<uint32_t>& quotas,
                 const Split& last);

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_GRANT_SPLIT_H_
