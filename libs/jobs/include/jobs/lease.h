// The leader's side of a worker's lease: which lease bound may be sent, and
// when no run on the worker can still be running.

#ifndef JOBS_LEASE_H_
#define JOBS_LEASE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace sassafras::jobs {

// What the end of a lease is judged by, for the log.
struct LeaseReading {
  // The latest bound that was sent, on the worker's clock; 0 if none was.
  int64_t bound_ms = 0;
  // The last reading of the worker's clock; nullopt before the first.
  std::optional<int64_t> clock_ms;
  base::Duration clock_age{};  // since that reading
};

// Lease of one worker process (boot), measured on the worker's own clock. The
// worker reports its clock in heartbeats and replies. The leader extrapolates
// between readings at the rate `kSlowestClock`, so its estimate never runs
// ahead of the worker's clock and a bound never expires later at the worker
// than here. A worker needs time to end its runs when the lease has expired, so
// they are over some time later.
class WorkerLease {
 public:
  // A worker's clock runs at most 2% slower than this process's clock.
  static constexpr double kSlowestClock = 0.98;

  // `responsible_since` is the time at which this process became responsible
  // for the worker. Before that, others may have given it a lease of up to
  // `inherited_limit`: another leader, or calls that were meant for an earlier
  // boot. The worker takes up to `stop_time` to end runs.
  WorkerLease(base::Instant responsible_since,
              base::Duration inherited_limit,
              base::Duration stop_time);

  // Others may have given a lease of up to `inherited_limit` until now.
  void RestartInheritance(base::Instant now) { responsible_since_ = now; }

  // The worker reported its clock in a reply or heartbeat received at `now`.
  void OnClock(base::Instant now, int64_t clock_ms);

  // Returns the lease bound to send with a call at `now`, in ms on the worker's
  // clock, or nullopt while that clock is unknown. The call may take effect at
  // any later time. The bound is at most `length` after `leads_at`, the last
  // time at which this process is known to have led, because a later leader
  // counts from its own start. A bound that was sent before isn't shortened.
  std::optional<int64_t> Extend(base::Instant now,
                                base::Instant leads_at,
                                base::Duration length);

  // Whether the bounds that others may have sent have passed, and then the time
  // that the worker takes to end its runs.
  bool HasInheritanceEnded(base::Instant now) const;
  // Whether every bound that was ever sent has passed, and then the time that
  // the worker takes to end its runs.
  bool HasEndedRuns(base::Instant now) const;

  LeaseReading Read(base::Instant now) const;

 private:
  int64_t ClockAt(base::Instant now) const;

  // Until then, others may have given a lease of up to `inherited_limit_`.
  base::Instant responsible_since_;
  base::Duration inherited_limit_;
  base::Duration stop_time_;
  std::optional<int64_t> clock_ms_;  // worker's clock at `clock_read_at_`
  base::Instant clock_read_at_;
  // Latest bound of all calls; 0 if none was sent.
  int64_t latest_bound_ms_ = 0;
};

}  // namespace sassafras::jobs

#endif  // JOBS_LEASE_H_
