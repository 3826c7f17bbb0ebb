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
// How long at most both run when a host is replaced as planned.
constexpr uint64_t kMaxLead = Steps(6000);
// A host that is told to stop runs at least this long.
constexpr uint64_t kDrain = Steps(1000);
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
    policy_.max_learner_silence = policy_.max_learner_silence / 6;
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

  // Until then, hosts that start for the first time count as lost, too.
  void CatchUp() { Run(kCatchUp); }

  // Loses a host that may be lost now.
  void LoseHost() {
    while (CountLost() >= policy_.tolerated_losses) {
      Run(1);
    }
    Place& place = PlaceToLose();
    place.lost_until = UINT64_MAX;
    uint64_t back_at = 0;
    switch (Random(8)) {
      case 0:
        Kill(place);
        break;
      case 1:
        Wipe(place);
        break;
      case 2:
        Replace(place);
        break;
      case 3:
        Freeze(place);
        break;
      case 4:
        Cut(place, true, true);
        break;
      case 5:
        Cut(place, true, false);
        break;
      case 6:
        Cut(place, false, true);
        break;
      default:
        back_at = ReplaceAsPlanned(place);
    }
    back_at = back_at == 0 ? cluster_.Now() : back_at;
    place.lost_until = back_at + kCatchUp;
    Run(Random(2 * kCatchUp));
  }

  // Loses hosts beyond what is borne, but no more disks than that, and perhaps
  // while a successor already runs. Returns once all are back.
  void LoseManyHosts() {
    while (CountLost() > 0) {
      Run(1);
    }
    Place* leaving = Random(2) == 0 ? &PlaceToLose() : nullptr;
    const size_t old = leaving ? leaving->host : 0;
    const size_t successor = leaving ? cluster_.AddHost() : 0;
    Run(Random(Steps(2000)));
    std::vector<size_t> order;
    for (const Place& it : places_) {
      order.push_back(it.host);
    }
    for (size_t n = order.size(); n > 1; --n) {
      std::swap(order[n - 1], order[Random(n)]);
    }
    const size_t away = Random(order.size() + 1);
    size_t disks = policy_.tolerated_losses;
    const uint64_t end = cluster_.Now() + Steps(5000);
    for (size_t n = 0; n < away; ++n) {
      const size_t host = order[n];
      switch (Random(4)) {
        case 0:
          cluster_.Crash(host);
          break;
        case 1:
          cluster_.hosts_[host].frozen_until = end;
          break;
        case 2:
          SetCut(host, true, true, true);
          break;
        default:
          if (disks > 0) {
            --disks;
            cluster_.LoseDisk(host);
          } else {
            cluster_.Crash(host);
          }
      }
      Run(Random(3) == 0 ? 0 : Random(Steps(1000)));
    }
    Run(end > cluster_.Now() ? end - cluster_.Now() : 0);
    for (const size_t host : order) {
      SetCut(host, true, true, false);
      cluster_.Start(host);
    }
    if (leaving) {
      // The old host is taken away once all are sound again.
      Run(kRecovery);
      Remove(old);
      leaving->host = successor;
    }
    for (Place& it : places_) {
      it.lost_until = cluster_.Now() + kCatchUp;
    }
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

  // The successor starts first. Returns when it did: the old host stops
  // counting as lost once its successor has had its time to catch up.
  uint64_t ReplaceAsPlanned(Place& place) {
    const size_t old = place.host;
    const uint64_t started_at = cluster_.Now();
    place.host = cluster_.AddHost();
    Run(Random(kMaxLead));
    stopping_.insert(cluster_.hosts_[old].disk.id);
    Run(kDrain);
    HandLeadershipOver(old);
    Remove(old);
    return started_at;
  }

  // What a leader does when it is stopped gracefully.
  void HandLeadershipOver(size_t host) {
    const auto is_leader = [&] {
      return cluster_.hosts_[host].replica->GetRole() ==
             consensus::Role::kLeader;
    };
    for (uint64_t n = 0; n < Steps(2500) && is_leader(); ++n) {
      if (n % Steps(20) == 0) {
        cluster_.Step(host, consensus::TransferLeadership{});
      }
      Run(1);
    }
  }

  void Freeze(Place& place) {
    const uint64_t steps = Random(Steps(4000));
    cluster_.hosts_[place.host].frozen_until = cluster_.Now() + steps;
    Run(steps);
  }

  // Cuts the host off from all others, in one direction or both.
  void Cut(Place& place, bool sends, bool receives) {
    SetCut(place.host, sends, receives, true);
    Run(Random(Steps(5500)));
    SetCut(place.host, sends, receives, false);
  }

  void SetCut(size_t host, bool sends, bool receives, bool is_cut) {
    for (size_t i = 0; i < cluster_.hosts_.size(); ++i) {
      if (sends) {
        cluster_.SetLinkBlocked(host, i, is_cut);
      }
      if (receives) {
        cluster_.SetLinkBlocked(i, host, is_cut);
      }
    }
    if (is_cut) {
      cut_.insert(host);
    } else {
      cut_.erase(host);
    }
  }

  void Remove(size_t host) {
    cluster_.Crash(host);
    removed_.insert(host);
  }

  void Run(uint64_t steps) {
    for (uint64_t n = 0; n < steps; ++n) {
      cluster_.Run(1);
      if (cluster_.Now() % kTick == 0) {
        ForEachLeader([this](size_t leader) { ReplaceLost(leader); });
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
          cluster_.hosts_[i].frozen_until <= cluster_.Now() &&
          cluster_.hosts_[i].replica->GetRole() == consensus::Role::kLeader) {
        action(i);
      }
    }
  }

  void ReplaceLost(size_t leader) {
    GroupView group = GroupView::Of(*cluster_.hosts_[leader].replica);
    group.stopping = stopping_;
    const LossAction action = DecideLoss(
        group, policy_, base::Instant(cluster_.Now() * consensus::kStep));
    if (std::holds_alternative<PromoteSpare>(action)) {
      cluster_.Step(leader, consensus::PromoteLearner{});
    } else if (const auto* remove = std::get_if<RemoveMember>(&action)) {
      cluster_.Step(leader, consensus::RemoveMember{NextToken(), remove->id});
    }
  }

  void AcceptJoins(size_t leader) {
    for (size_t i = 0; i < cluster_.hosts_.size(); ++i) {
      const bool is_leader = cluster_.hosts_[leader].replica->GetRole() ==
                             consensus::Role::kLeader;
      // A hello needs a path in both directions and a host that runs.
      const bool says_hello = cluster_.IsUp(i) && !removed_.contains(i) &&
                              !cut_.contains(i) && !cut_.contains(leader) &&
                              cluster_.hosts_[i].frozen_until <= cluster_.Now();
      if (!says_hello || !is_leader) {
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
  std::set<consensus::ReplicaId> stopping_;
  std::set<size_t> cut_;
  uint64_t last_token_ = 1'000'000;
  int count_ = 0;
};

// Without the fixed size the first runs of each property would all get 0.
uint64_t AnySeed() {
  return *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint64_t>()));
}

void CheckLosses(size_t tolerated_losses) {
  Group group(tolerated_losses, AnySeed());
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

void CheckLossesOfMany(size_t tolerated_losses) {
  Group group(tolerated_losses, AnySeed());
  RC_ASSERT(group.Form());
  group.CatchUp();
  for (int n = 0; n < kLosses; ++n) {
    group.LoseManyHosts();
    RC_ASSERT(group.Serves());
    RC_ASSERT(group.Fault() == "");
  }
}

RC_GTEST_PROP(GroupTest, ThreeHostsServeAgainAfterMoreLossesButOneDisk, ()) {
  CheckLossesOfMany(1);
}

RC_GTEST_PROP(GroupTest, FiveHostsServeAgainAfterMoreLossesButTwoDisks, ()) {
  CheckLossesOfMany(2);
}

}  // namespace
}  // namespace sassafras::jobcontrol
