// Baseline policies that slot grants are compared with.

#ifndef BENCHMARKS_ROUTING_BASELINES_H_
#define BENCHMARKS_ROUTING_BASELINES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace sassafras::benchmarks {

struct Setting {
  size_t entries = 9;
  size_t upstreams = 35;
  size_t zones = 3;
  uint32_t slots = 8;
  base::Duration service_time = std::chrono::milliseconds(50);
  base::Duration network_delay = std::chrono::milliseconds(1);
  base::Duration timeout = std::chrono::seconds(2);
  base::Duration warm_up = std::chrono::seconds(3);
  base::Duration measured = std::chrono::seconds(6);
  double load = 0.8;  // relative to the total number of slots
  bool is_skewed = false;
  uint64_t seed = 1;
};

// Mean of the random factor that Jitter applies.
inline constexpr double kMeanJitterFactor = 1.25;

// Returns `duration` multiplied by a random factor in [0.5, 2).
base::Duration Jitter(base::Duration duration, base::Random& random);

// Draws the entry that a caller reaches. If the setting is skewed, entry 0 is
// four times as likely as any other.
size_t EntryOf(const Setting& setting, base::Random& random);

struct Measurements {
  // From the caller's send to the start of service.
  std::vector<double> wait_ms;
  uint64_t sent = 0;     // requests after the warm-up
  uint64_t crossed = 0;  // started in another zone than the caller's entry
  // For the random policy, requests that reached a full upstream; for grants,
  // upstreams that ran more requests than they have slots.
  uint64_t exceeded = 0;
  // Mean fractions of all slots, measured for grants only: in use by entries,
  // and free at one entry while a request waits at another.
  double in_use = 0;
  double stranded = 0;
  uint64_t forwarded = 0;
};

// Each entry chooses an upstream at random. A full upstream refuses the
// request, and the entry draws again after a pause of 2 ms.
Measurements RandomWithRefusal(const Setting& setting);

// One queue for all entries with immediate knowledge of every slot. It is the
// bound for all policies that occupy a slot while request and answer are in
// transit.
Measurements SharedQueue(const Setting& setting);

// Each upstream is used by only one entry, which is in the same zone. An entry
// without a free slot forwards to the entry that last reported the most free
// slots.
Measurements HomeEntry(const Setting& setting);

}  // namespace sassafras::benchmarks

#endif  // BENCHMARKS_ROUTING_BASELINES_H_
