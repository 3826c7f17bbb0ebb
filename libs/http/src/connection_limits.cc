// The reserve and the shares.

#include "http/connection_limits.h"

#include <algorithm>

namespace sassafras::http {
namespace {

// Balancers, operators and collectors of metrics.
constexpr size_t kMinorConnections = 64;
// A minor port has at most this part of a small number of descriptors.
constexpr size_t kMinorDivisor = 8;

}  // namespace

ConnectionLimits ShareDescriptors(const Descriptors& descriptors,
                                  size_t minor_ports,
                                  size_t max_connections) {
  const size_t all = descriptors.all;
  const size_t free = all - std::min(descriptors.reserve, all / 2);
  if (free / (minor_ports + 1) >= max_connections) {
    return {max_connections, max_connections};
  }
  const size_t minor =
      std::min({max_connections, kMinorConnections, all / kMinorDivisor});
  const size_t main = free - std::min(free, minor_ports * minor);
  return {std::clamp<size_t>(main, 1, max_connections),
          std::max<size_t>(minor, 1)};
}

}  // namespace sassafras::http
