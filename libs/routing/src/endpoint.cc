// Charged and held-back amounts of one upstream endpoint.

#include "endpoint.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>

namespace sassafras::routing {
namespace {

constexpr size_t kMaxReplacedIncarnations = 8;

uint32_t SaturatingDifference(uint32_t a, uint32_t b) {
  return a > b ? a - b : 0;
}

}  // namespace

Amount Amount::Max(const Amount& a, const Amount& b) {
  return {std::max(a.slots, b.slots), std::max(a.connections, b.connections)};
}

Amount Amount::Min(const Amount& a, const Amount& b) {
  return {std::min(a.slots, b.slots), std::min(a.connections, b.connections)};
}

Amount Amount::Minus(const Amount& a, const Amount& b) {
  return {SaturatingDifference(a.slots, b.slots),
          SaturatingDifference(a.connections, b.connections)};
}

EndpointKey MakeEndpointKey(const std::string& address, uint16_t port) {
  return address + ":" + std::to_string(port);
}

bool Endpoint::IsStale(const wire::UpstreamHeartbeat& heartbeat) const {
  if (std::ranges::find(replaced_incarnations_, heartbeat.incarnation) !=
      replaced_incarnations_.end()) {
    return true;
  }
  if (heartbeat.incarnation != last_heartbeat_.incarnation) {
    return false;
  }
  const bool has_no_sequence = heartbeat.sequence == 0;
  const bool reverts_leaving =
      last_heartbeat_.state == wire::UpstreamState::kLeaving &&
      heartbeat.state == wire::UpstreamState::kReady;
  return has_no_sequence ? reverts_leaving
                         : heartbeat.sequence <= last_heartbeat_.sequence;
}

bool Endpoint::Announce(base::Instant now,
                        base::Duration lease,
                        const wire::UpstreamHeartbeat& heartbeat) {
  if (IsStale(heartbeat)) {
    return false;
  }
  if (WasAnnounced() && heartbeat.incarnation != last_heartbeat_.incarnation) {
    replaced_incarnations_.push_back(last_heartbeat_.incarnation);
    if (replaced_incarnations_.size() > kMaxReplacedIncarnations) {
      replaced_incarnations_.pop_front();
    }
  }
  last_heartbeat_ = heartbeat;
  lease_until_ = now + lease;
  ReduceHeldBack();
  return true;
}

// Held-back amounts can't exceed in total what the upstream reports as in use.
// The newest are kept, since they expire last.
void Endpoint::ReduceHeldBack() {
  Amount in_use{last_heartbeat_.busy, last_heartbeat_.open};
  for (HeldBackAmount& held : held_back_ | std::views::reverse) {
    if (last_heartbeat_.answered > held.since &&
        last_heartbeat_.answered.epoch == held.since.epoch) {
      held.amount = Amount::Min(held.amount, in_use);
      in_use = Amount::Minus(in_use, held.amount);
    }
  }
}

void Endpoint::SetCharge(const wire::EntryId& entry, const Amount& amount) {
  if (amount.IsZero()) {
    charges_.erase(entry);
  } else {
    charges_[entry] = amount;
  }
}

Amount Endpoint::Charge(const wire::EntryId& entry) const {
  const auto it = charges_.find(entry);
  return it == charges_.end() ? Amount{} : it->second;
}

Amount Endpoint::Charged() const {
  Amount sum;
  for (const Amount& amount : charges_ | std::views::values) {
    sum += amount;
  }
  return sum;
}

void Endpoint::HoldBack(const Amount& amount,
                        wire::Stamp since,
                        base::Instant slots_until,
                        base::Instant connections_until) {
  if (!amount.IsZero()) {
    held_back_.push_back({amount, since, slots_until, connections_until});
  }
}

Amount Endpoint::HeldBack(base::Instant now) const {
  Amount sum;
  for (const HeldBackAmount& held : held_back_) {
    sum.slots += now < held.slots_until ? held.amount.slots : 0;
    sum.connections +=
        now < held.connections_until ? held.amount.connections : 0;
  }
  return sum;
}

Amount Endpoint::AvailableTo(const wire::EntryId& entry,
                             base::Instant now) const {
  const Amount others = Amount::Minus(Charged(), Charge(entry));
  return Amount::Minus(Grantable(now), others);
}

Amount Endpoint::Grantable(base::Instant now) const {
  return Amount::Minus({last_heartbeat_.slots, last_heartbeat_.connections},
                       HeldBack(now));
}

}  // namespace sassafras::routing
