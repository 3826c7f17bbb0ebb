// Tests of bootstrapping, joining and removal of lost voters.

#include "jobcontrol/membership.h"

#include <gtest/gtest.h>

namespace sassafras::jobcontrol {
namespace {

using std::chrono::seconds;

constexpr auto kTimeout = seconds(10);

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

TEST(FindLostVoter, AVoterIsRemovedOnlyIfEnoughVotersRemain) {
  consensus::Membership members;
  members.voters = {Member("a", "h1"), Member("b", "h2"), Member("c", "h3")};
  const consensus::ReplicaId self("a");
  std::map<wire::EntryId, base::Instant> last_seen = {
      {wire::EntryId("h2"), At(20)}, {wire::EntryId("h3"), At(1)}};
  EXPECT_FALSE(FindLostVoter(members, self, last_seen, At(20), kTimeout))
      << "only two voters would remain";
  members.voters.push_back(Member("d", "h4"));
  last_seen[wire::EntryId("h4")] = At(20);
  EXPECT_EQ(FindLostVoter(members, self, last_seen, At(20), kTimeout),
            consensus::ReplicaId("c"));
  EXPECT_FALSE(FindLostVoter(members, self, last_seen, At(10), kTimeout));
}

}  // namespace
}  // namespace sassafras::jobcontrol
