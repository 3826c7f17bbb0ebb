// Divides upstream slots and connections among the entries, on the leader.
//
// The ledger isn't persisted: each new leader creates one and learns the
// current grants from the entries' renewals. For each upstream, the grants that
// entries may consider valid plus the slots that dead entries may still use
// never exceed what the upstream offers.

#ifndef ROUTING_SLOT_LEDGER_H_
#define ROUTING_SLOT_LEDGER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "routing/error.h"
#include "wire/ids.h"
#include "wire/routing.h"

namespace sassafras::routing {

struct SlotLedgerOptions {
  base::Duration session = std::chrono::seconds(2);
  // Added to each entry session on the leader, to allow for clock drift between
  // the leader and the entry.
  base::Duration drift_allowance = std::chrono::milliseconds(200);
  base::Duration upstream_lease = std::chrono::seconds(2);
  // Upper bound of the time that a request can occupy a slot.
  base::Duration max_request_duration = std::chrono::seconds(30);
  // How long connections of a dead entry are assumed to stay open.
  base::Duration dead_connection_hold = std::chrono::minutes(10);
  // Connections granted per slot if the upstream offers enough of them.
  uint32_t connections_per_slot = 2;
  // Weight of the newest value in the smoothed demand, in (0, 1].
  double demand_smoothing = 0.3;
};

// An incarnation whose session expired or that a newer incarnation of the same
// entry replaced.
struct EndedEntry {
  wire::EntryId entry;
  wire::Incarnation incarnation;
};

// State of one upstream for reports.
struct UpstreamView {
  wire::UpstreamHeartbeat last;
  bool is_live = false;    // its lease hasn't expired
  uint32_t granted = 0;    // slots that entries may consider granted
  uint32_t held_back = 0;  // slots that dead entries may still use
};

// State of one entry with a valid session for reports.
struct EntryView {
  wire::EntryId entry;
  wire::Incarnation incarnation;
  wire::ZoneId zone;
  wire::Version document_version;
  uint32_t granted = 0;  // sum over all upstreams
};

// Not thread-safe. All instants must come from one monotonic clock.
class SlotLedger {
 public:
  // `epoch` is the leader's term. Returns nullopt and sets `why` to
  // kInvalidOptions if an option is invalid.
  static std::optional<SlotLedger> Create(const SlotLedgerOptions& options,
                                          uint64_t epoch,
                                          base::Instant now,
                                          RoutingReason& why);
  SlotLedger(SlotLedger&&) noexcept;
  SlotLedger& operator=(SlotLedger&&) noexcept;
  ~SlotLedger();

  // Applies an upstream's heartbeat. Errors: kInvalidMessage; kStale if the
  // incarnation was replaced or a newer heartbeat was already applied.
  std::optional<wire::UpstreamAnswer> Announce(
      base::Instant now,
      const wire::UpstreamHeartbeat& heartbeat,
      RoutingReason& why);

  // Applies an entry's renewal and returns the answer to it. The service must
  // not send the answer before it completed a read barrier that began after the
  // renewal was received. Errors: kInvalidMessage; kStale if the sequence
  // number is not newer than the last one or the incarnation has ended.
  std::optional<wire::EntryAnswer> Renew(base::Instant now,
                                         const wire::EntryRenewal& renewal,
                                         RoutingReason& why);

  // Returns the incarnations that expired or were replaced since the last call.
  // The service must propose an EndEntry command for each.
  std::vector<EndedEntry> Tick(base::Instant now);

  // The instant at which the next Tick is due; Instant::max() if none is.
  base::Instant NextDeadline() const;

  std::vector<UpstreamView> Upstreams(base::Instant now) const;
  std::vector<EntryView> Entries() const;

 private:
  class Impl;
  explicit SlotLedger(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SLOT_LEDGER_H_
