// Says when a leader is known to have led, also on a machine that was suspended
// meanwhile.

#ifndef JOBCONTROL_SRC_CONFIRMED_LEADERSHIP_H_
#define JOBCONTROL_SRC_CONFIRMED_LEADERSHIP_H_

#include <optional>

#include "base/time.h"

namespace sassafras::jobcontrol {

// A machine's monotonic clock doesn't count the time of a suspension, so
// instants of that clock from before it seem later than they were. A lease that
// counts from one of them would outlast the time that a later leader waits.
// Not thread-safe.
class ConfirmedLeadership {
 public:
  // `suspended` is how long the machine has been suspended so far.
  explicit ConfirmedLeadership(base::Duration suspended)
      : suspended_(suspended) {}

  // Returns `confirmed_at`, the last instant at which this process is known to
  // have led, or nullopt if the machine was suspended after it. Must be called
  // before each use of such an instant.
  std::optional<base::Instant> At(std::optional<base::Instant> confirmed_at,
                                  base::Instant now,
                                  base::Duration suspended);

 private:
  base::Duration suspended_;
  // When the last suspension was noticed.
  base::Instant noticed_at_ = base::Instant::min();
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_CONFIRMED_LEADERSHIP_H_
