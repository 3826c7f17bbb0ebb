// Computes the target amounts of each entry and what can be granted of them
// now.

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "grant_split.h"
#include "slot_ledger_impl.h"

namespace sassafras::routing {
namespace {

// Bounds the slots of a service that may be moving between entries at once: one
// in this many, but at least kMinMovableSlots.
constexpr uint32_t kMovableShareDivisor = 16;
constexpr uint32_t kMinMovableSlots = 4;

}  // namespace

std::vector<SlotLedger::Impl::EndpointRef> SlotLedger::Impl::ReadyEndpoints(
    base::Instant now,
    const wire::ServiceId& service) {
  std::vector<EndpointRef> refs;
  for (auto& [key, endpoint] : endpoints_) {
    if (endpoint.IsReady(now) && endpoint.last_heartbeat().service == service) {
      refs.emplace_back(&key, &endpoint);
    }
  }
  return refs;
}

void SlotLedger::Impl::SplitAll(base::Instant now) {
  std::set<wire::ServiceId> services;
  for (const Endpoint& endpoint : endpoints_ | std::views::values) {
    if (endpoint.IsReady(now)) {
      services.insert(endpoint.last_heartbeat().service);
    }
  }
  std::ranges::for_each(
      services, [&](const auto& service) { SplitService(now, service); });
}

// The number of slots in the entries' targets that aren't granted yet.
uint32_t SlotLedger::Impl::UngrantedSlots(
    const std::vector<EndpointRef>& refs) const {
  uint32_t sum = 0;
  for (const auto& [entry, session] : sessions_) {
    for (const auto& [key, endpoint] : refs) {
      const auto it = session.targets.find(*key);
      const uint32_t target =
          it == session.targets.end() ? 0 : it->second.slots;
      const uint32_t granted = endpoint->Charge(entry).slots;
      sum += target > granted ? target - granted : 0;
    }
  }
  return sum;
}

void SlotLedger::Impl::SplitService(base::Instant now,
                                    const wire::ServiceId& service) {
  const std::vector<EndpointRef> refs = ReadyEndpoints(now, service);
  std::vector<SplitUpstream> upstreams;
  uint32_t total = 0;
  for (const auto& [key, endpoint] : refs) {
    const Amount amount = endpoint->Grantable(now);
    const uint32_t slots = std::min(amount.slots, amount.connections);
    upstreams.push_back({endpoint->last_heartbeat().zone, slots});
    total += slots;
  }
  const std::vector<double> demand = DemandOf(service, total);
  std::vector<SplitEntry> entries;
  Split last;
  for (auto& [entry, session] : sessions_) {
    entries.push_back({session.last_renewal.zone, demand[entries.size()],
                       session.last_renewal.is_leaving,
                       session.services[service].quota});
    std::vector<uint32_t> row;
    for (const auto& [key, endpoint] : refs) {
      const auto it = session.targets.find(*key);
      row.push_back(it != session.targets.end()
                        ? it->second.slots
                        : endpoint->Charge(entry).slots);
    }
    last.push_back(std::move(row));
  }
  const uint32_t movable =
      std::max(total / kMovableShareDivisor, kMinMovableSlots);
  const uint32_t moving = UngrantedSlots(refs);
  const std::vector<uint32_t> quotas =
      Quotas(entries, total, movable > moving ? movable - moving : 0);
  const Split split = SplitSlots(entries, upstreams, quotas, last);
  size_t n = 0;
  for (Session& session : sessions_ | std::views::values) {
    session.services[service].quota = quotas[n];
    for (size_t k = 0; k < refs.size(); ++k) {
      session.targets[*refs[k].first] = {
          split[n][k], split[n][k] * options_.connections_per_slot};
    }
    ++n;
  }
}

// The grant never exceeds what other entries' charges and held-back amounts
// leave.
Amount SlotLedger::Impl::GrantFor(base::Instant now,
                                  const Session& session,
                                  const EndpointKey& key,
                                  const Endpoint& endpoint) const {
  const wire::EntryId& entry = session.last_renewal.entry;
  const auto it = session.targets.find(key);
  const Amount wanted = IsLearning()                  ? endpoint.Charge(entry)
                        : it == session.targets.end() ? Amount{}
                                                      : it->second;
  const Amount available = endpoint.AvailableTo(entry, now);
  Amount grant;
  grant.connections = std::min(wanted.connections, available.connections);
  grant.slots = std::min({wanted.slots, available.slots, grant.connections});
  return grant;
}

void SlotLedger::Impl::AddRoutes(base::Instant now,
                                 const Session& session,
                                 wire::EntryAnswer& answer) {
  const wire::EntryId& entry = session.last_renewal.entry;
  for (auto& [key, endpoint] : endpoints_) {
    if (!endpoint.WasAnnounced()) {
      continue;
    }
    const bool is_ready = endpoint.IsReady(now);
    if (!is_ready && !IsLearning()) {
      continue;
    }
    const Amount grant =
        is_ready ? GrantFor(now, session, key, endpoint) : Amount{};
    endpoint.SetCharge(entry, Amount::Max(endpoint.Charge(entry), grant));
    const wire::UpstreamHeartbeat& last = endpoint.last_heartbeat();
    answer.routes.push_back({last.upstream, last.incarnation, last.service,
                             last.zone, last.address, last.port, grant.slots,
                             grant.connections,
                             is_ready ? wire::UpstreamState::kReady
                                      : wire::UpstreamState::kLeaving});
  }
}

void SlotLedger::Impl::AddIdleEntries(const wire::EntryId& asker,
                                      wire::EntryAnswer& answer) const {
  for (const auto& [entry, session] : sessions_) {
    if (entry == asker || session.last_renewal.is_leaving) {
      continue;
    }
    for (const auto& [service, state] : session.services) {
      if (state.quota > 0) {
        answer.idle_entries.push_back(
            {entry, service, session.last_renewal.zone, state.idle});
      }
    }
  }
}

std::vector<double> SlotLedger::Impl::DemandOf(const wire::ServiceId& service,
                                               uint32_t slots) {
  std::map<wire::OwnerId, OwnerLoad> loads;
  size_t n = 0;
  for (Session& session : sessions_ | std::views::values) {
    for (const auto& [owner, state] : session.services[service].owners) {
      OwnerLoad& load = loads[owner];
      load.weight = state.weight;
      load.by_entry.resize(sessions_.size(), 0);
      load.by_entry[n] = state.load;
    }
    ++n;
  }
  std::vector<OwnerLoad> owners;
  std::ranges::copy(loads | std::views::values, std::back_inserter(owners));
  return FairDemand(owners, sessions_.size(), slots);
}

}  // namespace sassafras::routing
