// Failure counting, probes and exponentially growing ejection times.

#include "ejection.h"

#include <algorithm>

namespace sassafras::routing {
namespace {

constexpr double kLatencySmoothing = 0.1;
constexpr double kMicrosPerSecond = 1e6;
constexpr uint32_t kMinLatencySamples = 20;
// Each time this many tries have succeeded, one earlier ejection no longer
// counts towards the length of the next.
constexpr uint32_t kSuccessesPerRecovery = 50;
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

bool Ejection::Allows(base::Instant now, bool is_idempotent) const {
  if (!is_ejected_) {
    return true;
  }
  const base::Instant from =
      is_idempotent ? ejected_until_ : ejected_until_ + ejection_time_;
  return !is_probing_ && now >= from;
}

void Ejection::OnSuccess(base::Duration took) {
  if (is_ejected_ && !is_probing_) {
    return;  // sent before the ejection, so not a sign of current health
  }
  const double seconds = static_cast<double>(took.count()) / kMicrosPerSecond;
  latency_ = successes_ == 0
                 ? seconds
                 : latency_ + kLatencySmoothing * (seconds - latency_);
  is_ejected_ = false;
  is_probing_ = false;
  failures_ = 0;
  ++successes_;
  if (successes_ % kSuccessesPerRecovery == 0 && ejections_ > 0) {
    --ejections_;
  }
}

bool Ejection::OnFailure(const EjectionOptions& options) {
  const bool was_probe = is_probing_;
  is_probing_ = false;
  ++failures_;
  return was_probe || (!is_ejected_ && failures_ >= options.failures_to_eject);
}

void Ejection::Eject(base::Instant now, const EjectionOptions& options) {
  const uint32_t doublings = std::min(ejections_, kMaxDoublings);
  ejection_time_ = std::min(options.min_ejection_time * (1U << doublings),
                            options.max_ejection_time);
  ejected_until_ = now + ejection_time_;
  is_ejected_ = true;
  is_probing_ = false;
  failures_ = 0;
  successes_ = 0;
  latency_ = 0;
  ++ejections_;
}

double Ejection::Latency() const {
  return successes_ >= kMinLatencySamples ? latency_ : 0;
}

}  // namespace sassafras::routing
