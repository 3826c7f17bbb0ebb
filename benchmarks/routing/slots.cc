// Compares slot grants with forwarding with three other policies, in logical
// time: one shared queue, random choice with refusal by the upstream, and one
// home entry per upstream.

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>

#include "baselines.h"
#include "simulation.h"

namespace sassafras::benchmarks {
namespace {

using routing::Outcome;
using routing::test::SendOptions;
using routing::test::SentRequest;
using routing::test::Simulation;
using routing::test::SimulationOptions;

void SendAll(Simulation& simulation, const Setting& setting) {
  const double rate = setting.load * static_cast<double>(setting.upstreams) *
                      setting.slots * 1e6 /
                      (kMeanJitterFactor * setting.service_time.count());
  const base::Duration gap(static_cast<int64_t>(1e6 / rate));
  const base::Instant from = simulation.now();
  for (base::Duration at{}; at < setting.warm_up + setting.measured;
       at += gap) {
    simulation.Schedule(from + at, [&simulation, &setting] {
      SendOptions options;
      options.timeout = setting.timeout;
      simulation.Send(EntryOf(setting, simulation.random()), options);
    });
  }
}

// Samples the used and stranded slots until the load ends.
void Sample(Simulation& simulation,
            const Setting& setting,
            Measurements& measurements) {
  constexpr base::Duration kInterval = std::chrono::milliseconds(5);
  const base::Instant from = simulation.now();
  const base::Duration total = setting.warm_up + setting.measured;
  const double slots = setting.upstreams * setting.slots;
  const double samples = static_cast<double>(total.count()) / kInterval.count();
  for (base::Duration at{}; at < total; at += kInterval) {
    simulation.Schedule(
        from + at, [&simulation, &measurements, slots, samples] {
          double in_use = 0;
          double waiting = 0;
          for (size_t n = 0; n < simulation.EntryCount(); ++n) {
            in_use += simulation.Counters(n).in_flight;
            waiting += simulation.Counters(n).waiting;
          }
          measurements.in_use += in_use / slots / samples;
          measurements.stranded +=
              std::min(waiting, slots - in_use) / slots / samples;
        });
  }
}

Measurements Grants(const Setting& setting) {
  SimulationOptions options;
  options.entries = setting.entries;
  options.upstreams = setting.upstreams;
  options.zones = setting.zones;
  options.seed = setting.seed;
  options.network_delay = setting.network_delay;
  options.service_time = setting.service_time;
  Simulation simulation(options);
  simulation.Settle();
  SendAll(simulation, setting);
  const base::Instant from = simulation.now() + setting.warm_up;
  Measurements measurements;
  Sample(simulation, setting, measurements);
  simulation.Run(setting.warm_up + setting.measured + setting.timeout);
  for (const SentRequest& it : simulation.sent_requests()) {
    if (it.sent_at < from) {
      continue;
    }
    ++measurements.sent;
    if (it.started_at && it.outcome == Outcome::kCompleted) {
      measurements.wait_ms.push_back((*it.started_at - it.sent_at).count() /
                                     1e3);
      measurements.crossed += it.crossed_zone ? 1 : 0;
    }
  }
  for (const auto& upstream : simulation.upstreams()) {
    measurements.exceeded += upstream.max_running > setting.slots ? 1 : 0;
  }
  for (size_t n = 0; n < simulation.EntryCount(); ++n) {
    measurements.forwarded += simulation.Counters(n).forwarded;
  }
  return measurements;
}

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto n = static_cast<size_t>(fraction * (values.size() - 1));
  std::ranges::nth_element(values, values.begin() + n);
  return values[n];
}

void Print(const std::string& name,
           const Setting& setting,
           Measurements measurements) {
  const double sent = static_cast<double>(measurements.sent);
  const double started = static_cast<double>(measurements.wait_ms.size());
  std::cout << std::left << std::setw(22) << name << std::right << std::fixed
            << std::setw(7) << (setting.is_skewed ? "skewed" : "even")
            << std::setprecision(0) << std::setw(6) << 100 * setting.load
            << std::setprecision(1) << std::setw(10)
            << Percentile(measurements.wait_ms, 0.5) << std::setw(10)
            << Percentile(measurements.wait_ms, 0.99) << std::setw(10)
            << 100 * started / sent << std::setw(10)
            << 100 * measurements.crossed / std::max(started, 1.0)
            << std::setw(11) << measurements.exceeded << std::setw(9)
            << 100 * measurements.in_use << std::setw(10)
            << 100 * measurements.stranded << std::setw(11)
            << measurements.forwarded << "\n";
}

}  // namespace
}  // namespace sassafras::benchmarks

// The argument is the seed, 1 by default.
int main(int argc, char** argv) {
  using sassafras::benchmarks::Grants;
  using sassafras::benchmarks::HomeEntry;
  using sassafras::benchmarks::Print;
  using sassafras::benchmarks::RandomWithRefusal;
  using sassafras::benchmarks::Setting;
  using sassafras::benchmarks::SharedQueue;
  std::cout
      << "policy                callers  load%  p50 ms    p99 ms"
         "   started%  crossed%   exceeded  in use%  stranded%  forwarded\n";
  for (const bool is_skewed : {false, true}) {
    for (const double load : {0.5, 0.8, 0.95, 1.2}) {
      Setting setting;
      setting.seed = argc > 1 ? std::stoul(argv[1]) : 1;
      setting.load = load;
      setting.is_skewed = is_skewed;
      Print("grants, forwarding", setting, Grants(setting));
      Print("one shared queue", setting, SharedQueue(setting));
      Print("random, refusal", setting, RandomWithRefusal(setting));
      Print("one home entry", setting, HomeEntry(setting));
    }
  }
  return 0;
}
