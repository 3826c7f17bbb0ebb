// Ejects upstreams that fail or respond slowly for an exponentially growing
// time and readmits each of them after one successful probe. The caller bounds
// how many upstreams are ejected at the same time.

#ifndef ROUTING_SRC_EJECTION_H_
#define ROUTING_SRC_EJECTION_H_

#include <cstdint>

#include "base/time.h"

namespace sassafras::routing {

struct EjectionOptions {
  base::Duration min_ejection_time;  // of the first of a series of ejections
  base::Duration max_ejection_time;
  uint32_t failures_to_eject = 3;  // consecutive failures
};

// Health of one upstream as observed by one entry.
class Ejection {
 public:
  // True from the ejection until a probe succeeds.
  bool IsEjected() const { return is_ejected_; }
  // True if a request may be sent now. While the upstream is ejected, only one
  // probe at a time may be sent: an idempotent request after the ejection time,
  // any other request only after twice that time, since it must not run twice.
  bool Allows(base::Instant now, bool is_idempotent) const;
  base::Instant ejected_until() const { return ejected_until_; }

  void OnSent() { is_probing_ = is_ejected_; }
  // The try ended before any byte was sent.
  void OnReleased() { is_probing_ = false; }
  void OnSuccess(base::Duration took);
  // Returns true if the upstream should be ejected, subject to the caller's
  // bound on ejected upstreams.
  bool OnFailure(const EjectionOptions& options);
  void Eject(base::Instant now, const EjectionOptions& options);
  // A new process has started at the same address.
  void Reset() { *this = Ejection(); }

  // Smoothed duration of successful tries in seconds; 0 while there are too few
  // samples.
  double Latency() const;

 private:
  bool is_ejected_ = false;
  bool is_probing_ = false;  // a probe is in progress
  uint32_t failures_ = 0;    // consecutive failures
  uint32_t ejections_ = 0;   // recent ones; each doubles the next ejection time
  uint32_t successes_ = 0;   // since the last ejection
  double latency_ = 0;
  base::Instant ejected_until_;
  base::Duration ejection_time_{};
};

}  // namespace sassafras::routing

#endif  // ROUTING_SRC_EJECTION_H_
