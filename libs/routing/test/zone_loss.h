// Simulates the simultaneous loss of all entries and upstreams of a zone while
// all entries receive requests.

#ifndef ROUTING_TEST_ZONE_LOSS_H_
#define ROUTING_TEST_ZONE_LOSS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace sassafras::routing::test {

// Outcomes of the requests sent within one time span.
struct ZoneLossSpan {
  base::Duration from{};  // relative to the loss, negative before it
  uint64_t sent = 0;      // only to running entries
  uint64_t completed = 0;
  uint64_t refused = 0;              // `not-run`
  uint64_t unknown = 0;              // including requests without a response
  base::Duration slowest_refusal{};  // from the send to the response
};

struct ZoneLoss {
  std::vector<ZoneLossSpan> spans;
  // Describes the first incorrect response; empty if there is none.
  std::string incorrect_response;
};

// Runs nine entries and 12 upstreams in three zones. `load` is relative to the
// capacity of the two remaining zones. Half of the requests are non-idempotent.
// If `is_lost` is false, only two zones exist from the start, which gives the
// baseline for the two remaining zones.
ZoneLoss RunZoneLoss(double load, uint64_t seed, bool is_lost);

}  // namespace sassafras::routing::test

#endif  // ROUTING_TEST_ZONE_LOSS_H_
