// Compares strategies for choosing the upstreams of an entry's slots while
// upstreams restart: the ledger's split, random replacement and preference
// lists. Measures the slots granted anew per restart, in logical time.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <string>
#include <vector>

#include "base/random.h"
#include "grant_split.h"

namespace sassafras::benchmarks {
namespace {

using routing::Split;

constexpr size_t kEntries = 9;
constexpr size_t kUpstreams = 35;
constexpr size_t kZones = 3;
constexpr uint32_t kSlots = 8;
constexpr int kFailures = 20'000;  // upstream stops per simulation
constexpr double kMeanUptimeSeconds = 3600;
constexpr double kMeanDowntimeSeconds = 30;

struct State {
  uint32_t quota = 0;  // of each entry
  Split split{kEntries, std::vector<uint32_t>(kUpstreams, 0)};
  std::vector<bool> is_up = std::vector<bool>(kUpstreams, true);

  uint32_t FreeSlots(size_t upstream) const {
    uint32_t used = 0;
    for (const auto& row : split) {
      used += row[upstream];
    }
    return is_up[upstream] ? kSlots - used : 0;
  }
  uint32_t MissingSlots(size_t entry) const {
    return quota -
           std::accumulate(split[entry].begin(), split[entry].end(), 0U);
  }
};

bool IsSameZone(size_t entry, size_t upstream) {
  return entry % kZones == upstream % kZones;
}

// Returns the preferred upstream with a free slot: first in the same zone, then
// in a fixed order for each entry. Returns kUpstreams if there is none.
size_t ChoosePreferred(const State& state, size_t entry) {
  for (const bool is_same_zone : {true, false}) {
    for (size_t k = 0; k < kUpstreams; ++k) {
      const size_t n = (entry * 4 + k) % kUpstreams;
      if (IsSameZone(entry, n) == is_same_zone && state.FreeSlots(n) > 0) {
        return n;
      }
    }
  }
  return kUpstreams;
}

size_t ChooseRandom(const State& state, base::Random& random, size_t entry) {
  for (const bool is_same_zone : {true, false}) {
    std::vector<size_t> free;
    for (size_t n = 0; n < kUpstreams; ++n) {
      if (IsSameZone(entry, n) == is_same_zone && state.FreeSlots(n) > 0) {
        free.push_back(n);
      }
    }
    if (!free.empty()) {
      return free[random.Below(free.size())];
    }
  }
  return kUpstreams;
}

template <typename Choose>
void FillAll(State& state, Choose choose) {
  for (size_t entry = 0; entry < kEntries; ++entry) {
    while (state.MissingSlots(entry) > 0) {
      const size_t n = choose(entry);
      if (n == kUpstreams) {
        break;
      }
      ++state.split[entry][n];
    }
  }
}

// The strategies. Each is called after an upstream stopped or started.
void RandomReplacement(State& state, base::Random& random) {
  FillAll(state,
          [&](size_t entry) { return ChooseRandom(state, random, entry); });
}

void PassivePreferenceList(State& state, base::Random&) {
  FillAll(state, [&](size_t entry) { return ChoosePreferred(state, entry); });
}

void ActivePreferenceList(State& state, base::Random&) {
  state.split = Split(kEntries, std::vector<uint32_t>(kUpstreams, 0));
  FillAll(state, [&](size_t entry) { return ChoosePreferred(state, entry); });
}

void LedgerSplit(State& state, base::Random&) {
  std::vector<routing::SplitEntry> entries;
  for (size_t n = 0; n < kEntries; ++n) {
    entries.push_back({wire::ZoneId(std::to_string(n % kZones))});
  }
  std::vector<routing::SplitUpstream> upstreams;
  for (size_t n = 0; n < kUpstreams; ++n) {
    upstreams.push_back({wire::ZoneId(std::to_string(n % kZones)),
                         state.is_up[n] ? kSlots : 0});
  }
  const std::vector<uint32_t> quotas(kEntries, state.quota);
  state.split = routing::SplitSlots(entries, upstreams, quotas, state.split);
}

struct Strategy {
  const char* name;
  void (*apply)(State&, base::Random&);
};

struct Turnover {
  double granted = 0;              // slots per restart
  double other_zone_fraction = 0;  // mean fraction of slots in other zones
};

double Uptime(base::Random& random, bool is_heavy_tailed) {
  constexpr double kShape = 1.5;
  const double drawn = 1 - random.Fraction();
  return is_heavy_tailed ? kMeanUptimeSeconds * (kShape - 1) / kShape *
                               std::pow(drawn, -1 / kShape)
                         : -kMeanUptimeSeconds * std::log(drawn);
}

Turnover Measure(const Strategy& strategy,
                 uint32_t quota,
                 bool is_heavy_tailed,
                 uint64_t seed) {
  base::Random random(seed);
  base::Random choice(seed + 1000);
  State state;
  state.quota = quota;
  strategy.apply(state, choice);
  std::vector<double> next(kUpstreams);
  std::ranges::generate(next, [&] { return Uptime(random, is_heavy_tailed); });
  Turnover turnover;
  for (int failures = 0; failures < kFailures;) {
    const size_t n = std::ranges::min_element(next) - next.begin();
    state.is_up[n] = !state.is_up[n];
    failures += state.is_up[n] ? 0 : 1;
    next[n] += state.is_up[n]
                   ? Uptime(random, is_heavy_tailed)
                   : -kMeanDowntimeSeconds * std::log(1 - random.Fraction());
    for (auto& row : state.split) {
      row[n] = state.is_up[n] ? row[n] : 0;
    }
    const Split before = state.split;
    strategy.apply(state, choice);
    for (size_t entry = 0; entry < kEntries; ++entry) {
      for (size_t k = 0; k < kUpstreams; ++k) {
        const uint32_t had = before[entry][k];
        const uint32_t has = state.split[entry][k];
        turnover.granted += std::max(has, had) - had;
        turnover.other_zone_fraction += IsSameZone(entry, k) ? 0 : has;
      }
    }
  }
  turnover.granted /= kFailures;
  turnover.other_zone_fraction /= 2.0 * kFailures * kEntries * quota;
  return turnover;
}

}  // namespace
}  // namespace sassafras::benchmarks

int main() {
  using sassafras::benchmarks::ActivePreferenceList;
  using sassafras::benchmarks::LedgerSplit;
  using sassafras::benchmarks::Measure;
  using sassafras::benchmarks::PassivePreferenceList;
  using sassafras::benchmarks::RandomReplacement;
  using sassafras::benchmarks::Strategy;
  using sassafras::benchmarks::Turnover;
  const std::vector<Strategy> strategies = {
      {"ledger's split", LedgerSplit},
      {"random replacement", RandomReplacement},
      {"passive preference list", PassivePreferenceList},
      {"active preference list", ActivePreferenceList}};
  std::cout << "slots  uptimes      strategy                 granted for each"
               " restart (3 seeds)  other zones\n"
            << std::fixed << std::setprecision(2);
  // Slots of each entry: together about half of all slots, and nearly all of
  // them.
  for (const uint32_t quota : {16U, 31U}) {
    for (const bool is_heavy_tailed : {false, true}) {
      for (const Strategy& it : strategies) {
        std::cout << std::left << std::setw(7) << quota << std::setw(13)
                  << (is_heavy_tailed ? "Pareto 1.5" : "exponential")
                  << std::setw(25) << it.name << std::right;
        double other_zone_fraction = 0;
        for (const uint64_t seed : {1, 2, 3}) {
          const Turnover turnover = Measure(it, quota, is_heavy_tailed, seed);
          std::cout << std::setw(8) << turnover.granted;
          other_zone_fraction += turnover.other_zone_fraction / 3;
        }
        std::cout << std::setw(15) << 100 * other_zone_fraction << "%\n";
      }
    }
  }
  return 0;
}
