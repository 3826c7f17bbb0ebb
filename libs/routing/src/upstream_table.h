// The upstreams that this entry may use, its slots on each of them, and the
// selection of an upstream for a request.

#ifndef ROUTING_SRC_UPSTREAM_TABLE_H_
#define ROUTING_SRC_UPSTREAM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "ejection.h"
#include "endpoint.h"
#include "wire/ids.h"
#include "wire/routing.h"

namespace sassafras::routing {

struct Upstream {
  EndpointKey key;
  wire::Route route;
  bool is_listed = false;  // ready in the newest answer of the leader
  uint32_t in_use = 0;     // tries in progress
  // Abandoned tries, each assumed to occupy a slot until its instant here.
  std::multiset<base::Instant> abandoned;
  Ejection ejection;

  uint32_t Occupied() const {
    return in_use + static_cast<uint32_t>(abandoned.size());
  }
  uint32_t FreeSlots() const {
    return is_listed && route.slots > Occupied() ? route.slots - Occupied() : 0;
  }
  bool IsUsable() const { return is_listed && route.slots > 0; }
};

// Grants are valid only while the session is, so functions whose result depends
// on the session take `now`.
class UpstreamTable {
 public:
  UpstreamTable(wire::ZoneId zone, EjectionOptions ejection, uint64_t seed)
      : zone_(std::move(zone)), ejection_(ejection), random_(seed) {}

  void Apply(const wire::EntryAnswer& answer);
  void SetSessionUntil(base::Instant until) { session_until_ = until; }
  base::Instant session_until() const { return session_until_; }
  bool HasSession(base::Instant now) const { return now < session_until_; }
  // Discards all grants.
  void DropGrants();

  struct Choice {
    Upstream* upstream = nullptr;  // null if none is free
    uint32_t candidates = 0;
  };
  // Prefers upstreams in the entry's zone, then the least loaded one. Chooses
  // `last` only if no other upstream may be used.
  Choice Choose(base::Instant now,
                const wire::ServiceId& service,
                bool is_idempotent,
                const EndpointKey& last);

  Upstream* Find(const EndpointKey& key);
  void Take(Upstream& upstream);
  // Releases the slot of a try of which no byte was sent.
  void ReleaseSlot(const EndpointKey& key);
  // Frees the slot. Like OnFailure, sets `is_ejected` to whether this result
  // caused an ejection.
  void OnSuccess(base::Instant now,
                 const EndpointKey& key,
                 base::Duration took,
                 bool& is_ejected);
  // Counts the slot as occupied until `hold_until`, because the upstream may
  // still be working on the try. Frees it at once if that is not after `now`.
  void OnFailure(base::Instant now,
                 const EndpointKey& key,
                 base::Instant hold_until,
                 bool& is_ejected);
  void ReleaseAbandoned(base::Instant now);

  // True if any upstream of the service is listed, even without granted slots.
  bool HasListed(base::Instant now, const wire::ServiceId& service) const;
  bool HasUsable(base::Instant now, const wire::ServiceId& service) const;
  // Number of granted slots on upstreams that aren't ejected.
  uint32_t Capacity(base::Instant now, const wire::ServiceId& service) const;
  uint32_t FreeSlots(base::Instant now, const wire::ServiceId& service) const;
  uint32_t SlotsInUse(const wire::ServiceId& service) const;
  uint32_t SlotsInUse() const;
  bool IsIdle() const;
  // The next instant at which an abandoned try frees its slot or an ejected
  // upstream may be probed; Instant::max() if there is none.
  base::Instant NextDeadline(base::Instant now) const;

  std::vector<wire::HeldGrant> HeldGrants(base::Instant now) const;
  std::vector<wire::ServiceId> Services() const;

 private:
  bool IsBetter(const Upstream& a, const Upstream& b) const;
  bool MayEject(const wire::ServiceId& service) const;
  bool IsSlow(const Upstream& upstream) const;
  void EjectIfAllowed(base::Instant now, Upstream& upstream, bool& is_ejected);
  const std::vector<Upstream*>& UpstreamsOf(
      const wire::ServiceId& service) const;
  void IndexServices();

  wire::ZoneId zone_;
  EjectionOptions ejection_;
  base::Random random_;
  base::Instant session_until_ = base::Instant::min();
  std::map<EndpointKey, Upstream> upstreams_;
  std::map<wire::ServiceId, std::vector<Upstream*>> by_service_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_UPSTREAM_TABLE_H_
