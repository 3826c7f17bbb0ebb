// Runs three and five replicas under random faults and checks them against the
// reference log of Cluster. A longer run, started manually:
//   CONSENSUS_STEPS=5000 RC_PARAMS="max_success=1000" consensus_test

#include <algorithm>
#include <cstdlib>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cluster.h"

namespace sassafras::consensus {
namespace {

constexpr uint64_t kSteps = 4'000;
constexpr uint64_t kHealSteps = 20'000;  // bound for convergence without faults

uint64_t UnsignedFromEnvironment(const char* name, uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

class RandomRun {
 public:
  RandomRun(size_t n, uint64_t seed) : cluster_(n, seed), replica_count_(n) {}

  Cluster& cluster() { return cluster_; }

  bool StartCluster() {
    cluster_.Step(0, Bootstrap{Token(1'000'000)});
    return cluster_.RunUntil(kHealSteps, [this] {
      if (cluster_.Now() % 50 == 0) {
        cluster_.ReconcileMembership();
      }
      return cluster_.HasConverged();
    });
  }

  void Step() {
    const size_t i = Random(replica_count_);
    switch (Random(500)) {
      case 0:
        cluster_.Crash(i);
        break;
      case 1:
      case 2:
        cluster_.Start(i);
        break;
      case 3:
        cluster_.SetLinkBlocked(i, Random(replica_count_), true);
        break;
      case 4:
        cluster_.Isolate(i, true);
        break;
      case 5:
      case 6:
        cluster_.Isolate(i, false);
        break;
      case 7:
        cluster_.hosts_[i].frozen_until = cluster_.Now() + Random(400);
        break;
      case 8:
      case 12:
        MaybeLoseDisk(i);
        break;
      case 9:
        cluster_.faults = {Random(30), Random(20), 2 + Random(40),
                           1 + Random(30)};
        break;
      case 10:
        if (IsAwake(i)) {
          cluster_.Step(i, TransferLeadership{});
        }
        break;
      case 11:
        cluster_.Heal();
        break;
      default:
        SendRequests(i);
    }
    if (Random(30) == 0) {
      cluster_.ReconcileMembership();
    }
    cluster_.Run(Random(8));
  }

 private:
  uint64_t Random(uint64_t bound) { return cluster_.random.Below(bound); }

  bool IsAwake(size_t i) const {
    return cluster_.IsUp(i) &&
           cluster_.hosts_[i].frozen_until <= cluster_.Now();
  }

  // Sends a request to every replica that considers itself leader, and to
  // replica `i`.
  void SendRequests(size_t i) {
    for (size_t n = 0; n < replica_count_; ++n) {
      const bool is_leader =
          IsAwake(n) && cluster_.hosts_[n].replica->GetRole() == Role::kLeader;
      if (!IsAwake(n) || (!is_leader && n != i)) {
        continue;
      }
      if (Random(3) == 0) {
        cluster_.StartReadBarrier(n);
      } else {
        cluster_.ProposeCommand(n,
                                "command " + std::to_string(++command_count_));
      }
    }
  }

  // The guarantee covers the loss of a second disk only once the replacement of
  // the first is a voter in the latest committed membership.
  void MaybeLoseDisk(size_t i) {
    const Membership membership = cluster_.CommittedMembership();
    const bool is_repaired = std::ranges::all_of(
        cluster_.hosts_,
        [&](const Host& it) { return membership.IsVoter(it.disk.id); });
    if (is_repaired) {
      cluster_.LoseDisk(i);
      ++disks_lost;
    }
  }

  Cluster cluster_;
  size_t replica_count_;
  uint64_t command_count_ = 0;

 public:
  uint64_t disks_lost = 0;
};

void CheckRun(size_t n, uint64_t seed) {
  RandomRun run(n, seed);
  Cluster& cluster = run.cluster();
  RC_ASSERT(run.StartCluster());
  const uint64_t steps = UnsignedFromEnvironment("CONSENSUS_STEPS", kSteps);
  for (uint64_t step = 0; step < steps && cluster.Violation().empty(); ++step) {
    run.Step();
  }
  RC_ASSERT(cluster.Violation() == "");

  cluster.Heal();
  const bool has_converged = cluster.RunUntil(kHealSteps, [&] {
    if (cluster.Now() % 50 == 0) {
      cluster.ReconcileMembership();
    }
    return cluster.HasConverged();
  });
  RC_ASSERT(cluster.Violation() == "");
  RC_ASSERT(has_converged);
  for (const auto& [index, command] : cluster.acknowledged_) {
    RC_ASSERT(cluster.applied_log_.at(index).payload == command);
  }
  const Token token = cluster.ProposeCommand(*cluster.Leader(), "last");
  RC_ASSERT(cluster.RunUntil(
      kHealSteps, [&] { return cluster.ResultOf(token).has_value(); }));
  RC_ASSERT(cluster.ResultOf(token)->outcome == Outcome::kCommitted);
  RC_TAG(run.disks_lost);
}

uint64_t RandomSeed() {
  return *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
}

RC_GTEST_PROP(RandomTest, ThreeReplicasKeepInvariantsUnderRandomFaults, ()) {
  CheckRun(3, RandomSeed());
}

RC_GTEST_PROP(RandomTest, FiveReplicasKeepInvariantsUnderRandomFaults, ()) {
  CheckRun(5, RandomSeed());
}

}  // namespace
}  // namespace sassafras::consensus
