// Determines the upstreams whose idle connections must be closed before a
// session renewal is sent, so that no more connections are open than the
// renewal reports to the leader.

#ifndef ENTRY_SRC_CONNECTION_TRIM_H_
#define ENTRY_SRC_CONNECTION_TRIM_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/routing.h"

namespace sassafras::entry {

// Address and port of an upstream.
using UpstreamEndpoint = std::pair<std::string, uint16_t>;

// Not thread-safe.
class ConnectionTrim {
 public:
  // Records the connections that the leader's answer grants. From now on, up to
  // that many may be opened to each upstream.
  void OnAnswer(const wire::EntryAnswer& answer);

  // Returns the upstreams for which `renewal`, which is sent next, reports
  // fewer connections than may be open. Idle connections to them must be closed
  // before it is sent; the report includes the connections in use.
  std::vector<UpstreamEndpoint> OnRenewal(const wire::EntryRenewal& renewal);

 private:
  // Maximum number of connections that may be open to each upstream. Invariant:
  // every value is positive.
  std::map<UpstreamEndpoint, uint32_t> max_open_;
};

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_CONNECTION_TRIM_H_
