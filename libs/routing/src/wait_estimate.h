// Measures how long requests of each owner hold a slot and estimates from that
// how long a new request will wait.

#ifndef ROUTING_SRC_WAIT_ESTIMATE_H_
#define ROUTING_SRC_WAIT_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"

namespace sassafras::routing {

class WaitEstimate {
 public:
  // Records that a request of the owner held a slot for `held`.
  void Record(const wire::OwnerId& owner, base::Duration held);

  // Records the arrival of a request, independent of its outcome.
  void RecordArrival(base::Instant now, const wire::OwnerId& owner);
  // The load of each owner with recent arrivals, in slots: its recent arrival
  // rate times its smoothed hold time.
  std::vector<std::pair<wire::OwnerId, double>> Loads(base::Instant now) const;

  // The owner's smoothed hold time. An owner without samples gets the value
  // over all owners, which is zero without any samples.
  base::Duration HoldTime(const wire::OwnerId& owner) const;

  // Upper estimate of the owner's hold time, which nearly all of its requests
  // stay below: the smoothed time plus four times its smoothed deviation.
  base::Duration LongHoldTime(const wire::OwnerId& owner) const;

  // The estimated wait of a request with `ahead` requests of its owner before
  // it if the owner gets the fraction `share` of `slots`. Duration::max() if
  // `slots` is 0.
  base::Duration WaitFor(const wire::OwnerId& owner,
                         size_t ahead,
                         double share,
                         uint32_t slots) const;

 private:
  struct Smoothed {
    double seconds = 0;  // 0 if nothing was recorded
    double deviation = 0;
  };
  struct ArrivalCount {
    double count = 0;  // halves with each half-life
    base::Instant as_of;
    double DecayedTo(base::Instant now) const;
  };

  const Smoothed& SmoothedOf(const wire::OwnerId& owner) const;
  static void Record(Smoothed& smoothed, double newest);

  std::unordered_map<wire::OwnerId, Smoothed> owners_;
  Smoothed all_;
  std::unordered_map<wire::OwnerId, ArrivalCount> arrivals_;
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_WAIT_ESTIMATE_H_
