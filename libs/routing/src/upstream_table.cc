// Routes, slot counts and selection of upstreams at one entry.

#include "upstream_table.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sassafras::routing {
namespace {

// At most one in this many upstreams of a service is ejected at a time.
constexpr size_t kMinUpstreamsPerEjection = 3;
// An upstream is slow if its latency exceeds the median of the others by this
// factor.
constexpr double kSlowFactor = 3.0;

}  // namespace

void UpstreamTable::Apply(const wire::EntryAnswer& answer) {
  if (!answer.is_partial) {
    for (Upstream& upstream : upstreams_ | std::views::values) {
      upstream.is_listed = false;
      upstream.route.slots = 0;
      upstream.route.connections = 0;
    }
  }
  for (const wire::Route& route : answer.routes) {
    Upstream& upstream = upstreams_[MakeEndpointKey(route.address, route.port)];
    if (upstream.route.incarnation != route.incarnation) {
      upstream.ejection.Reset();
    }
    upstream.route = route;
    upstream.is_listed = route.state == wire::UpstreamState::kReady;
  }
  std::erase_if(upstreams_, [](const auto& it) {
    return !it.second.is_listed && it.second.Occupied() == 0;
  });
  IndexServices();
}

void UpstreamTable::IndexServices() {
  by_service_.clear();
  for (auto& [key, upstream] : upstreams_) {
    upstream.key = key;
    by_service_[upstream.route.service].push_back(&upstream);
  }
}

void UpstreamTable::DropGrants() {
  for (Upstream& upstream : upstreams_ | std::views::values) {
    upstream.route.slots = 0;
    upstream.route.connections = 0;
  }
}

const std::vector<Upstream*>& UpstreamTable::UpstreamsOf(
    const wire::ServiceId& service) const {
  static const std::vector<Upstream*> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

// --- choice ---

bool UpstreamTable::IsBetter(const Upstream& a, const Upstream& b) const {
  const bool is_a_in_zone = a.route.zone == zone_;
  const bool is_b_in_zone = b.route.zone == zone_;
  if (is_a_in_zone != is_b_in_zone) {
    return is_a_in_zone;
  }
  // Compares occupied / slots without a division.
  return uint64_t{a.Occupied()} * b.route.slots <
         uint64_t{b.Occupied()} * a.route.slots;
}

UpstreamTable::Choice UpstreamTable::Choose(base::Instant now,
                                            const wire::ServiceId& service,
                                            bool is_idempotent,
                                            const EndpointKey& last) {
  Choice choice;
  if (!HasSession(now)) {
    return choice;
  }
  Upstream* last_candidate = nullptr;
  bool has_other = false;
  uint64_t tie_count = 0;
  for (Upstream* candidate : UpstreamsOf(service)) {
    Upstream& it = *candidate;
    const bool is_allowed = it.ejection.Allows(now, is_idempotent);
    has_other |= it.key != last && it.IsUsable() && is_allowed;
    if (it.FreeSlots() == 0 || !is_allowed) {
      continue;
    }
    if (it.key == last) {
      last_candidate = &it;
      continue;
    }
    ++choice.candidates;
    const bool is_first = choice.upstream == nullptr;
    const bool is_better = is_first || IsBetter(it, *choice.upstream);
    const bool is_equal = !is_better && !IsBetter(*choice.upstream, it);
    tie_count = is_better ? 1 : tie_count + (is_equal ? 1 : 0);
    if (is_better || (is_equal && random_.Below(tie_count) == 0)) {
      choice.upstream = &it;
    }
  }
  if (!has_other && last_candidate) {
    choice = {last_candidate, 1};
  }
  return choice;
}

// --- slots ---

Upstream* UpstreamTable::Find(const EndpointKey& key) {
  const auto it = upstreams_.find(key);
  return it == upstreams_.end() ? nullptr : &it->second;
}

void UpstreamTable::Take(Upstream& upstream) {
  ++upstream.in_use;
  upstream.ejection.OnSent();
}

void UpstreamTable::ReleaseSlot(const EndpointKey& key) {
  if (Upstream* upstream = Find(key); upstream && upstream->in_use > 0) {
    --upstream->in_use;
    upstream->ejection.OnReleased();
  }
}

void UpstreamTable::OnSuccess(base::Instant now,
                              const EndpointKey& key,
                              base::Duration took,
                              bool& is_ejected) {
  is_ejected = false;
  if (Upstream* upstream = Find(key); upstream && upstream->in_use > 0) {
    --upstream->in_use;
    upstream->ejection.OnSuccess(took);
    if (IsSlow(*upstream)) {
      EjectIfAllowed(now, *upstream, is_ejected);
    }
  }
}

void UpstreamTable::OnFailure(base::Instant now,
                              const EndpointKey& key,
                              base::Instant hold_until,
                              bool& is_ejected) {
  is_ejected = false;
  Upstream* upstream = Find(key);
  if (!upstream || upstream->in_use == 0) {
    return;
  }
  --upstream->in_use;
  if (hold_until > now) {
    upstream->abandoned.insert(hold_until);
  }
  if (upstream->ejection.OnFailure(ejection_)) {
    EjectIfAllowed(now, *upstream, is_ejected);
  }
}

void UpstreamTable::ReleaseAbandoned(base::Instant now) {
  for (Upstream& upstream : upstreams_ | std::views::values) {
    auto& abandoned = upstream.abandoned;
    abandoned.erase(abandoned.begin(), abandoned.upper_bound(now));
  }
}

// --- ejection ---

bool UpstreamTable::MayEject(const wire::ServiceId& service) const {
  size_t listed = 0;
  size_t ejected = 0;
  for (Upstream* candidate : UpstreamsOf(service)) {
    const Upstream& it = *candidate;
    listed += it.is_listed ? 1 : 0;
    ejected += it.is_listed && it.ejection.IsEjected() ? 1 : 0;
  }
  return (ejected + 1) * kMinUpstreamsPerEjection <= listed;
}

bool UpstreamTable::IsSlow(const Upstream& upstream) const {
  const double own = upstream.ejection.Latency();
  if (own == 0) {
    return false;
  }
  std::vector<double> others;
  for (Upstream* candidate : UpstreamsOf(upstream.route.service)) {
    const Upstream& it = *candidate;
    const double latency = it.ejection.Latency();
    if (&it != &upstream && latency > 0) {
      others.push_back(latency);
    }
  }
  if (others.empty()) {
    return false;
  }
  const auto middle = others.begin() + std::ssize(others) / 2;
  std::ranges::nth_element(others, middle);
  return own > kSlowFactor * *middle;
}

void UpstreamTable::EjectIfAllowed(base::Instant now,
                                   Upstream& upstream,
                                   bool& is_ejected) {
  if (upstream.ejection.IsEjected() || MayEject(upstream.route.service)) {
    upstream.ejection.Eject(now, ejection_);
    is_ejected = true;
  }
}

// --- sums ---

bool UpstreamTable::HasListed(base::Instant now,
                              const wire::ServiceId& service) const {
  return HasSession(now) &&
         std::ranges::any_of(UpstreamsOf(service),
                             [](const Upstream* it) { return it->is_listed; });
}

bool UpstreamTable::HasUsable(base::Instant now,
                              const wire::ServiceId& service) const {
  return HasSession(now) &&
         std::ranges::any_of(UpstreamsOf(service),
                             [](const Upstream* it) { return it->IsUsable(); });
}

uint32_t UpstreamTable::Capacity(base::Instant now,
                                 const wire::ServiceId& service) const {
  uint32_t sum = 0;
  for (Upstream* candidate : UpstreamsOf(service)) {
    const Upstream& it = *candidate;
    sum += it.IsUsable() && !it.ejection.IsEjected() ? it.route.slots : 0;
  }
  return HasSession(now) ? sum : 0;
}

uint32_t UpstreamTable::FreeSlots(base::Instant now,
                                  const wire::ServiceId& service) const {
  uint32_t sum = 0;
  for (Upstream* candidate : UpstreamsOf(service)) {
    const Upstream& it = *candidate;
    sum += it.ejection.Allows(now, true) ? it.FreeSlots() : 0;
  }
  return HasSession(now) ? sum : 0;
}

uint32_t UpstreamTable::SlotsInUse(const wire::ServiceId& service) const {
  uint32_t sum = 0;
  for (const Upstream* it : UpstreamsOf(service)) {
    sum += it->in_use;
  }
  return sum;
}

uint32_t UpstreamTable::SlotsInUse() const {
  uint32_t sum = 0;
  for (const Upstream& upstream : upstreams_ | std::views::values) {
    sum += upstream.in_use;
  }
  return sum;
}

bool UpstreamTable::IsIdle() const {
  return std::ranges::all_of(
      upstreams_ | std::views::values,
      [](const Upstream& it) { return it.Occupied() == 0; });
}

base::Instant UpstreamTable::NextDeadline(base::Instant now) const {
  base::Instant next = base::Instant::max();
  for (const Upstream& upstream : upstreams_ | std::views::values) {
    if (!upstream.abandoned.empty()) {
      next = std::min(next, *upstream.abandoned.begin());
    }
    if (upstream.ejection.IsEjected() &&
        upstream.ejection.ejected_until() > now) {
      next = std::min(next, upstream.ejection.ejected_until());
    }
  }
  return next;
}

std::vector<wire::HeldGrant> UpstreamTable::HeldGrants(
    base::Instant now) const {
  const bool has_session = HasSession(now);
  std::vector<wire::HeldGrant> held;
  for (const Upstream& it : upstreams_ | std::views::values) {
    const uint32_t granted = has_session ? it.route.slots : 0;
    const uint32_t connections = has_session ? it.route.connections : 0;
    const uint32_t occupied = it.Occupied();
    if (granted > 0 || connections > 0 || occupied > 0) {
      held.push_back({it.route.upstream, it.route.incarnation, it.route.address,
                      it.route.port, std::max(granted, occupied),
                      std::max(connections, occupied), occupied});
    }
  }
  return held;
}

std::vector<wire::ServiceId> UpstreamTable::Services() const {
  std::vector<wire::ServiceId> services;
  std::ranges::copy(by_service_ | std::views::keys,
                    std::back_inserter(services));
  return services;
}

}  // namespace sassafras::routing
