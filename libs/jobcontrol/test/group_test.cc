// Runs the membership decisions on simulated replicas while hosts are lost as
// often as the cluster must bear it. A longer run, started manually:
//   RC_PARAMS="max_success=2000" jobcontrol_test --gtest_filter='GroupTest*'

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cluster.h"
#include "jobcontrol/membership.h"

namespace sassafras::jobcontrol {
namespace {

using consensus::Cluster;
using consensus::Token;

// One step stands for 6 ms: an election timeout is 100 steps, or 0.6 s.
constexpr uint64_t Steps(uint64_t ms) {
  return ms / 6;
}

constexpr uint64_t kTick = Steps(50);
constexpr uint64_t kHello = Steps(500);
// A lost host counts as lost until it, or its successor, has run this long.
constexpr uint64_t kCatchUp = Steps(4000);
// The cluster must serve again this long after a loss that it bears.
constexpr uint64_t kRecovery = Steps(12'000);
constexpr int kLosses = 12;  // in one run

// A place for a control host. The host in it is exchanged when it is replaced.
struct Place {
  size_t host = 0;
  uint64_t lost_until = 0;  // counts as lost before this step
};

class Group {
 public:
  Group(size_t tolerated_losses, uint64_t seed) : cluster_(0, seed) {
    policy_.tolerated_losses = tolerated_losses;
    policy_.max_silence = cluster_.options.election_timeout;
    cluster_.options.max_voters = policy_.Voters();
    while (places_.size() < policy_.Voters()) {
      places_.push_back({cluster_.AddHost(), 0});
    }
  }

  bool Form() {
    cluster_.Step(0, consensus::Bootstrap{NextToken()});
    return RunUntil([this] {
      const auto leader = cluster_.Leader();
      return leader &&
             cluster_.hosts_[*leader].replica->GetMembership().voters.size() ==
                 places_.size();
    });
  }

  // Loses a host that may be lost now.
  void LoseHost() {
    while (CountLost() >= policy_.tolerated_losses) {
      Run(1);
    }
    Place& place = PlaceToLose();
    switch (Random(4)) {
      case 0:
        Kill(place);
        break;
      case 1:
        Wipe(place);
        break;
      case 2:
        Replace(place);
        break;
      default:
        ReplaceAsPlanned(place);
    }
    place.lost_until = cluster_.Now() + kCatchUp;
    Run(Random(2 * kCatchUp));
  }

  // Whether the cluster commits a command in time.
  bool Serves() {
    std::optional<Token> token;
    return RunUntil([&] {
      const auto leader = cluster_.Leader();
      const auto result = token ? cluster_.ResultOf(*token) : std::nullopt;
      const bool is_committed =
          result && result->outcome == consensus::Outcome::kCommitted;
      if (leader && (!token || (result && !is_committed))) {
        token = cluster_.ProposeCommand(*leader,
                                        "command " + std::to_string(++count_));
      }
      return is_committed;
    });
  }

  // Returns an acknowledged command that is gone, or what else went wrong.
  std::string Fault() const {
    for (const auto& [index, command] : cluster_.acknowledged_) {
      const auto it = cluster_.applied_log_.find(index);
      if (it == cluster_.applied_log_.end() || it->second.payload != command) {
        return "lost " + command;
      }
    }
    return cluster_.Violation();
  }

 private:
  uint64_t Random(uint64_t bound) { return cluster_.random.Below(bound); }
  Token NextToken() { return Token(++last_token_); }

  size_t CountLost() const {
    return static_cast<size_t>(std::ranges::count_if(
        places_, [this](auto& it) { return it.lost_until > cluster_.Now(); }));
  }

  // The leader in every second case: its loss is the worst.
  Place& PlaceToLose() {
    std::vector<Place*> sound;
    for (Place& it : places_) {
      if (it.lost_until <= cluster_.Now()) {
        sound.push_back(&it);
      }
    }
    const auto leader = cluster_.Leader();
    const auto it = std::ranges::find_if(
        sound, [&](auto* place) { return leader == place->host; });
    return it != sound.end() && Random(2) == 0 ? **it
                                               : *sound[Random(sound.size())];
  }

  void Kill(Place& place) {
    cluster_.Crash(place.host);
    place.lost_until = UINT64_MAX;
    Run(Random(Steps(3000)));
    cluster_.Start(place.host);
  }

  void Wipe(Place& place) {
    cluster_.Crash(place.host);
    place.lost_until = UINT64_MAX;
    Run(Random(Steps(3000)));
    cluster_.LoseDisk(place.host);
  }

  void Replace(Place& place) {
    Remove(place.host);
    place.lost_until = UINT64_MAX;
    Run(Random(Steps(2000)));
    place.host = cluster_.AddHost();
  }

  // The successor starts first.
  void ReplaceAsPlanned(Place& place) {
    const size_t old = place.host;
    place.host = cluster_.AddHost();
    Run(Random(Steps(1000)));
    Remove(old);
  }

  void Remove(size_t host) {
    cluster_.Crash(host);
    removed_.insert(host);
  }

  void Run(uint64_t steps) {
    for (uint64_t n = 0; n < steps; ++n) {
      cluster_.Run(1);
      if (cluster_.Now() % kTick == 0) {
        ForEachLeader([this](size_t leader) { RemoveReplaceable(leader); });
      }
      if (cluster_.Now() % kHello == 0) {
        ForEachLeader([this](size_t leader) { AcceptJoins(leader); });
      }
    }
  }

  template <typename Condition>
  bool RunUntil(Condition done) {
    for (uint64_t n = 0; n < kRecovery && !done(); ++n) {
      Run(1);
    }
    return done();
  }

  template <typename Action>
  void ForEachLeader(Action action) {
    for (size_t i = 0; i < cluster_.hosts_.size(); ++i) {
      if (cluster_.IsUp(i) &&
          cluster_.hosts_[i].replica->GetRole() == consensus::Role::kLeader) {
        action(i);
      }
    }
  }

  void RemoveReplaceable(size_t leader) {
    const auto id = FindReplaceableVoter(
        GroupView::Of(*cluster_.hosts_[leader].replica), policy_,
        base::Instant(cluster_.Now() * consensus::kStep));
    if (id) {
      cluster_.Step(leader, consensus::RemoveMember{NextToken(), *id});
    }
  }

  void AcceptJoins(size_t leader) {
    for (size_t i = 0; i < cluster_.hosts_.size(); ++i) {
      const bool is_leader = cluster_.hosts_[leader].replica->GetRole() ==
                             consensus::Role::kLeader;
      if (!cluster_.IsUp(i) || removed_.contains(i) || !is_leader) {
        continue;
      }
      const JoinAction action =
          DecideJoin(cluster_.hosts_[leader].replica->GetMembership(),
                     cluster_.hosts_[i].replica->Self());
      if (const auto* add = std::get_if<AddMember>(&action)) {
        cluster_.Step(leader, consensus::AddLearner{NextToken(), add->member});
      } else if (const auto* remove = std::get_if<RemoveMember>(&action)) {
        cluster_.Step(leader, consensus::RemoveMember{NextToken(), remove->id});
      }
    }
  }

  Cluster cluster_;
  GroupPolicy policy_;
  std::vector<Place> places_;
  std::set<size_t> removed_;
  uint64_t last_token_ = 1'000'000;
  int count_ = 0;
};

void CheckLosses(size_t tolerated_losses) {
  Group group(tolerated_losses,
              *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
  RC_ASSERT(group.Form());
  for (int n = 0; n < kLosses; ++n) {
    group.LoseHost();
    RC_ASSERT(group.Serves());
    RC_ASSERT(group.Fault() == "");
  }
}

RC_GTEST_PROP(GroupTest, ThreeHostsBearTheLossOfOneAgainAndAgain, ()) {
  CheckLosses(1);
}

RC_GTEST_PROP(GroupTest, FiveHostsBearTheLossOfTwoAgainAndAgain, ()) {
  CheckLosses(2);
}

}  // namespace
}  // namespace sassafras::jobcontrol
