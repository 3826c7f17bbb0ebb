// Time as the cores see it: an input, never something they read themselves.

#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace sassafras::base {

using Duration = std::chrono::microseconds;

// Monotonic time of one process. Has no now(): services read the machine's
// clock and hand the value to the cores. Instants of two processes must not
// be compared.
struct LogicalClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LogicalClock, Duration>;
  static constexpr bool is_steady = true;
};

using Instant = LogicalClock::time_point;

// Wall-clock time in milliseconds since 1970. Stamped by the leader into
// replicated commands, so that every replica computes the same retention.
using WallMs = int64_t;

}  // namespace sassafras::base

#endif  // BASE_TIME_H_
