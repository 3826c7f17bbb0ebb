// The maximum number of open connections to an upstream is the largest of the
// number reported by the newest renewal and the numbers granted since then.

#include "connection_trim.h"

#include <algorithm>

namespace sassafras::entry {

void ConnectionTrim::OnAnswer(const wire::EntryAnswer& answer) {
  for (const wire::Route& it : answer.routes) {
    if (it.connections > 0) {
      uint32_t& max_open = max_open_[{it.address, it.port}];
      max_open = std::max(max_open, it.connections);
    }
  }
}

std::vector<UpstreamEndpoint> ConnectionTrim::OnRenewal(
    const wire::EntryRenewal& renewal) {
  std::map<UpstreamEndpoint, uint32_t> reported;
  for (const wire::HeldGrant& it : renewal.held) {
    reported[{it.address, it.port}] = it.connections;
  }
  std::vector<UpstreamEndpoint> reduced;
  for (const auto& [endpoint, max_open] : max_open_) {
    const auto it = reported.find(endpoint);
    if (it == reported.end() || it->second < max_open) {
      reduced.push_back(endpoint);
    }
  }
  std::erase_if(reported, [](const auto& it) { return it.second == 0; });
  max_open_ = std::move(reported);
  return reduced;
}

}  // namespace sassafras::entry
