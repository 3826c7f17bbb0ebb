// The control state under failure: killed, frozen, cut off and replaced
// replicas, racing operators, and what acknowledged changes are worth.

#include <future>

#include <gtest/gtest.h>

#include "document_fixture.h"

namespace sassafras::tests {
namespace {

using ControlFailureTest = DocumentTest;

TEST_F(ControlFailureTest, AcknowledgedChangesSurviveKillingEveryReplica) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  uint64_t version = 1;
  for (int n = 0; n < 20; ++n) {
    ASSERT_TRUE(PutSurely("e1", version++, "c" + std::to_string(n)));
  }
  for (const char* name : {"r1", "r2", "r3"}) {
    cluster_->process(name).Kill();
  }
  for (const char* name : {"r1", "r2", "r3"}) {
    cluster_->Start(name);
  }
  EXPECT_TRUE(Await([&] { return VersionAt("e1") == version; }));
  // A resend of an old change gets its first result, also after the restart.
  const CallReply resent = Put("e2", 1, "c0");
  EXPECT_EQ(resent.status, 200);
  EXPECT_EQ(resent.json()["version"], 2);
  EXPECT_EQ(resent.json()["duplicate"], true);
}

TEST_F(ControlFailureTest, KilledLeaderIsFollowedByAnother) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  const std::string old = cluster_->Leader();
  cluster_->process(old).Kill();
  EXPECT_TRUE(PutSurely("e1", 1, "c1"));
  EXPECT_FALSE(cluster_->AwaitNewLeader(old).empty());
  cluster_->Start(old);
  EXPECT_TRUE(Await([&] { return cluster_->IsReady(old); }));
  EXPECT_EQ(VersionAt(old), 2u);
}

TEST_F(ControlFailureTest, ReplicaCatchesUpAfterHundredsOfChanges) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  const std::string follower = cluster_->Follower();
  cluster_->process(follower).Kill();
  uint64_t version = 1;
  for (int n = 0; n < 300; ++n) {
    ASSERT_TRUE(PutSurely("e1", version++, "c" + std::to_string(n)));
  }
  cluster_->Start(follower);
  EXPECT_TRUE(Await([&] {
    const auto report =
        cluster_->AsPlatformAnywhere("GET", "/v1/report/cluster").json();
    return report.is_object() &&
           std::ranges::all_of(report["replicas"], [&](auto& it) {
             return it["match"] >= report["commit"];
           });
  }));
}

TEST_F(ControlFailureTest, OperatorsRacingWithEqualVersionsOneWins) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  std::vector<std::future<CallReply>> replies;
  for (const auto& name : cluster_->names()) {
    replies.push_back(std::async(std::launch::async, [this, name] {
      return Put(name, 1, "race-" + name);
    }));
  }
  int won = 0;
  for (auto& it : replies) {
    const CallReply reply = it.get();
    won += reply.status == 200 ? 1 : 0;
    if (reply.status != 200) {
      EXPECT_EQ(reply.status, 409) << reply.body;
      EXPECT_EQ(reply.json()["details"]["version"], 2);
    }
  }
  EXPECT_EQ(won, 1);
}

TEST_F(ControlFailureTest, IsolatedLeaderAcknowledgesNothingAndDoesNotDisturb) {
  ASSERT_NO_FATAL_FAILURE(Form({.has_relays = true}));
  const std::string old = cluster_->Leader();
  cluster_->Isolate(old);
  const CallReply cut = Put(old, 1, "cut");
  EXPECT_EQ(cut.status, 503) << cut.body;
  const std::string leader = cluster_->AwaitNewLeader(old);
  ASSERT_FALSE(leader.empty());
  EXPECT_TRUE(PutSurely("e1", 1, "other"));
  // Its answers are never stale: it refuses rather than tell the old version.
  EXPECT_NE(AsOperator(old, "GET", "/v1/document/sections/booking").status,
            200);
  const auto term =
      cluster_->AsPlatform("e1", "GET", "/v1/report/cluster").json()["term"];
  cluster_->HealAll();
  EXPECT_TRUE(Await([&] { return cluster_->IsReady(old); }));
  EXPECT_EQ(VersionAt(old), 2u);
  EXPECT_EQ(
      cluster_->AsPlatform("e1", "GET", "/v1/report/cluster").json()["term"],
      term);
}

TEST_F(ControlFailureTest, FrozenLeaderAcknowledgesNothingOfItsOwn) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  const std::string old = cluster_->Leader();
  const std::string entry = old == "r1" ? "r2" : "r1";
  cluster_->process(old).Freeze();
  ASSERT_TRUE(PutSurely(entry, 1, "while-frozen"));
  cluster_->process(old).Thaw();
  const CallReply late = Put(old, 1, "thawed");
  EXPECT_TRUE(late.status == 409 || late.status == 503) << late.body;
  EXPECT_TRUE(Await([&] { return VersionAt(old) == 2; }));
}

TEST_F(ControlFailureTest, OpenConnectionsThatGoSilentAreReplaced) {
  ASSERT_NO_FATAL_FAILURE(Form({.has_relays = true}));
  cluster_->SilenceOpenConnections();
  EXPECT_TRUE(PutSurely("e1", 1, "after-silence"));
  EXPECT_TRUE(PutSurely("e2", 2, "again"));
}

TEST_F(ControlFailureTest, SecondLossRightAfterARepairLosesNothing) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  ASSERT_TRUE(PutSurely("e1", 1, "before"));
  const std::string lost = cluster_->Follower();
  cluster_->process(lost).Kill();
  cluster_->RemoveData(lost);
  cluster_->Start(lost);
  ASSERT_TRUE(RemoveMemberSurely(lost));
  ASSERT_TRUE(AddMemberSurely(lost));
  ASSERT_TRUE(cluster_->AwaitVoters(3));
  const std::string second = lost == "r1" ? "r2" : "r1";
  cluster_->process(second).Kill();
  cluster_->RemoveData(second);
  EXPECT_TRUE(PutSurely("e1", 2, "after"));
  EXPECT_TRUE(Await([&] { return VersionAt("e2") == 3; }));
}

TEST_F(ControlFailureTest, EmptyDataFolderFormsNoClusterByItself) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  const std::string lost = cluster_->Follower();
  cluster_->process(lost).Kill();
  cluster_->RemoveData(lost);
  cluster_->Start(lost);
  EXPECT_TRUE(PutSurely("e1", 1, "two-left"));
  const auto report =
      cluster_->AsPlatformAnywhere("GET", "/v1/report/cluster").json();
  EXPECT_EQ(report["replicas"].size(), 3u);
  // A replica that has state refuses to form a second cluster.
  const CallReply formed = cluster_->AsPlatform(cluster_->Leader(), "POST",
                                                "/v1/cluster/init", "{}");
  EXPECT_EQ(formed.status, 409) << formed.body;
}

}  // namespace
}  // namespace sassafras::tests
