// What upstreams tell the leader, and what entries and the leader tell each
// other about sessions and grants of upstream slots.

#ifndef WIRE_ROUTING_H_
#define WIRE_ROUTING_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "wire/ids.h"

namespace sassafras::wire {

enum class UpstreamState { kReady, kLeaving };
NLOHMANN_JSON_SERIALIZE_ENUM(UpstreamState,
                             {{UpstreamState::kReady, "ready"},
                              {UpstreamState::kLeaving, "leaving"}})

// Orders the answers of all leaders; `epoch` is the leader's term.
struct Stamp {
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Stamp, epoch, sequence)

// POST /v1/upstreams/{id}/heartbeat. `incarnation` changes when the
// upstream's process restarts. `open`, `sequence` and `answered` may be left
// out; then what dead entries held comes back later, and leaving can't be
// taken back.
struct UpstreamHeartbeat {
  UpstreamId upstream;
  Incarnation incarnation;
  ServiceId service;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
  uint32_t slots = 8;
  uint32_t connections = 64;
  UpstreamState state = UpstreamState::kReady;
  uint32_t busy = 0;           // slots in use as the upstream sees them
  uint32_t open = UINT32_MAX;  // connections open to it; maximum: not told
  uint64_t sequence = 0;       // grows with each heartbeat of an incarnation
  Stamp answered;              // of the newest answer that the upstream has got
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UpstreamHeartbeat,
                                                upstream,
                                                incarnation,
                                                service,
                                                zone,
                                                address,
                                                port,
                                                slots,
                                                connections,
                                                state,
                                                busy,
                                                open,
                                                sequence,
                                                answered)

struct UpstreamAnswer {
  int64_t lease_ms = 0;
  Stamp stamp;  // to be sent back as `answered`
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UpstreamAnswer, lease_ms, stamp)

// Slots of one upstream that an entry holds: granted to it or still in use.
struct HeldGrant {
  UpstreamId upstream;
  Incarnation incarnation;
  std::string address;
  uint16_t port = 0;
  uint32_t slots = 0;        // max(granted, in use)
  uint32_t connections = 0;  // max(granted, open)
  uint32_t in_use = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldGrant,
                                                upstream,
                                                incarnation,
                                                address,
                                                port,
                                                slots,
                                                connections,
                                                in_use)

struct ServiceDemand {
  ServiceId service;
  uint32_t wanted = 0;  // requests running and waiting
  uint32_t idle = 0;    // granted slots that are free, 0 while any waits
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceDemand,
                                                service,
                                                wanted,
                                                idle)

// An entry's session renewal, sent every few hundred milliseconds. Each one is
// sent once, to one leader; the entry applies only the answer to its newest.
struct EntryRenewal {
  EntryId entry;
  Incarnation incarnation;
  ZoneId zone;
  uint64_t sequence = 0;  // grows within an incarnation
  Stamp applied;          // the newest answer that the entry applied
  std::vector<ServiceDemand> demand;
  std::vector<HeldGrant> held;
  Version document_version;  // applied
  bool is_leaving = false;   // gives its grants back
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EntryRenewal,
                                                entry,
                                                incarnation,
                                                zone,
                                                sequence,
                                                applied,
                                                demand,
                                                held,
                                                document_version,
                                                is_leaving)

// One upstream that an entry may use.
struct Route {
  UpstreamId upstream;
  Incarnation incarnation;
  ServiceId service;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
  uint32_t slots = 0;        // granted to this entry; may be 0
  uint32_t connections = 0;  // granted to this entry
  UpstreamState state = UpstreamState::kReady;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Route,
                                                upstream,
                                                incarnation,
                                                service,
                                                zone,
                                                address,
                                                port,
                                                slots,
                                                connections,
                                                state)

// Another entry that showed idle slots of a service.
struct IdleEntry {
  EntryId entry;
  ServiceId service;
  ZoneId zone;
  uint32_t idle = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(IdleEntry,
                                                entry,
                                                service,
                                                zone,
                                                idle)

// Answers an EntryRenewal. The session runs from the moment the entry sent
// the renewal that is answered here.
struct EntryAnswer {
  int64_t session_ms = 0;  // 0: no session granted
  Stamp stamp;
  uint64_t renewal_sequence = 0;
  std::vector<Route> routes;
  // False: what isn't listed is no longer granted. True: a new leader still
  // learns, and what isn't listed stays as it was.
  bool is_partial = false;
  std::vector<IdleEntry> idle_entries;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EntryAnswer,
                                                session_ms,
                                                stamp,
                                                renewal_sequence,
                                                routes,
                                                is_partial,
                                                idle_entries)

}  // namespace sassafras::wire

#endif  // WIRE_ROUTING_H_
