// The leader's side of a worker's lease: what bound may be sent, and when
// everything that the worker ran is surely over.

#ifndef JOBS_LEASE_H_
#define JOBS_LEASE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace sassafras::jobs {

// The lease of one boot of a worker, counted on the worker's own clock, of
// which exchanges tell the reading. That clock may run `kSlowestClock` as fast
// as this process's. Readings never run ahead of the worker's clock, so a
// bound that was sent ends at the worker when it ends here, or earlier.
class WorkerLease {
 public:
  // A worker's clock loses at most 2% against this process's.
  static constexpr double kSlowestClock = 0.98;

  // `begun`: when this process became responsible; until then another may
  // have sent bounds of up to `limit`.
  WorkerLease(base::Instant begun, base::Duration limit);

  // The worker told its clock in an answer or a heartbeat received at `now`.
  void OnClock(base::Instant now, int64_t clock_ms);

  // The bound to send with a call at `now`, on the worker's clock; nothing
  // until its clock is known. The call counts as carried out at any time.
  std::optional<int64_t> Extend(base::Instant now, base::Duration length);

  // Whether no bound that was ever sent can still be running.
  bool IsOver(base::Instant now) const;

 private:
  int64_t ClockAt(base::Instant now) const;

  base::Instant begun_;
  base::Duration limit_;
  std::optional<int64_t> clock_ms_;  // at `read_at_`
  base::Instant read_at_;
  int64_t latest_bound_ms_ = 0;  // of all calls; 0: none was sent
};

}  // namespace sassafras::jobs

#endif  // JOBS_LEASE_H_
