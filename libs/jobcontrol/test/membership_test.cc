// Tests of bootstrapping, joining and removal of lost voters.

#include "jobcontrol/membership.h"

#include <initializer_list>
#include <set>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace sassafras::jobcontrol {
namespace {

using std::chrono::seconds;

base::Instant At(int64_t s) {
  return base::Instant(seconds(100 + s));
}

consensus::Member Member(const std::string& id, const std::string& name) {
  return {consensus::ReplicaId(id), wire::EntryId(name)};
}

settings::ClusterSettings FirstStart() {
  settings::ClusterSettings cluster;
  cluster.seeds = {{"10.0.0.3", 80}, {"10.0.0.1", 80}, {"10.0.0.2", 80}};
  cluster.is_first_start = true;
  return cluster;
}

TEST(ShouldBootstrap, OnlyTheLowestSeedBootstrapsAndOnlyAtTheFirstStart) {
  EXPECT_TRUE(ShouldBootstrap({"10.0.0.1", 90}, FirstStart(), false));
  EXPECT_FALSE(ShouldBootstrap({"10.0.0.2", 90}, FirstStart(), false));
  EXPECT_FALSE(ShouldBootstrap({"10.0.0.0", 90}, FirstStart(), false));
  EXPECT_FALSE(ShouldBootstrap({"10.0.0.1", 90}, FirstStart(), true));
  settings::ClusterSettings later = FirstStart();
  later.is_first_start = false;
  EXPECT_FALSE(ShouldBootstrap({"10.0.0.1", 90}, later, false))
      << "a host that lost its disk must not bootstrap a second cluster";
}

TEST(DecideJoin, AHostThatLostItsDiskReplacesItsOldIdentity) {
  consensus::Membership members;
  members.voters = {Member("a", "h1"), Member("b", "h2")};
  EXPECT_TRUE(std::holds_alternative<AlreadyMember>(
      DecideJoin(members, Member("a", "h1"))));
  const JoinAction action = DecideJoin(members, Member("c", "h2"));
  ASSERT_TRUE(std::holds_alternative<RemoveMember>(action));
  EXPECT_EQ(std::get<RemoveMember>(action).id, consensus::ReplicaId("b"));
  EXPECT_TRUE(std::holds_alternative<AddMember>(
      DecideJoin(members, Member("c", "h3"))));
}

consensus::Membership Voters(std::initializer_list<const char*> ids) {
  consensus::Membership members;
  for (const char* id : ids) {
    members.voters.push_back(Member(id, std::string("host-") + id));
  }
  return members;
}

// All voters but those in `silent` replied within the limit; `a` leads.
GroupView View(std::initializer_list<const char*> ids,
               const std::set<std::string>& silent,
               size_t ready_learners,
               const GroupPolicy& policy) {
  GroupView group{Voters(ids), consensus::ReplicaId("a"), {}, ready_learners};
  const base::Instant limit = At(20) - policy.max_silence;
  for (const auto& voter : group.members.voters) {
    const bool is_silent = silent.contains(voter.id.str());
    group.contacts[voter.id] = is_silent ? limit - base::Duration(1) : limit;
  }
  return group;
}

bool Keeps(const LossAction& action) {
  return std::holds_alternative<KeepMembers>(action);
}

// Returns the id of the voter to remove, or an empty one.
consensus::ReplicaId RemovedBy(const LossAction& action) {
  const auto* remove = std::get_if<RemoveMember>(&action);
  return remove == nullptr ? consensus::ReplicaId() : remove->id;
}

TEST(DecideLoss, ALearnerVotesBeforeASilentVoterIsRemoved) {
  const GroupPolicy policy;
  const auto decide = [&](const std::set<std::string>& silent,
                          size_t learners) {
    return DecideLoss(View({"a", "b", "c"}, silent, learners, policy), policy,
                      At(20));
  };
  EXPECT_TRUE(std::holds_alternative<PromoteSpare>(decide({"c"}, 1)));
  EXPECT_TRUE(Keeps(decide({"c"}, 0))) << "nobody could take its place";
  EXPECT_TRUE(Keeps(decide({}, 1))) << "each voter replied within the limit";
}

TEST(DecideLoss, ALearnerVotesBeforeAVoterThatStopsIsRemoved) {
  const GroupPolicy policy;
  for (const char* stopping : {"a", "c"}) {
    GroupView group = View({"a", "b", "c"}, {}, 1, policy);
    group.stopping.insert(consensus::ReplicaId(stopping));
    EXPECT_TRUE(std::holds_alternative<PromoteSpare>(
        DecideLoss(group, policy, At(20))));
    group.ready_learners = 0;
    EXPECT_TRUE(Keeps(DecideLoss(group, policy, At(20))))
        << "it will be back after a restart";
    group = View({"a", "b", "c", "d"}, {}, 0, policy);
    group.stopping.insert(consensus::ReplicaId(stopping));
    EXPECT_EQ(RemovedBy(DecideLoss(group, policy, At(20))),
              consensus::ReplicaId(stopping));
  }
}

TEST(DecideLoss, AVoterTooManyIsRemovedOnceItIsSilent) {
  const GroupPolicy policy;
  const auto decide = [&](const std::set<std::string>& silent) {
    return DecideLoss(View({"a", "b", "c", "d"}, silent, 0, policy), policy,
                      At(20));
  };
  EXPECT_EQ(RemovedBy(decide({"c"})), consensus::ReplicaId("c"));
  EXPECT_TRUE(Keeps(decide({})));
  EXPECT_TRUE(Keeps(decide({"b", "c", "d"})))
      << "no majority of the remaining voters is in contact";
}

// A learner that is gone would be called and searched for the leader for ever.
TEST(DecideLoss, ALearnerThatIsSilentForLongIsRemoved) {
  const GroupPolicy policy;
  GroupView group = View({"a", "b", "c"}, {}, 0, policy);
  group.members.learners = {Member("d", "host-d")};
  const auto decide = [&](base::Duration silence) {
    group.contacts[consensus::ReplicaId("d")] = At(20) - silence;
    return DecideLoss(group, policy, At(20));
  };
  EXPECT_EQ(RemovedBy(decide(policy.max_learner_silence + base::Duration(1))),
            consensus::ReplicaId("d"));
  EXPECT_TRUE(Keeps(decide(policy.max_learner_silence)));
}

TEST(DecideLoss, AGroupForTwoLossesKeepsFiveVoters) {
  GroupPolicy policy;
  policy.tolerated_losses = 2;
  EXPECT_TRUE(Keeps(DecideLoss(
      View({"a", "b", "c", "d", "e"}, {"d"}, 0, policy), policy, At(20))))
      << "two disks could hold all that is acknowledged";
  EXPECT_EQ(RemovedBy(DecideLoss(
                View({"a", "b", "c", "d", "e", "f"}, {"d"}, 0, policy), policy,
                At(20))),
            consensus::ReplicaId("d"));
}

}  // namespace
}  // namespace sassafras::jobcontrol
