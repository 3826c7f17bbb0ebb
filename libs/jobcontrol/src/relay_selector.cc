// Rendezvous hashing over the control hosts that reply.

#include "relay_selector.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <ranges>

#include <boost/container_hash/hash.hpp>

namespace sassafras::jobcontrol {
namespace {

constexpr auto kProbeDelay = std::chrono::milliseconds(300);

}  // namespace

void RelaySelector::SetHosts(std::span<const wire::EntryId> hosts) {
  std::erase_if(hosts_, [&](const auto& it) {
    return std::ranges::find(hosts, it.first) == hosts.end();
  });
  for (const wire::EntryId& name : hosts) {
    hosts_.try_emplace(name, Host{false, {}, boost::hash_value(name.str())});
  }
}

void RelaySelector::OnReply(const wire::EntryId& host) {
  const auto it = hosts_.find(host);
  if (it != hosts_.end()) {
    it->second.is_usable = true;
  }
}

void RelaySelector::OnFailure(const wire::EntryId& host, base::Instant now) {
  const auto it = hosts_.find(host);
  if (it != hosts_.end()) {
    it->second.is_usable = false;
    it->second.next_probe = now + kProbeDelay;
  }
}

std::optional<wire::EntryId> RelaySelector::Choose(
    const wire::WorkerId& worker) const {
  const size_t worker_hash = boost::hash_value(worker.str());
  const wire::EntryId* best = nullptr;
  size_t best_hash = 0;
  for (const auto& [name, host] : hosts_) {
    if (!host.is_usable) {
      continue;
    }
    size_t hash = worker_hash;
    boost::hash_combine(hash, host.hash);
    if (best == nullptr || hash > best_hash) {
      best = &name;
      best_hash = hash;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

bool RelaySelector::IsUsable(const wire::EntryId& host) const {
  const auto it = hosts_.find(host);
  return it != hosts_.end() && it->second.is_usable;
}

std::vector<wire::EntryId> RelaySelector::HostsToProbe(
    base::Instant now) const {
  std::vector<wire::EntryId> hosts;
  for (const auto& [name, host] : hosts_) {
    if (!host.is_usable && now >= host.next_probe) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

}  // namespace sassafras::jobcontrol
