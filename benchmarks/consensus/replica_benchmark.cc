// Bytes sent and processor time per replica, and the failover time of the
// replication core. Time is simulated in steps of 1 ms; a message takes
// kMessageSteps and a sync kSyncSteps. Bytes count the encoded messages.
// Processor time covers decoding, Replica::Step() and encoding; sockets,
// journal and state machine are excluded.

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "base/random.h"
#include "consensus/replica.h"
#include "settings/settings.h"
#include "wire/codec.h"

namespace sassafras::consensus {
namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(1);
constexpr uint64_t kMessageSteps = 1;
constexpr uint64_t kSyncSteps = 2;
constexpr uint64_t kMaxSteps = 60'000;
constexpr size_t kCommandBytes = 120;
constexpr uint64_t kIdleSeconds = 60;
constexpr uint64_t kStepsPerSecond = 1'000;

uint64_t ThreadCpuNanoseconds() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<uint64_t>(now.tv_sec) * 1'000'000'000 +
         static_cast<uint64_t>(now.tv_nsec);
}

// Bytes sent and thread CPU time of one replica.
struct Cost {
  uint64_t bytes_out = 0;
  uint64_t cpu_nanoseconds = 0;
};

// A simulated cluster of `n` replicas; replica 0 is the first leader.
class Network {
 public:
  Network(size_t n, uint64_t seed) : hosts_(n) {
    base::Random random(seed);
    for (size_t i = 0; i < n; ++i) {
      Options options;
      const settings::TimingSettings timing;  // process defaults
      options.election_timeout = timing.election_timeout;
      options.heartbeat = timing.heartbeat;
      options.name = wire::EntryId("entry-" + std::to_string(i));
      Recovered disk;
      disk.id = ReplicaId(random.HexId());
      ConsensusReason why;
      hosts_[i].replica =
          Replica::Create(options, disk, random.Below(1 << 30), Now(), why);
    }
    Step(0, Bootstrap{Token(1)});
    RunUntil([this] { return hosts_[0].replica->HasCommittedInTerm(); });
    for (size_t i = 1; i < n; ++i) {
      Step(0, AddLearner{Token(1), hosts_[i].replica->Self()});
      RunUntil([&] {
        const Replica& leader = *hosts_[0].replica;
        return leader.GetMembership().voters.size() == i + 1 &&
               leader.CommitIndex() == leader.LastIndex();
      });
    }
    RunUntil([this] { return IsIdle(); });
  }

  template <typename Condition>
  bool RunUntil(Condition done) {
    for (uint64_t n = 0; n < kMaxSteps && !done(); ++n) {
      Run();
    }
    return done();
  }

  void Run() {
    ++now_;
    while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
      const auto [to, bytes, synced] = std::move(deliveries_.begin()->second);
      deliveries_.erase(deliveries_.begin());
      if (hosts_[to].replica && synced.value() > 0) {
        Step(to, Synced{synced});
      } else if (hosts_[to].replica) {
        Deliver(to, bytes);
      }
    }
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].replica && hosts_[i].replica->NextDeadline() <= Now()) {
        Step(i, Tick{});
      }
    }
  }

  void Step(size_t i, const Event& event) {
    const uint64_t begin = ThreadCpuNanoseconds();
    HandleEffects(i, hosts_[i].replica->Step(Now(), event));
    hosts_[i].cost.cpu_nanoseconds += ThreadCpuNanoseconds() - begin;
  }

  std::optional<size_t> Leader() const {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].replica && hosts_[i].replica->GetRole() == Role::kLeader) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Returns whether every live replica has committed the leader's whole log.
  bool IsIdle() const {
    const auto leader = Leader();
    return leader && std::ranges::all_of(hosts_, [&](const Host& it) {
             return !it.replica || it.replica->CommitIndex() ==
                                       hosts_[*leader].replica->LastIndex();
           });
  }

  void Kill(size_t i) { hosts_[i].replica.reset(); }
  uint64_t Steps() const { return now_; }
  size_t Committed() const { return committed_; }
  const Cost& CostOf(size_t i) const { return hosts_[i].cost; }
  void ResetCosts() {
    std::ranges::for_each(hosts_, [](Host& it) { it.cost = Cost(); });
  }

 private:
  struct Host {
    std::optional<Replica> replica;
    Cost cost;
  };
  struct Delivery {
    size_t to = 0;
    std::string bytes;  // an encoded message, if `synced` is unset
    Sequence synced;    // a completed sync, if above 0
  };

  base::Instant Now() const { return base::Instant(now_ * kStep); }

  void Deliver(size_t to, const std::string& bytes) {
    const uint64_t begin = ThreadCpuNanoseconds();
    wire::CodecReason why;
    const auto message = wire::DecodeCbor<Message>(bytes, why);
    hosts_[to].cost.cpu_nanoseconds += ThreadCpuNanoseconds() - begin;
    Step(to, Receive{*message});
  }

  void HandleEffects(size_t i, const Effects& effects) {
    if (effects.persist) {
      deliveries_.emplace(now_ + kSyncSteps,
                          Delivery{i, "", effects.persist->sequence});
    }
    for (const Message& message : effects.messages) {
      const auto to = std::ranges::find_if(hosts_, [&](const Host& it) {
        return it.replica && it.replica->Self() == message.to;
      });
      std::string bytes = wire::EncodeCbor(message);
      hosts_[i].cost.bytes_out += bytes.size();
      if (to != hosts_.end()) {
        deliveries_.emplace(now_ + kMessageSteps,
                            Delivery{static_cast<size_t>(to - hosts_.begin()),
                                     std::move(bytes), Sequence()});
      }
    }
    committed_ += static_cast<size_t>(std::ranges::count(
        effects.resolved, Outcome::kCommitted, &Resolved::outcome));
    if (effects.take_snapshot_at) {
      const auto state = std::make_shared<const std::string>("s");
      const SnapshotTaken taken{*effects.take_snapshot_at, state};
      HandleEffects(i, hosts_[i].replica->Step(Now(), taken));
    }
  }

  uint64_t now_ = 1;
  std::vector<Host> hosts_;
  std::multimap<uint64_t, Delivery> deliveries_;
  size_t committed_ = 0;
};

enum LeaderStop : int64_t { kKilled, kTransferred };

// Returns the number of steps from the stop of the leader until its successor
// has committed a command, which is proposed in the step in which the successor
// is elected. Returns std::nullopt if that does not happen within kMaxSteps.
std::optional<uint64_t> FailOver(size_t replicas,
                                 uint64_t seed,
                                 LeaderStop stop) {
  Network network(replicas, seed);
  const auto old_leader = network.Leader();
  base::Random random(seed);
  const uint64_t stop_step = network.Steps() + random.Below(kStepsPerSecond);
  if (!old_leader ||
      !network.RunUntil([&] { return network.Steps() >= stop_step; })) {
    return std::nullopt;
  }
  const uint64_t begin = network.Steps();
  if (stop == kKilled) {
    network.Kill(*old_leader);
  } else {
    network.Step(*old_leader, TransferLeadership{});
  }
  const auto has_successor = [&] {
    const auto leader = network.Leader();
    return leader && leader != old_leader;
  };
  if (!network.RunUntil(has_successor)) {
    return std::nullopt;
  }
  const size_t before = network.Committed();
  network.Step(*network.Leader(),
               Propose{Token(1), std::string(kCommandBytes, 'c')});
  if (!network.RunUntil([&] { return network.Committed() > before; })) {
    return std::nullopt;
  }
  return network.Steps() - begin;
}

// Baseline: the leader transfers leadership before it is stopped.
void MeasureFailOver(benchmark::State& state) {
  std::vector<uint64_t> steps;
  uint64_t seed = 0;
  for (auto _ : state) {
    const auto n = FailOver(static_cast<size_t>(state.range(0)), ++seed,
                            static_cast<LeaderStop>(state.range(1)));
    if (!n) {
      state.SkipWithError("no successor committed a command");
      return;
    }
    steps.push_back(*n);
    state.SetIterationTime(static_cast<double>(*n) / kStepsPerSecond);
  }
  std::ranges::sort(steps);
  const auto percentile = [&](size_t percent) {
    return static_cast<double>(steps[(steps.size() - 1) * percent / 100]);
  };
  state.counters["p50_ms"] = percentile(50);
  state.counters["p99_ms"] = percentile(99);
  state.counters["max_ms"] = percentile(100);
}
BENCHMARK(MeasureFailOver)
    ->ArgNames({"replicas", "handed_over"})
    ->ArgsProduct({{3, 5}, {kKilled, kTransferred}})
    ->Iterations(1'000)
    ->Unit(benchmark::kMillisecond)
    ->UseManualTime();

// Reports the costs of the leader and of one follower, divided by `units`.
void Report(benchmark::State& state, const Network& network, double units) {
  const size_t leader = *network.Leader();
  const auto add_counters = [&](const std::string& role, size_t i) {
    const Cost& cost = network.CostOf(i);
    state.counters[role + "_bytes"] =
        static_cast<double>(cost.bytes_out) / units;
    state.counters[role + "_us"] =
        static_cast<double>(cost.cpu_nanoseconds) / 1'000 / units;
  };
  add_counters("leader", leader);
  add_counters("follower", leader == 0 ? 1 : 0);
}

// Costs per change. Baseline: one change in flight.
void MeasureChanges(benchmark::State& state) {
  Network network(static_cast<size_t>(state.range(0)), 1);
  const size_t leader = *network.Leader();
  network.ResetCosts();
  const size_t before = network.Committed();
  for (auto _ : state) {
    const size_t target =
        network.Committed() + static_cast<size_t>(state.range(1));
    for (int64_t i = 0; i < state.range(1); ++i) {
      network.Step(leader,
                   Propose{Token(i + 1), std::string(kCommandBytes, 'c')});
    }
    network.RunUntil([&] { return network.Committed() == target; });
  }
  Report(state, network, static_cast<double>(network.Committed() - before));
}
BENCHMARK(MeasureChanges)
    ->ArgNames({"replicas", "in_flight"})
    ->ArgsProduct({{3, 5}, {1, 16, 256}})
    ->Iterations(100);

// Costs per second while no change is proposed.
void MeasureIdle(benchmark::State& state) {
  Network network(static_cast<size_t>(state.range(0)), 1);
  network.ResetCosts();
  const uint64_t begin = network.Steps();
  for (auto _ : state) {
    const uint64_t end = network.Steps() + kIdleSeconds * kStepsPerSecond;
    while (network.Steps() < end) {
      network.Run();
    }
  }
  Report(state, network,
         static_cast<double>(network.Steps() - begin) / kStepsPerSecond);
}
BENCHMARK(MeasureIdle)->ArgNames({"replicas"})->Arg(3)->Arg(5)->Iterations(5);

}  // namespace
}  // namespace sassafras::consensus

BENCHMARK_MAIN();
