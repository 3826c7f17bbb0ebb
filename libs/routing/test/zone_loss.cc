// Runs the simulation and counts outcomes by time span.

#include "zone_loss.h"

#include <algorithm>

#include "outcome_check.h"
#include "simulation.h"

namespace sassafras::routing::test {
namespace {

constexpr size_t kZones = 3;
constexpr size_t kEntriesPerZone = 3;
constexpr size_t kUpstreamsPerZone = 4;
constexpr double kRemainingSlots = 64;  // two zones, 8 slots per upstream
// 50 ms of service time times 1.25, the mean jitter factor.
constexpr double kMeanSlotSeconds = 0.0625;
constexpr Duration kSpan = milliseconds(500);
constexpr Duration kTimeBeforeLoss = seconds(3);
constexpr Duration kTimeAfterLoss = seconds(8);
constexpr Duration kTimeout = seconds(2);

// Sends to a random running entry. The health checks of a load balancer in
// front of the entries are not simulated.
void SendOne(Simulation& simulation, uint64_t n) {
  size_t entry = simulation.random().Below(simulation.EntryCount());
  while (!simulation.IsUp(entry)) {
    entry = (entry + 1) % simulation.EntryCount();
  }
  SendOptions options =
      n % 2 == 0 ? SendOptions() : NonIdempotentRequest(std::to_string(n));
  options.timeout = kTimeout;
  options.is_first_sending = true;
  simulation.Send(entry, options);
}

void Count(const SentRequest& it, ZoneLossSpan& span) {
  ++span.sent;
  if (it.outcome == Outcome::kCompleted) {
    ++span.completed;
  } else if (it.outcome == Outcome::kNotRun) {
    ++span.refused;
    span.slowest_refusal =
        std::max(span.slowest_refusal, it.answered_at - it.sent_at);
  } else {
    ++span.unknown;
  }
}

}  // namespace

ZoneLoss RunZoneLoss(double load, uint64_t seed, bool is_lost) {
  SimulationOptions options;
  options.zones = is_lost ? kZones : kZones - 1;
  options.entries = kEntriesPerZone * options.zones;
  options.upstreams = kUpstreamsPerZone * options.zones;
  options.seed = seed;
  Simulation simulation(options);
  simulation.Settle();
  const Instant lost_at = simulation.now() + kTimeBeforeLoss;
  const Duration gap(
      static_cast<int64_t>(1e6 * kMeanSlotSeconds / (load * kRemainingSlots)));
  uint64_t sent = 0;
  for (Duration at{}; at < kTimeBeforeLoss + kTimeAfterLoss; at += gap) {
    simulation.Schedule(simulation.now() + at,
                        [&simulation, n = ++sent] { SendOne(simulation, n); });
  }
  if (is_lost) {
    simulation.Schedule(lost_at, [&simulation] { simulation.LoseZone(0); });
  }
  simulation.Run(kTimeBeforeLoss + kTimeAfterLoss + seconds(12));
  ZoneLoss result;
  for (Duration at = -kTimeBeforeLoss; at < kTimeAfterLoss; at += kSpan) {
    result.spans.push_back({at});
  }
  for (const SentRequest& it : simulation.sent_requests()) {
    const auto n = (it.sent_at - lost_at + kTimeBeforeLoss) / kSpan;
    Count(it, result.spans.at(n));
  }
  result.incorrect_response = FindIncorrectResponse(simulation, true);
  return result;
}

}  // namespace sassafras::routing::test
