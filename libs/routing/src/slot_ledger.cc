// Sessions of entries, leases of upstreams, and reports.

#include "routing/slot_ledger.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <string>
#include <utility>

#include "slot_ledger_impl.h"

namespace sassafras::routing {
namespace {

constexpr size_t kMaxReplacedIncarnations = 16;
constexpr double kMinTrackedLoad = 0.001;  // in slots

int64_t ToMs(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

// --- time ---

void SlotLedger::Impl::Advance(base::Instant now) {
  std::vector<wire::EntryId> expired;
  for (const auto& [entry, session] : sessions_) {
    if (now >= session.expires_at) {
      expired.push_back(entry);
    }
  }
  std::ranges::for_each(expired,
                        [&](const auto& entry) { EndSession(now, entry); });
  if (IsLearning() && now >= learn_until_) {
    FinishLearning();
  }
  std::erase_if(endpoints_,
                [now](const auto& it) { return it.second.IsUnused(now); });
}

void SlotLedger::Impl::FinishLearning() {
  has_learned_ = true;
  for (Endpoint& endpoint : endpoints_ | std::views::values) {
    if (endpoint.WasAnnounced()) {
      HoldBackUnclaimed(endpoint);
    }
  }
}

// Entries that were known to the previous leader may have died with requests
// running, so amounts that no entry claims may still be in use by them.
void SlotLedger::Impl::HoldBackUnclaimed(Endpoint& endpoint) {
  const Amount offer{endpoint.last_heartbeat().slots,
                     endpoint.last_heartbeat().connections};
  Amount unclaimed = Amount::Minus(offer, endpoint.Charged());
  // Far fewer connections are granted than upstreams offer. If the upstream
  // doesn't report its open connections (UINT32_MAX), only as many are held
  // back as were granted with the slots.
  if (endpoint.last_heartbeat().open == UINT32_MAX) {
    unclaimed.connections = std::min(
        unclaimed.connections, unclaimed.slots * options_.connections_per_slot);
  }
  endpoint.HoldBack(unclaimed, {epoch_, sequence_},
                    learn_until_ + options_.max_request_duration,
                    learn_until_ + options_.dead_connection_hold);
}

void SlotLedger::Impl::EndSession(base::Instant now,
                                  const wire::EntryId& entry) {
  const auto it = sessions_.find(entry);
  for (Endpoint& endpoint : endpoints_ | std::views::values) {
    endpoint.HoldBack(endpoint.Charge(entry), {epoch_, sequence_},
                      now + options_.max_request_duration,
                      now + options_.dead_connection_hold);
    endpoint.SetCharge(entry, {});
  }
  ended_.push_back({entry, it->second.last_renewal.incarnation});
  auto& replaced = replaced_incarnations_[entry];
  replaced.push_back(it->second.last_renewal.incarnation);
  if (replaced.size() > kMaxReplacedIncarnations) {
    replaced.pop_front();
  }
  sessions_.erase(it);
}

std::vector<EndedEntry> SlotLedger::Impl::Tick(base::Instant now) {
  Advance(now);
  return std::exchange(ended_, {});
}

base::Instant SlotLedger::Impl::NextDeadline() const {
  base::Instant next = IsLearning() ? learn_until_ : base::Instant::max();
  for (const Session& session : sessions_ | std::views::values) {
    next = std::min(next, session.expires_at);
  }
  return next;
}

// --- upstreams ---

std::optional<wire::UpstreamAnswer> SlotLedger::Impl::Announce(
    base::Instant now,
    const wire::UpstreamHeartbeat& heartbeat,
    RoutingReason& why) {
  Advance(now);
  if (heartbeat.upstream.empty() || heartbeat.incarnation.empty() ||
      heartbeat.service.empty() || heartbeat.address.empty() ||
      heartbeat.port == 0) {
    why.Set(
        RoutingError::kInvalidMessage,
        "heartbeat of upstream \"" + heartbeat.upstream.str() +
            "\" must have upstream, incarnation, service, address and port");
    return std::nullopt;
  }
  const EndpointKey key = MakeEndpointKey(heartbeat.address, heartbeat.port);
  Endpoint& endpoint = endpoints_[key];
  const bool is_new = !endpoint.WasAnnounced();
  if (!endpoint.Announce(now, options_.upstream_lease, heartbeat)) {
    why.Set(RoutingError::kStale,
            "heartbeat " + std::to_string(heartbeat.sequence) +
                " of upstream \"" + heartbeat.upstream.str() +
                "\" was superseded by a newer one");
    return std::nullopt;
  }
  if (is_new && !IsLearning() &&
      now < learn_until_ + options_.max_request_duration) {
    HoldBackUnclaimed(endpoint);
  }
  for (auto& [other_key, other] : endpoints_) {
    if (other_key != key &&
        other.last_heartbeat().upstream == heartbeat.upstream) {
      other.EndLease();
    }
  }
  return wire::UpstreamAnswer{ToMs(options_.upstream_lease),
                              {epoch_, ++sequence_}};
}

// --- entries ---

bool SlotLedger::Impl::AcceptRenewal(base::Instant now,
                                     const wire::EntryRenewal& renewal,
                                     RoutingReason& why) {
  if (renewal.entry.empty() || renewal.incarnation.empty()) {
    return why.Set(RoutingError::kInvalidMessage,
                   "a renewal must have entry and incarnation");
  }
  const auto replaced = replaced_incarnations_.find(renewal.entry);
  if (replaced != replaced_incarnations_.end() &&
      std::ranges::find(replaced->second, renewal.incarnation) !=
          replaced->second.end()) {
    return why.Set(RoutingError::kStale,
                   "incarnation \"" + renewal.incarnation.str() +
                       "\" of entry \"" + renewal.entry.str() + "\" has ended");
  }
  const auto it = sessions_.find(renewal.entry);
  if (it == sessions_.end()) {
    return true;
  }
  if (it->second.last_renewal.incarnation != renewal.incarnation) {
    EndSession(now, renewal.entry);
    return true;
  }
  if (renewal.sequence <= it->second.last_renewal.sequence) {
    return why.Set(RoutingError::kStale,
                   "renewal " + std::to_string(renewal.sequence) +
                       " of entry \"" + renewal.entry.str() +
                       "\" was superseded by a newer one");
  }
  return true;
}

void SlotLedger::Impl::ApplyRenewal(base::Instant now,
                                    const wire::EntryRenewal& renewal) {
  Session& session = sessions_[renewal.entry];
  session.last_renewal = renewal;
  session.expires_at = now + options_.session + options_.drift_allowance;
  UpdateDemand(session);
  RecordHeldGrants(renewal);
}

void SlotLedger::Impl::UpdateDemand(Session& session) {
  for (ServiceSession& service : session.services | std::views::values) {
    service.idle = 0;
    for (OwnerState& owner : service.owners | std::views::values) {
      owner.load *= 1 - options_.demand_smoothing;
    }
    std::erase_if(service.owners, [](const auto& it) {
      return it.second.load < kMinTrackedLoad;
    });
  }
  for (const wire::ServiceDemand& demand : session.last_renewal.demand) {
    ServiceSession& service = session.services[demand.service];
    service.idle = demand.idle;
    if (demand.owners.empty()) {
      service.owners[{}].load += options_.demand_smoothing * demand.wanted;
    }
    for (const wire::OwnerDemand& it : demand.owners) {
      OwnerState& owner = service.owners[it.owner];
      owner.load += options_.demand_smoothing * std::max(it.load, 0.0);
      owner.weight = std::max(it.weight, 1U);
    }
  }
}

// The entry applies only the answer to its newest renewal. Grants of earlier
// answers are therefore either listed in `held` or will never be used.
void SlotLedger::Impl::RecordHeldGrants(const wire::EntryRenewal& renewal) {
  for (Endpoint& endpoint : endpoints_ | std::views::values) {
    endpoint.SetCharge(renewal.entry, {});
  }
  for (const wire::HeldGrant& held : renewal.held) {
    endpoints_[MakeEndpointKey(held.address, held.port)].SetCharge(
        renewal.entry, {std::max(held.slots, held.in_use), held.connections});
  }
}

std::optional<wire::EntryAnswer> SlotLedger::Impl::Renew(
    base::Instant now,
    const wire::EntryRenewal& renewal,
    RoutingReason& why) {
  Advance(now);
  if (!AcceptRenewal(now, renewal, why)) {
    return std::nullopt;
  }
  ApplyRenewal(now, renewal);
  if (!IsLearning()) {
    SplitAll(now);
  }
  wire::EntryAnswer answer;
  answer.session_ms = ToMs(options_.session);
  answer.stamp = {epoch_, ++sequence_};
  answer.renewal_sequence = renewal.sequence;
  answer.is_partial = IsLearning();
  AddRoutes(now, sessions_.at(renewal.entry), answer);
  AddIdleEntries(renewal.entry, answer);
  return answer;
}

// --- reports ---

std::vector<UpstreamView> SlotLedger::Impl::Upstreams(base::Instant now) const {
  std::vector<UpstreamView> views;
  for (const Endpoint& endpoint : endpoints_ | std::views::values) {
    if (endpoint.WasAnnounced()) {
      views.push_back({endpoint.last_heartbeat(), endpoint.IsLive(now),
                       endpoint.Charged().slots, endpoint.HeldBack(now).slots});
    }
  }
  return views;
}

std::vector<EntryView> SlotLedger::Impl::Entries() const {
  std::vector<EntryView> views;
  for (const auto& [entry, session] : sessions_) {
    EntryView view{entry, session.last_renewal.incarnation,
                   session.last_renewal.zone,
                   session.last_renewal.document_version};
    for (const Endpoint& endpoint : endpoints_ | std::views::values) {
      view.granted += endpoint.Charge(entry).slots;
    }
    views.push_back(std::move(view));
  }
  return views;
}

// --- the public class ---

std::optional<SlotLedger> SlotLedger::Create(const SlotLedgerOptions& options,
                                             uint64_t epoch,
                                             base::Instant now,
                                             RoutingReason& why) {
  if (options.session <= base::Duration::zero() ||
      options.upstream_lease <= base::Duration::zero() ||
      options.demand_smoothing <= 0 || options.demand_smoothing > 1 ||
      options.connections_per_slot == 0) {
    why.Set(RoutingError::kInvalidOptions,
            "session and upstream_lease must be above 0, demand_smoothing in "
            "(0, 1] and connections_per_slot at least 1");
    return std::nullopt;
  }
  return SlotLedger(std::make_unique<Impl>(options, epoch, now));
}

SlotLedger::SlotLedger(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
SlotLedger::SlotLedger(SlotLedger&&) noexcept = default;
SlotLedger& SlotLedger::operator=(SlotLedger&&) noexcept = default;
SlotLedger::~SlotLedger() = default;

std::optional<wire::UpstreamAnswer> SlotLedger::Announce(
    base::Instant now,
    const wire::UpstreamHeartbeat& heartbeat,
    RoutingReason& why) {
  return impl_->Announce(now, heartbeat, why);
}

std::optional<wire::EntryAnswer> SlotLedger::Renew(
    base::Instant now,
    const wire::EntryRenewal& renewal,
    RoutingReason& why) {
  return impl_->Renew(now, renewal, why);
}

std::vector<EndedEntry> SlotLedger::Tick(base::Instant now) {
  return impl_->Tick(now);
}

base::Instant SlotLedger::NextDeadline() const {
  return impl_->NextDeadline();
}

std::vector<UpstreamView> SlotLedger::Upstreams(base::Instant now) const {
  return impl_->Upstreams(now);
}

std::vector<EntryView> SlotLedger::Entries() const {
  return impl_->Entries();
}

}  // namespace sassafras::routing
