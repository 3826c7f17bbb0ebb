// Compares the time of suspension at each use.

#include "confirmed_leadership.h"

#include <chrono>

namespace sassafras::jobcontrol {
namespace {

// The two clocks of which it is the difference aren't read at the same moment.
constexpr auto kTolerance = std::chrono::milliseconds(10);

}  // namespace

std::optional<base::Instant> ConfirmedLeadership::At(
    std::optional<base::Instant> confirmed_at,
    base::Instant now,
    base::Duration suspended) {
  if (suspended - suspended_ > kTolerance) {
    suspended_ = suspended;
    noticed_at_ = now;
  }
  if (confirmed_at && *confirmed_at < noticed_at_) {
    return std::nullopt;
  }
  return confirmed_at;
}

}  // namespace sassafras::jobcontrol
