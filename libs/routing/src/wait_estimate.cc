// Exponentially smoothed hold times and arrival rates.

#include "wait_estimate.h"

#include <cmath>
#include <numbers>

namespace sassafras::routing {
namespace {

constexpr double kSmoothing = 0.05;
constexpr double kDeviations = 4;
constexpr double kMicrosPerSecond = 1e6;

constexpr double kArrivalHalfLifeSeconds = 1.0;
// Hold time assumed while none was measured.
constexpr double kDefaultHoldSeconds = 0.05;
constexpr double kMinReportedLoad = 0.01;

base::Duration ToDuration(double seconds) {
  return base::Duration(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace

void WaitEstimate::Record(Smoothed& smoothed, double newest) {
  if (smoothed.seconds == 0) {
    smoothed = {newest, newest / 2};
    return;
  }
  const double difference = newest - smoothed.seconds;
  smoothed.seconds += kSmoothing * difference;
  smoothed.deviation +=
      kSmoothing * (std::abs(difference) - smoothed.deviation);
}

void WaitEstimate::Record(const wire::OwnerId& owner, base::Duration held) {
  const double seconds = static_cast<double>(held.count()) / kMicrosPerSecond;
  Record(owners_[owner], seconds);
  Record(all_, seconds);
}

const WaitEstimate::Smoothed& WaitEstimate::SmoothedOf(
    const wire::OwnerId& owner) const {
  const auto it = owners_.find(owner);
  return it == owners_.end() ? all_ : it->second;
}

double WaitEstimate::ArrivalCount::DecayedTo(base::Instant now) const {
  const double age = static_cast<double>((now - as_of).count());
  return count * std::exp2(-age / kMicrosPerSecond / kArrivalHalfLifeSeconds);
}

void WaitEstimate::RecordArrival(base::Instant now,
                                 const wire::OwnerId& owner) {
  ArrivalCount& arrivals = arrivals_[owner];
  arrivals = {arrivals.DecayedTo(now) + 1, now};
}

std::vector<std::pair<wire::OwnerId, double>> WaitEstimate::Loads(
    base::Instant now) const {
  std::vector<std::pair<wire::OwnerId, double>> loads;
  for (const auto& [owner, arrivals] : arrivals_) {
    const double seconds = SmoothedOf(owner).seconds;
    const double rate =
        arrivals.DecayedTo(now) * std::numbers::ln2 / kArrivalHalfLifeSeconds;
    const double load = rate * (seconds > 0 ? seconds : kDefaultHoldSeconds);
    if (load > kMinReportedLoad) {
      loads.emplace_back(owner, load);
    }
  }
  return loads;
}

base::Duration WaitEstimate::HoldTime(const wire::OwnerId& owner) const {
  return ToDuration(SmoothedOf(owner).seconds);
}

base::Duration WaitEstimate::LongHoldTime(const wire::OwnerId& owner) const {
  const Smoothed& it = SmoothedOf(owner);
  return ToDuration(it.seconds + kDeviations * it.deviation);
}

base::Duration WaitEstimate::WaitFor(const wire::OwnerId& owner,
                                     size_t ahead,
                                     double share,
                                     uint32_t slots) const {
  if (slots == 0) {
    return base::Duration::max();
  }
  const double hold = static_cast<double>(HoldTime(owner).count());
  const double rounds = static_cast<double>(ahead + 1) / (share * slots);
  return base::Duration(static_cast<int64_t>(hold * rounds));
}

}  // namespace sassafras::routing
