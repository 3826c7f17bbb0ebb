// How the descriptors of a process are shared out to its ports.

#ifndef HTTP_CONNECTION_LIMITS_H_
#define HTTP_CONNECTION_LIMITS_H_

#include <cstddef>

namespace sassafras::http {

struct ConnectionLimits {
  size_t main = 0;   // connections of the port that the process exists for
  size_t minor = 0;  // of each other port

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

struct Descriptors {
  size_t all = 0;  // that the process may have open
  // For its own connections and files, at most half of all. Without it, a
  // process whose ports are full can't reach the other hosts.
  size_t reserve = 0;
};

// Each port may have `max_connections`, if there are descriptors for that.
// Otherwise the main port gets what is left by the reserve and by a small
// number for each minor port.
ConnectionLimits ShareDescriptors(const Descriptors& descriptors,
                                  size_t minor_ports,
                                  size_t max_connections);

}  // namespace sassafras::http

#endif  // HTTP_CONNECTION_LIMITS_H_
