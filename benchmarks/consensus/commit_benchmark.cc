// Commits per second of three replicas in one process, each with its own
// journal and fsync, and the time a follower takes to catch up. The baseline
// runs the same code with one append and one fsync per command. Messages are
// delivered without delay.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "consensus/replica.h"
#include "storage/journal.h"

namespace sassafras::consensus {
namespace {

constexpr size_t kCommandBytes = 120;
constexpr size_t kReplicas = 3;

// Creates a temporary folder and deletes it with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "commits-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// Three replicas. Sync() is explicit and covers all persist requests written so
// far.
class ThreeReplicaCluster {
 public:
  explicit ThreeReplicaCluster(const Options& options) {
    for (size_t i = 0; i < kReplicas; ++i) {
      Host& host = hosts_[i];
      Recovered disk;
      storage::StorageReason why;
      host.journal =
          storage::Journal::Open(folder_.path() / std::to_string(i), disk, why);
      Options replica_options = options;
      replica_options.name = wire::EntryId("entry-" + std::to_string(i));
      ConsensusReason reason;
      host.replica =
          Replica::Create(replica_options, disk, i + 1, Now(), reason);
    }
    Step(0, Bootstrap{Token(1)});
    RunUntilIdle();
    for (size_t i = 1; i < kReplicas; ++i) {
      Step(0, AddLearner{Token(1), hosts_[i].replica->Self()});
      RunUntilIdle();
    }
  }

  bool IsReady() const {
    return hosts_[0].replica->GetRole() == Role::kLeader &&
           hosts_[0].replica->GetMembership().voters.size() == kReplicas;
  }

  // Delivers messages and syncs journals until no work is left.
  void RunUntilIdle() {
    bool is_busy = true;
    while (is_busy) {
      Deliver();
      is_busy = false;
      for (size_t i = 0; i < kReplicas; ++i) {
        is_busy = Sync(i) || is_busy;
      }
    }
  }

  void Step(size_t i, const Event& event) {
    Host& host = hosts_[i];
    Effects effects = host.replica->Step(Now(), event);
    if (effects.persist) {
      storage::StorageReason why;
      if (!host.journal->Persist(*effects.persist, why)) {
        std::abort();
      }
      host.last_requested = effects.persist->sequence;
    }
    std::ranges::move(effects.messages, std::back_inserter(messages_));
    if (i == 0) {
      committed_ += static_cast<size_t>(std::ranges::count(
          effects.resolved, Outcome::kCommitted, &Resolved::outcome));
    }
    if (effects.take_snapshot_at) {
      Step(i, SnapshotTaken{*effects.take_snapshot_at,
                            std::make_shared<const std::string>(state_bytes)});
    }
  }

  void Disconnect(size_t i) { hosts_[i].is_connected = false; }
  void Reconnect(size_t i) { hosts_[i].is_connected = true; }
  Replica& At(size_t i) { return *hosts_[i].replica; }
  size_t Committed() const { return committed_; }
  void AdvanceClock(base::Duration time) { clock_offset_ += time; }

  std::string state_bytes;

 private:
  struct Host {
    std::optional<storage::Journal> journal;
    std::optional<Replica> replica;
    Sequence last_requested;
    Sequence last_synced;
    bool is_connected = true;
  };

  base::Instant Now() const {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return base::Instant(std::chrono::duration_cast<base::Duration>(now) +
                         clock_offset_);
  }

  void Deliver() {
    while (!messages_.empty()) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      for (size_t i = 0; i < kReplicas; ++i) {
        if (hosts_[i].is_connected && hosts_[i].replica->Self() == message.to) {
          Step(i, Receive{message});
        }
      }
    }
  }

  // Returns false if replica `i` has no unsynced persist request.
  bool Sync(size_t i) {
    Host& host = hosts_[i];
    if (host.last_synced == host.last_requested) {
      return false;
    }
    storage::StorageReason why;
    if (!host.journal->Sync(why)) {
      std::abort();
    }
    host.last_synced = host.last_requested;
    Step(i, Synced{host.last_requested});
    return true;
  }

  TemporaryFolder folder_;
  std::array<Host, kReplicas> hosts_;
  std::deque<Message> messages_;
  size_t committed_ = 0;
  base::Duration clock_offset_{};
};

// Proposes `in_flight` commands per iteration; each round of fsyncs covers all
// of them.
void MeasureCommits(benchmark::State& state) {
  ThreeReplicaCluster cluster{Options()};
  if (!cluster.IsReady()) {
    state.SkipWithError("setup failed: no leader with three voters");
    return;
  }
  const auto in_flight = static_cast<size_t>(state.range(0));
  const std::string command(kCommandBytes, 'c');
  const size_t before = cluster.Committed();
  for (auto _ : state) {
    for (size_t i = 0; i < in_flight; ++i) {
      cluster.Step(0, Propose{Token(i + 1), command});
    }
    cluster.RunUntilIdle();
  }
  state.SetItemsProcessed(static_cast<int64_t>(cluster.Committed() - before));
}
BENCHMARK(MeasureCommits)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

// Baseline: one command at a time, each with its own append and fsync.
void MeasureCommitsOneByOne(benchmark::State& state) {
  ThreeReplicaCluster cluster{Options()};
  const auto in_flight = static_cast<size_t>(state.range(0));
  const std::string command(kCommandBytes, 'c');
  const size_t before = cluster.Committed();
  for (auto _ : state) {
    for (size_t i = 0; i < in_flight; ++i) {
      cluster.Step(0, Propose{Token(i + 1), command});
      cluster.RunUntilIdle();
    }
  }
  state.SetItemsProcessed(static_cast<int64_t>(cluster.Committed() - before));
}
BENCHMARK(MeasureCommitsOneByOne)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

// Time from the reconnection of a follower until it has every record that it
// missed, from the log or, if that is compacted, from a snapshot.
void MeasureCatchUp(benchmark::State& state) {
  const auto missed = static_cast<size_t>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    Options options;
    options.snapshot_after_records = 5'000;
    auto cluster = std::make_unique<ThreeReplicaCluster>(options);
    cluster->state_bytes = std::string(1 << 20, 's');
    cluster->Disconnect(2);
    for (size_t i = 0; i < missed; ++i) {
      cluster->Step(0, Propose{Token(i + 1), std::string(kCommandBytes, 'c')});
      if (i % 256 == 255) {
        cluster->RunUntilIdle();
      }
    }
    cluster->RunUntilIdle();
    cluster->Reconnect(2);
    const Index last = cluster->At(0).LastIndex();
    state.ResumeTiming();
    // The leader resends after its resend timeout.
    cluster->AdvanceClock(options.resend_timeout);
    cluster->Step(0, Tick{});
    cluster->RunUntilIdle();
    if (cluster->At(2).LastIndex() != last) {
      state.SkipWithError("the follower did not catch up");
    }
    state.PauseTiming();
    cluster.reset();
    state.ResumeTiming();
  }
}
BENCHMARK(MeasureCatchUp)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(4'000)
    ->Arg(20'000)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond)
    ->UseRealTime();

}  // namespace
}  // namespace sassafras::consensus

BENCHMARK_MAIN();
