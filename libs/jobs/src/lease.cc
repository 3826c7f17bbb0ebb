// Computes lease bounds and expiry.

#include "jobs/lease.h"

#include <algorithm>
#include <chrono>

namespace sassafras::jobs {

WorkerLease::WorkerLease(base::Instant responsible_since,
                         base::Duration inherited_limit,
                         base::Duration stop_time)
    : responsible_since_(responsible_since),
      inherited_limit_(inherited_limit),
      stop_time_(stop_time) {}

void WorkerLease::OnClock(base::Instant now, int64_t clock_ms) {
  // A reply that arrives out of order carries an older reading.
  if (clock_ms_ && clock_ms < ClockAt(now)) {
    return;
  }
  clock_ms_ = clock_ms;
  clock_read_at_ = now;
}

int64_t WorkerLease::ClockAt(base::Instant now) const {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double passed_ms = Milliseconds(now - clock_read_at_).count();
  return *clock_ms_ + static_cast<int64_t>(passed_ms * kSlowestClock);
}

std::optional<int64_t> WorkerLease::Extend(base::Instant now,
                                           base::Instant leads_at,
                                           base::Duration length) {
  if (!clock_ms_) {
    return std::nullopt;
  }
  using std::chrono::milliseconds;
  const auto left =
      std::chrono::duration_cast<milliseconds>(length - (now - leads_at));
  latest_bound_ms_ = std::max(latest_bound_ms_, ClockAt(now) + left.count());
  return latest_bound_ms_;
}

bool WorkerLease::HasInheritanceEnded(base::Instant now) const {
  const auto inherited_us =
      static_cast<double>((inherited_limit_ + stop_time_).count());
  const auto inherited_time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(inherited_us / kSlowestClock));
  return now - responsible_since_ > inherited_time;
}

bool WorkerLease::HasEndedRuns(base::Instant now) const {
  if (!HasInheritanceEnded(now)) {
    return false;
  }
  const auto stop_time =
      std::chrono::ceil<std::chrono::milliseconds>(stop_time_);
  return latest_bound_ms_ == 0 ||
         (clock_ms_ && ClockAt(now) > latest_bound_ms_ + stop_time.count());
}

LeaseReading WorkerLease::Read(base::Instant now) const {
  LeaseReading reading{latest_bound_ms_, clock_ms_, {}};
  if (clock_ms_) {
    reading.clock_age = now - clock_read_at_;
  }
  return reading;
}

}  // namespace sassafras::jobs
