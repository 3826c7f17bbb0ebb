// The implementation class of SlotLedger. slot_ledger.cc defines sessions,
// leases and reports; ledger_grants.cc defines the computation of grants.

#ifndef ROUTING_SRC_SLOT_LEDGER_IMPL_H_
#define ROUTING_SRC_SLOT_LEDGER_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "endpoint.h"
#include "routing/slot_ledger.h"

namespace sassafras::routing {

struct OwnerState {
  double load = 0;  // smoothed, in slots
  uint32_t weight = 1;
};

struct ServiceSession {
  std::map<wire::OwnerId, OwnerState> owners;
  uint32_t idle = 0;   // idle slots that the entry last reported
  uint32_t quota = 0;  // slots assigned to the entry by the last split
};

struct Session {
  wire::EntryRenewal last_renewal;
  base::Instant expires_at;
  // Amounts assigned by the last split; granted as far as they are available.
  std::map<EndpointKey, Amount> targets;
  std::map<wire::ServiceId, ServiceSession> services;
};

class SlotLedger::Impl {
 public:
  Impl(const SlotLedgerOptions& options, uint64_t epoch, base::Instant now)
      : options_(options),
        epoch_(epoch),
        learn_until_(now + options.session + options.drift_allowance) {}

  std::optional<wire::UpstreamAnswer> Announce(
      base::Instant now,
      const wire::UpstreamHeartbeat& heartbeat,
      RoutingReason& why);
  std::optional<wire::EntryAnswer> Renew(base::Instant now,
                                         const wire::EntryRenewal& renewal,
                                         RoutingReason& why);
  std::vector<EndedEntry> Tick(base::Instant now);
  base::Instant NextDeadline() const;
  std::vector<UpstreamView> Upstreams(base::Instant now) const;
  std::vector<EntryView> Entries() const;

 private:
  using EndpointRef = std::pair<const EndpointKey*, Endpoint*>;

  bool IsLearning() const { return !has_learned_; }
  void Advance(base::Instant now);
  void FinishLearning();
  void HoldBackUnclaimed(Endpoint& endpoint);
  void EndSession(base::Instant now, const wire::EntryId& entry);
  bool AcceptRenewal(base::Instant now,
                     const wire::EntryRenewal& renewal,
                     RoutingReason& why);
  void ApplyRenewal(base::Instant now, const wire::EntryRenewal& renewal);
  void UpdateDemand(Session& session);
  void RecordHeldGrants(const wire::EntryRenewal& renewal);
  std::vector<EndpointRef> ReadyEndpoints(base::Instant now,
                                          const wire::ServiceId& service);
  std::vector<double> DemandOf(const wire::ServiceId& service, uint32_t slots);
  uint32_t UngrantedSlots(const std::vector<EndpointRef>& refs) const;
  void SplitService(base::Instant now, const wire::ServiceId& service);
  void SplitAll(base::Instant now);
  Amount GrantFor(base::Instant now,
                  const Session& session,
                  const EndpointKey& key,
                  const Endpoint& endpoint) const;
  void AddRoutes(base::Instant now,
                 const Session& session,
                 wire::EntryAnswer& answer);
  void AddIdleEntries(const wire::EntryId& asker,
                      wire::EntryAnswer& answer) const;

  SlotLedgerOptions options_;
  uint64_t epoch_;
  uint64_t sequence_ = 0;
  // Until then a new leader learns the current grants from the entries'
  // renewals and grants no entry more than it reports to hold.
  base::Instant learn_until_;
  bool has_learned_ = false;
  std::map<EndpointKey, Endpoint> endpoints_;
  std::map<wire::EntryId, Session> sessions_;
  // Incarnations whose sessions have ended, newest last.
  std::map<wire::EntryId, std::deque<wire::Incarnation>> replaced_incarnations_;
  std::vector<EndedEntry> ended_;  // incarnations ended since the last Tick
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_SLOT_LEDGER_IMPL_H_
