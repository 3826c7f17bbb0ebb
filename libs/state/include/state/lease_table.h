// The leader's table of leases of workers, entries and upstreams. It is not
// replicated: a new leader grants every holder a full lease.
//
// The holder measures its lease from the time at which it sent the renewal
// that was answered. The leader measures it from the time of its reply and
// adds a drift allowance. A lease therefore always expires at its holder
// before it expires at the leader.

#ifndef STATE_LEASE_TABLE_H_
#define STATE_LEASE_TABLE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"

namespace sassafras::state {

struct LeaseTiming {
  base::Duration lease;
  // Bounds the drift between the clocks of holder and leader over one lease.
  base::Duration drift_allowance;
};

// `Id` is the type of the holder's ID. Not thread-safe. Every `now` is read
// from the leader's monotonic clock and must not decrease between calls.
template <typename Id>
class LeaseTable {
 public:
  struct Holder {
    Id id;
    wire::Incarnation incarnation;

    friend bool operator==(const Holder&, const Holder&) = default;
  };

  explicit LeaseTable(LeaseTiming timing) : timing_(timing) {}

  // Called when this process becomes leader. Every holder in the replicated
  // state may hold a lease granted by the previous leader, so each gets a full
  // lease that starts at `now`.
  void StartTerm(base::Instant now, std::span<const Holder> holders) {
    leases_.clear();
    is_leading_ = true;
    for (const Holder& holder : holders) {
      Begin(holder, now);
    }
  }

  // Called when this process is no longer leader. Removes all leases: until the
  // next StartTerm, renewals are refused and no lease expires.
  void EndTerm() {
    leases_.clear();
    is_leading_ = false;
  }

  // Called when a new run of the holder has been applied to the replicated
  // state. Starts its lease at `now`; does nothing unless leader.
  void Begin(const Holder& holder, base::Instant now) {
    if (is_leading_) {
      leases_[holder.id] = Lease{holder.incarnation, now, false};
    }
  }

  // Called when the end of this run has been applied to the replicated state.
  // Removes its lease.
  void Forget(const Holder& holder) {
    const auto it = leases_.find(holder.id);
    if (it != leases_.end() && it->second.incarnation == holder.incarnation) {
      leases_.erase(it);
    }
  }

  // Returns true if this run has a lease, or had one whose end is not yet
  // committed.
  bool Contains(const Holder& holder) const {
    const auto it = leases_.find(holder.id);
    return it != leases_.end() && it->second.incarnation == holder.incarnation;
  }

  // Renews the lease from `now`, the time of the reply. `received` is the time
  // at which the renewal arrived, `barrier_began` the start of the confirmed
  // read barrier. Returns false, and no lease may be granted, if the barrier
  // began before the renewal arrived, if the table has no lease of this run, or
  // if the lease has expired or its end is being committed.
  bool Renew(const Holder& holder,
             base::Instant received,
             base::Instant barrier_began,
             base::Instant now) {
    const auto it = leases_.find(holder.id);
    if (it == leases_.end() || it->second.incarnation != holder.incarnation) {
      return false;
    }
    Lease& lease = it->second;
    if (barrier_began < received || lease.is_ending || HasExpired(lease, now)) {
      return false;
    }
    lease.renewed_at = now;
    return true;
  }

  // Returns the holders whose lease has expired. Renew refuses them from now
  // on. The leader commits their end and then calls Forget; until then each
  // call returns them again.
  std::vector<Holder> TakeExpired(base::Instant now) {
    std::vector<Holder> expired;
    for (auto& [id, lease] : leases_) {
      lease.is_ending = lease.is_ending || HasExpired(lease, now);
      if (lease.is_ending) {
        expired.push_back({id, lease.incarnation});
      }
    }
    return expired;
  }

  // Returns when the next lease expires, to set a timer; nullopt if the table
  // has no leases.
  std::optional<base::Instant> NextExpiry() const {
    std::optional<base::Instant> next;
    for (const auto& [id, lease] : leases_) {
      const base::Instant at = ExpiryOf(lease);
      next = next ? std::min(*next, at) : at;
    }
    return next;
  }

  base::Duration lease() const { return timing_.lease; }

 private:
  struct Lease {
    wire::Incarnation incarnation;
    // Time of the reply to the last renewal. Before the first renewal, the time
    // of Begin or of the start of the term.
    base::Instant renewed_at;
    bool is_ending = false;  // once true, stays true
  };

  base::Instant ExpiryOf(const Lease& lease) const {
    return lease.renewed_at + timing_.lease + timing_.drift_allowance;
  }
  bool HasExpired(const Lease& lease, base::Instant now) const {
    return now >= ExpiryOf(lease);
  }

  LeaseTiming timing_;
  bool is_leading_ = false;
  std::map<Id, Lease> leases_;
};

}  // namespace sassafras::state

#endif  // STATE_LEASE_TABLE_H_
