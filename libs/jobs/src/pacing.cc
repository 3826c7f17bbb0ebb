// Decides the pace of the fillers on one worker.

#include "jobs/pacing.h"

#include <algorithm>

namespace sassafras::jobs {
namespace {

// Ratios of tail latency to its target: fillers slow down above the first and
// speed up below the second.
constexpr double kSlowDownRatio = 0.85;
constexpr double kSpeedUpRatio = 0.5;
// Increase per poll, in percentage points.
constexpr uint32_t kPaceIncrease = 10;
// Percent; a filler that would run slower is paused.
constexpr uint32_t kMinPace = 10;

double LatencyRatio(const PacedRun& run) {
  return run.target_ms == 0 ? 0
                            : static_cast<double>(run.tail_latency_ms) /
                                  static_cast<double>(run.target_ms);
}

uint32_t NextPace(uint32_t percent, double latency_ratio) {
  if (latency_ratio > kSlowDownRatio) {
    return percent / 2 < kMinPace ? 0 : percent / 2;
  }
  if (latency_ratio < kSpeedUpRatio) {
    return std::min(kFullPace, percent + kPaceIncrease);
  }
  return percent;
}

}  // namespace

std::vector<PaceOrder> DecidePaces(std::span<const PacedRun> runs) {
  double latency_ratio = 0;
  for (const PacedRun& run : runs) {
    latency_ratio = std::max(latency_ratio, LatencyRatio(run));
  }
  std::vector<PaceOrder> orders;
  for (const PacedRun& run : runs) {
    const uint32_t percent = NextPace(run.percent, latency_ratio);
    if (run.is_filler && percent != run.percent) {
      orders.push_back({run.task, run.run, percent});
    }
  }
  return orders;
}

}  // namespace sassafras::jobs
