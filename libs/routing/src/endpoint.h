// One upstream endpoint (address and port) in the leader's slot ledger: the
// slots and connections that it offers, those charged to entries, and those
// that dead entries may still use.
//
// Charges belong to the endpoint rather than to an incarnation of the upstream,
// because an entry that doesn't know of a restart uses its old grant to send
// requests to the new process.

#ifndef ROUTING_SRC_ENDPOINT_H_
#define ROUTING_SRC_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"
#include "wire/routing.h"

namespace sassafras::routing {

// Slots and connections of one endpoint.
struct Amount {
  uint32_t slots = 0;
  uint32_t connections = 0;

  Amount& operator+=(const Amount& other) {
    slots += other.slots;
    connections += other.connections;
    return *this;
  }
  bool IsZero() const { return slots == 0 && connections == 0; }
  static Amount Max(const Amount& a, const Amount& b);
  static Amount Min(const Amount& a, const Amount& b);
  // a - b, with each component at least zero.
  static Amount Minus(const Amount& a, const Amount& b);
};

// "address:port"
using EndpointKey = std::string;
EndpointKey MakeEndpointKey(const std::string& address, uint16_t port);

class Endpoint {
 public:
  // Applies a heartbeat. Returns false if a newer incarnation or a later
  // heartbeat has superseded it.
  bool Announce(base::Instant now,
                base::Duration lease,
                const wire::UpstreamHeartbeat& heartbeat);

  // Called when the upstream announces itself at another address.
  void EndLease() { lease_until_ = base::Instant::min(); }

  bool IsLive(base::Instant now) const { return now < lease_until_; }
  bool IsReady(base::Instant now) const {
    return IsLive(now) && last_heartbeat_.state == wire::UpstreamState::kReady;
  }
  bool WasAnnounced() const { return !last_heartbeat_.upstream.empty(); }
  base::Instant lease_until() const { return lease_until_; }
  const wire::UpstreamHeartbeat& last_heartbeat() const {
    return last_heartbeat_;
  }

  // The amount that `entry` may consider granted to it.
  void SetCharge(const wire::EntryId& entry, const Amount& amount);
  Amount Charge(const wire::EntryId& entry) const;
  Amount Charged() const;

  // Excludes `amount` from grants until the given instants, or until a
  // heartbeat reports that less is in use. A restart of the upstream frees
  // nothing, since a dead entry may have used the new process before the leader
  // learned of it. A heartbeat counts only if it was sent after the amount was
  // held back, that is, if its sender had received an answer with a stamp later
  // than `since`.
  void HoldBack(const Amount& amount,
                wire::Stamp since,
                base::Instant slots_until,
                base::Instant connections_until);
  Amount HeldBack(base::Instant now) const;

  // The maximum that can be granted to `entry`, including its current charge.
  Amount AvailableTo(const wire::EntryId& entry, base::Instant now) const;
  // The total that can be granted to all entries together.
  Amount Grantable(base::Instant now) const;

  bool IsUnused(base::Instant now) const {
    return !IsLive(now) && charges_.empty() && HeldBack(now).IsZero();
  }

 private:
  struct HeldBackAmount {
    Amount amount;
    wire::Stamp since;
    base::Instant slots_until;
    base::Instant connections_until;
  };

  bool IsStale(const wire::UpstreamHeartbeat& heartbeat) const;
  void ReduceHeldBack();

  wire::UpstreamHeartbeat last_heartbeat_;
  base::Instant lease_until_ = base::Instant::min();
  std::deque<wire::Incarnation> replaced_incarnations_;
  std::map<wire::EntryId, Amount> charges_;  // without zero amounts
  std::vector<HeldBackAmount> held_back_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_ENDPOINT_H_
