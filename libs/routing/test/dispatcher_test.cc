// Tests dispatchers and the slot ledger together under random failures: the
// responses to callers must match what the upstreams ran.

#include "routing/dispatcher.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "outcome_check.h"
#include "simulation.h"

namespace sassafras::routing::test {
namespace {

// --- failure injection ---

using Fault = void (*)(Simulation&, size_t);

void KillEntry(Simulation& simulation, size_t n) {
  simulation.Kill(n % simulation.EntryCount());
}
void RestartEntry(Simulation& simulation, size_t n) {
  simulation.Restart(n % simulation.EntryCount());
}
void FreezeEntry(Simulation& simulation, size_t n) {
  simulation.Freeze(n % simulation.EntryCount());
}
void ThawEntry(Simulation& simulation, size_t n) {
  simulation.Thaw(n % simulation.EntryCount());
}
void IsolateEntry(Simulation& simulation, size_t n) {
  simulation.Isolate(n % simulation.EntryCount(), n % 2 == 0);
}
void ChangeLeader(Simulation& simulation, size_t) {
  simulation.ChangeLeader();
}
void ToggleQuorum(Simulation& simulation, size_t n) {
  simulation.SetQuorum(n % 2 == 0);
}
void RestartUpstream(Simulation& simulation, size_t n) {
  simulation.RestartUpstream(n % simulation.upstreams().size());
}
void SetUpstreamMode(Simulation& simulation, size_t n) {
  simulation.upstreams()[n % simulation.upstreams().size()].mode =
      static_cast<UpstreamMode>(n % 5);
}
void DropCallers(Simulation& simulation, size_t n) {
  for (size_t k = 0; k < simulation.sent_requests().size(); k += 1 + n % 7) {
    if (!simulation.sent_requests()[k].outcome) {
      simulation.DropCaller(k);
    }
  }
}

void SlowUpstream(Simulation& simulation, size_t n) {
  simulation.upstreams()[n % simulation.upstreams().size()].slowdown_factor =
      n % 2 == 0 ? 1 : 100;
}

constexpr std::array<Fault, 11> kFaults = {
    KillEntry,       RestartEntry, FreezeEntry,  ThawEntry,
    IsolateEntry,    ChangeLeader, ToggleQuorum, RestartUpstream,
    SetUpstreamMode, DropCallers,  SlowUpstream};

// Sends `count` requests to random entries. Keys are drawn from `keys` values,
// so some requests are resends.
void SendRequests(Simulation& simulation, size_t count, size_t keys) {
  for (size_t n = 0; n < count; ++n) {
    const uint64_t key = simulation.random().Below(keys);
    simulation.Send(simulation.random().Below(simulation.EntryCount()),
                    NonIdempotentRequest("k" + std::to_string(key)));
  }
}

RC_GTEST_PROP(DispatcherTest,
              RunsAtMostOnceAndReportsCorrectOutcomes,
              (uint64_t seed)) {
  SimulationOptions options;
  options.seed = seed;
  options.lost_commits_per_mille = 30;
  Simulation simulation(options);
  simulation.Settle();
  const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 11), rc::gen::inRange(0, 1000)));
  size_t keys = 10;
  SendRequests(simulation, 10, keys);
  for (const auto& [kind, target] : faults) {
    simulation.Run(milliseconds(3 + target % 60));
    kFaults[kind](simulation, target);
    keys += 4;
    SendRequests(simulation, 10, keys);
  }
  for (size_t n = 0; n < simulation.EntryCount(); ++n) {
    simulation.Thaw(n);
    simulation.Isolate(n, false);
  }
  simulation.SetQuorum(true);
  simulation.Run(seconds(20));
  RC_ASSERT(FindIncorrectResponse(simulation, true) == "");
  for (const Upstream& it : simulation.upstreams()) {
    RC_ASSERT(it.max_running <= 8U);
  }
}

}  // namespace
}  // namespace sassafras::routing::test
