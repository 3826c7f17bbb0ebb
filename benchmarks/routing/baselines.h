// The ways of using upstream slots that slot grants are compared with.

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
  double load = 0.8;  // of all slots
  bool is_skewed = false;
  uint64_t seed = 1;
};

// Mean of the factor that service times vary by.
inline constexpr double kMeanJitterFactor = 1.25;

// In [0.5, 2) times `duration`.
base::Duration Jitter(base::Duration duration, base::Random& random);

// Which entry a caller reaches: any, or one of them four times as often.
size_t EntryOf(const Setting& setting, base::Random& random);

struct Figures {
  std::vector<double> wait_ms;  // from the caller's arrival to the start
  uint64_t asked = 0;
  uint64_t crossed = 0;   // started in another zone than the caller's entry
  uint64_t exceeded = 0;  // requests that reached an upstream without a slot
  // Mean part of all slots, for the grants only: in use by entries, and free
  // at one entry while a request waits at another.
  double in_use = 0;
  double stranded = 0;
  uint64_t forwarded = 0;
};

// Entries choose an upstream at random; one that is full refuses, and the
// entry tries another one a little later.
Figures RandomWithRefusal(const Setting& setting);

// The bound of every way that keeps a slot taken while the request and the
// answer travel: one queue for all entries, which knows each slot at once.
Figures SharedQueue(const Setting& setting);

// Each upstream is used through one entry only, in its own zone where there is
// one. An entry without a free slot hands over to the one that showed most.
Figures HomeEntry(const Setting& setting);

}  // namespace sassafras::benchmarks

#endif  // BENCHMARKS_ROUTING_BASELINES_H_
