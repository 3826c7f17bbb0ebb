// Two failures at once.

#include <gtest/gtest.h>

#include "balanced_caller.h"
#include "document_fixture.h"

namespace sassafras::tests {
namespace {

using PairFailureTest = DocumentTest;

constexpr int kTasks = 6;

TEST_F(PairFailureTest, LostDiskAndALossBeforeTheRepairLoseNothing) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  const std::string leader = cluster_->Leader();
  const std::string lost = cluster_->Follower();
  std::string third;
  for (const char* name : {"r1", "r2", "r3"}) {
    third = name != leader && name != lost ? name : third;
  }
  // The second follower misses the change, the first one loses it.
  cluster_->process(third).Kill();
  ASSERT_TRUE(PutSurely("e1", 1, "kept"));
  cluster_->process(lost).Kill();
  cluster_->RemoveData(lost);
  cluster_->process(leader).Kill();
  cluster_->Start(lost);
  cluster_->Start(third);
  // Without the leader's disk nobody may acknowledge a change at version 1.
  EXPECT_NE(Put("e1", 1, "forked").status, 200);
  cluster_->Start(leader);
  ASSERT_TRUE(Await([&] { return VersionAt("e1") == 2; }));
  ASSERT_TRUE(RemoveMemberSurely(lost));
  ASSERT_TRUE(AddMemberSurely(lost));
  ASSERT_TRUE(cluster_->AwaitVoters(3));
  cluster_->process(leader).Kill();
  EXPECT_TRUE(PutSurely("e2", 2, "after"));
  EXPECT_TRUE(Await([&] { return VersionAt("e1") == 3; }));
}

TEST_F(PairFailureTest, FrozenLeaderAndASilentWorkerRunNoTaskTwice) {
  ASSERT_NO_FATAL_FAILURE(Form({}));
  FakeWorker& first = AddWorker("w1", "zone-a");
  ASSERT_TRUE(Await([&] { return first.is_announced(); }));
  ASSERT_EQ(Submit("e1", "job", "batch", kTasks, "").status, 201);
  ASSERT_TRUE(Await([&] { return ledger_.running_now() == kTasks; }));
  const std::string old = cluster_->Leader();
  cluster_->process(old).Freeze();
  first.Disconnect();
  AddWorker("w2", "zone-b");
  ASSERT_FALSE(cluster_->AwaitNewLeader(old).empty());
  EXPECT_TRUE(Await([&] { return ledger_.starts("job/0") == 2; }));
  cluster_->process(old).Thaw();
  first.Reconnect();
  ASSERT_EQ(Submit("e1", "after", "batch", 1, "10").status, 201);
  EXPECT_TRUE(AwaitJobState("after", "done"));
  EXPECT_TRUE(Await([&] { return ledger_.running_now() == kTasks; }));
  EXPECT_EQ(ledger_.starts("job/0"), 2);
  EXPECT_EQ(ledger_.Doubles(), std::vector<std::string>());
}

TEST_F(PairFailureTest, RollingRestartUnderLoadWhileAWorkerFails) {
  ASSERT_NO_FATAL_FAILURE(Form({.balancer_ms = kBalancerGraceMs}));
  AddUpstream("u1", "zone-a");
  AddUpstream("u2", "zone-b");
  FakeWorker& first = AddWorker("w1", "zone-a");
  for (const auto& name : cluster_->names()) {
    ASSERT_TRUE(AwaitServed(name));
  }
  ASSERT_EQ(Submit("e1", "job", "batch", kTasks, "").status, 201);
  ASSERT_TRUE(Await([&] { return ledger_.running_now() == kTasks; }));
  AddWorker("w2", "zone-b");
  BalancedCaller keyed(*cluster_, [&](const std::string& entry, int n) {
    return Book(entry, "k" + std::to_string(n), "seat");
  });
  first.Disconnect();
  RestartEach(*cluster_, keyed);
  keyed.Stop();
  EXPECT_EQ(keyed.Failures(), std::vector<std::string>());
  EXPECT_TRUE(Await([&] {
    return ledger_.starts("job/0") == 2 && ledger_.running_now() == kTasks;
  }));
  EXPECT_EQ(ledger_.Doubles(), std::vector<std::string>());
}

}  // namespace
}  // namespace sassafras::tests
