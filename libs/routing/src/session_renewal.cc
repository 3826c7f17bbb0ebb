// Builds the session renewals that an entry sends to the leader.

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>

#include "dispatcher_impl.h"

namespace sassafras::routing {

wire::EntryRenewal Dispatcher::Impl::BuildRenewal(base::Instant now) {
  wire::EntryRenewal renewal;
  has_returned_grants_ = has_returned_grants_ || (is_draining_ && IsIdle());
  renewal.is_leaving = has_returned_grants_;
  // Grants that this renewal doesn't report as held must not be used, whatever
  // the answer is.
  if (has_returned_grants_ || !upstreams_.HasSession(now)) {
    upstreams_.DropGrants();
  }
  renewal.entry = options_.entry;
  renewal.incarnation = incarnation_;
  renewal.zone = options_.zone;
  renewal.sequence = ++renewal_sequence_;
  renewal.applied = applied_;
  renewal.document_version = document_version_;
  renewal.held = upstreams_.HeldGrants(now);
  std::set<wire::ServiceId> names;
  std::ranges::copy(services_ | std::views::keys,
                    std::inserter(names, names.end()));
  std::ranges::copy(upstreams_.Services(), std::inserter(names, names.end()));
  for (const wire::ServiceId& name : names) {
    const auto it = services_.find(name);
    const auto waiting = static_cast<uint32_t>(
        it == services_.end() ? 0 : it->second.queue.size());
    renewal.demand.push_back({name, upstreams_.SlotsInUse(name) + waiting,
                              waiting ? 0 : upstreams_.FreeSlots(now, name)});
    if (it != services_.end()) {
      AddLoads(now, it->second, renewal.demand.back());
    }
  }
  return renewal;
}

void Dispatcher::Impl::AddLoads(base::Instant now,
                                const Service& service,
                                wire::ServiceDemand& demand) const {
  for (const auto& [owner, load] : service.estimate.Loads(now)) {
    const auto weight = weights_.find(owner);
    demand.owners.push_back(
        {owner, weight == weights_.end() ? 1 : weight->second, load});
  }
}

bool Dispatcher::Impl::IsIdle() const {
  return requests_.empty() && upstreams_.IsIdle();
}

DispatcherCounters Dispatcher::Impl::Counters() const {
  DispatcherCounters counters = counters_;
  for (const Service& service : services_ | std::views::values) {
    counters.waiting += static_cast<uint32_t>(service.queue.size());
  }
  counters.in_flight = upstreams_.SlotsInUse();
  return counters;
}

}  // namespace sassafras::routing
