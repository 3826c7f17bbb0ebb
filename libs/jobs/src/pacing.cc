// Decides paces of one worker's fillers.

#include "jobs/pacing.h"

#include <algorithm>

namespace sassafras::jobs {
namespace {

// Shares of the target at which fillers slow down, and may speed up again.
constexpr double kSlowDownShare = 0.85;
constexpr double kSpeedUpShare = 0.5;
constexpr uint32_t kPaceStep = 10;    // percent, upwards
constexpr uint32_t kLowestPace = 10;  // percent; below it a filler stands

double PressureOf(const PacedRun& run) {
  return run.target_ms == 0 ? 0
                            : static_cast<double>(run.figure) /
                                  static_cast<double>(run.target_ms);
}

uint32_t NextPace(uint32_t percent, double pressure) {
  if (pressure > kSlowDownShare) {
    return percent / 2 < kLowestPace ? 0 : percent / 2;
  }
  if (pressure < kSpeedUpShare) {
    return std::min(kFullPace, percent + kPaceStep);
  }
  return percent;
}

}  // namespace

std::vector<PaceOrder> DecidePaces(std::span<const PacedRun> runs) {
  double pressure = 0;
  for (const PacedRun& run : runs) {
    pressure = std::max(pressure, PressureOf(run));
  }
  std::vector<PaceOrder> orders;
  for (const PacedRun& run : runs) {
    const uint32_t percent = NextPace(run.percent, pressure);
    if (run.is_filler && percent != run.percent) {
      orders.push_back({run.task, run.run, percent});
    }
  }
  return orders;
}

}  // namespace sassafras::jobs
