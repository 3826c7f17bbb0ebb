// Tests of single failures, each injected deliberately into a simulated
// cluster.

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "cluster.h"
#include "wire/codec.h"

namespace sassafras::consensus {
namespace {

constexpr uint64_t kSeed = 7;
constexpr uint64_t kMaxSteps = 20'000;          // limit for an expected event
constexpr uint64_t kElectionSteps = 100;        // steps of an election timeout
constexpr uint64_t kManyTimeoutsSteps = 2'000;  // many election timeouts

class ReplicaTest : public testing::Test {
 protected:
  void StartCluster(size_t n, uint64_t seed = kSeed) {
    cluster_.emplace(n, seed);
    cluster_->Step(0, consensus::Bootstrap{Token(1'000'000)});
    ASSERT_TRUE(Converge());
  }

  bool Converge() {
    return cluster_->RunUntil(kMaxSteps, [this] {
      if (cluster_->Now() % 50 == 0) {
        cluster_->ReconcileMembership();
      }
      return cluster_->HasConverged();
    });
  }

  bool WaitForLeader() {
    return cluster_->RunUntil(
        kMaxSteps, [this] { return cluster_->Leader().has_value(); });
  }

  // Commits `n` commands through the current leader.
  void Commit(int n) {
    for (int i = 0; i < n; ++i) {
      ASSERT_TRUE(WaitForLeader());
      const Token token = cluster_->ProposeCommand(
          *cluster_->Leader(), "command " + std::to_string(++command_count_));
      ASSERT_TRUE(cluster_->RunUntil(
          kMaxSteps, [&] { return cluster_->ResultOf(token).has_value(); }));
      ASSERT_EQ(cluster_->ResultOf(token)->outcome, Outcome::kCommitted);
    }
  }

  size_t Leader() { return *cluster_->Leader(); }
  size_t Follower() { return (Leader() + 1) % cluster_->hosts_.size(); }
  Replica& At(size_t i) { return *cluster_->hosts_[i].replica; }
  std::optional<Outcome> OutcomeOf(Token token) {
    const auto result = cluster_->ResultOf(token);
    return result ? std::optional(result->outcome) : std::nullopt;
  }

  void TearDown() override {
    if (cluster_) {
      EXPECT_EQ(cluster_->Violation(), "");
    }
  }

  std::optional<Cluster> cluster_;
  int command_count_ = 0;
};

TEST_F(ReplicaTest, EmptyDataFoldersNeverBootstrapByThemselves) {
  cluster_.emplace(3, kSeed);
  cluster_->Run(kManyTimeoutsSteps);
  EXPECT_FALSE(cluster_->Leader());
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(At(i).GetTerm(), Term());
  }
}

TEST_F(ReplicaTest, BootstrapIsRejectedIfReplicaHasState) {
  StartCluster(3);
  for (size_t i = 0; i < 3; ++i) {
    const auto effects = cluster_->Step(i, consensus::Bootstrap{Token(5)});
    ASSERT_EQ(effects.resolved.size(), 1U);
    EXPECT_EQ(effects.resolved[0].outcome, Outcome::kNotRun);
    EXPECT_EQ(effects.resolved[0].why.code, ConsensusError::kHasState);
  }
}

TEST_F(ReplicaTest, FollowerCatchesUpFromLog) {
  StartCluster(3);
  const size_t follower = Follower();
  cluster_->Crash(follower);
  Commit(5);
  cluster_->Start(follower);
  EXPECT_TRUE(Converge());
}

TEST_F(ReplicaTest, FollowerCatchesUpFromSnapshotAfterHundredsOfChanges) {
  StartCluster(3);
  const size_t follower = Follower();
  cluster_->Crash(follower);
  Commit(400);
  const Index compacted = At(Leader()).SnapshotIndex();
  cluster_->Start(follower);
  ASSERT_TRUE(Converge());
  EXPECT_GE(At(follower).SnapshotIndex(), compacted);
}

// Failure: a replica lost its disk late in a day of heavy load. Replaying all
// of the day would keep it from voting for seconds.
TEST_F(ReplicaTest, AnEmptyReplicaGetsASnapshotInsteadOfALongLog) {
  cluster_.emplace(3, kSeed);
  cluster_->options.snapshot_after_records = 100'000;
  cluster_->options.learner_snapshot_bytes = 1'000;
  for (size_t i = 0; i < 3; ++i) {
    cluster_->Crash(i);
    cluster_->Start(i);
  }
  cluster_->Step(0, consensus::Bootstrap{Token(1'000'000)});
  ASSERT_TRUE(Converge());
  EXPECT_EQ(At(Leader()).SnapshotIndex(), Index());
  Commit(200);
  const size_t added = cluster_->AddHost();
  ASSERT_TRUE(Converge());
  EXPECT_GT(At(added).SnapshotIndex(), Index());
}

TEST_F(ReplicaTest, SimultaneousCrashLosesNoAcknowledgedCommand) {
  StartCluster(3);
  for (int round = 0; round < 20; ++round) {
    Commit(3);
    cluster_->ProposeCommand(Leader(), "in flight " + std::to_string(round));
    cluster_->Run(static_cast<uint64_t>(round) % 8);
    for (size_t i = 0; i < 3; ++i) {
      cluster_->Crash(i);
    }
    cluster_->Heal();
  }
  ASSERT_TRUE(Converge());
  const auto& applied = cluster_->hosts_[0].applied;
  for (const auto& [index, command] : cluster_->acknowledged_) {
    EXPECT_EQ(std::ranges::count(applied, command), 1) << command;
  }
}

// Failure: all replicas lose power at once. As there is no leader that a
// candidate could depose, the first election starts earlier than after the loss
// of a leader that may only be slow. The bound is one election timeout plus
// half of one for a split vote.
TEST_F(ReplicaTest, ElectionIsFastAfterRestartOfAllReplicas) {
  StartCluster(3);
  for (int round = 0; round < 20; ++round) {
    for (size_t i = 0; i < 3; ++i) {
      cluster_->Crash(i);
    }
    cluster_->Heal();
    const uint64_t begun = cluster_->Now();
    ASSERT_TRUE(WaitForLeader());
    EXPECT_LE((cluster_->Now() - begun) * kStep,
              cluster_->options.election_timeout * 3 / 2);
  }
}

TEST_F(ReplicaTest, SecondDiskLossAfterRepairLosesNoAcknowledgedCommand) {
  StartCluster(3);
  Commit(60);
  const size_t first = Follower();
  cluster_->LoseDisk(first);
  cluster_->Run(kElectionSteps);
  EXPECT_EQ(At(first).GetRole(), Role::kLearner);
  ASSERT_TRUE(cluster_->RunUntil(kMaxSteps, [&] {
    if (cluster_->Now() % 50 == 0) {
      cluster_->ReconcileMembership();
    }
    return cluster_->CommittedMembership().IsVoter(
        cluster_->hosts_[first].disk.id);
  }));
  const size_t second = Leader();
  ASSERT_NE(second, first);
  cluster_->LoseDisk(second);
  Commit(5);
  EXPECT_TRUE(Converge());
  EXPECT_GE(cluster_->acknowledged_.size(), 65U);
}

// Guards against campaigns that are given up before the votes for them can be
// durable: on slow disks no leader was ever elected.
TEST_F(ReplicaTest, ALeaderIsElectedOnDisksSlowerThanTheElectionTimeout) {
  constexpr uint64_t kSeeds = 20;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    StartCluster(3, seed);
    const size_t first = Leader();
    cluster_->faults.min_sync_steps = kElectionSteps;
    cluster_->faults.max_sync_steps = 3 * kElectionSteps;
    cluster_->faults.is_late_request_delayed = true;
    cluster_->Crash(first);
    ASSERT_TRUE(WaitForLeader()) << "seed " << seed;
    Commit(1);
    EXPECT_NE(Leader(), first);
    ASSERT_EQ(cluster_->Violation(), "") << "seed " << seed;
  }
}

TEST_F(ReplicaTest, LearnerCountsOnlyOnceItHasCaughtUp) {
  StartCluster(3);
  Commit(60);
  const size_t learner = cluster_->AddHost();
  // Its messages reach the others, but it receives no records.
  for (size_t i = 0; i < 3; ++i) {
    cluster_->SetLinkBlocked(i, learner, true);
  }
  cluster_->ReconcileMembership();
  cluster_->Run(kManyTimeoutsSteps);
  const ReplicaId id = cluster_->hosts_[learner].disk.id;
  EXPECT_TRUE(At(Leader()).GetMembership().IsLearner(id));
  EXPECT_EQ(At(Leader()).GetMembership().Quorum(), 2U);
  cluster_->Heal();
  EXPECT_TRUE(Converge());
}

TEST_F(ReplicaTest, ReturnedOldDiskDoesNotForceAnElection) {
  StartCluster(3);
  Commit(5);
  const size_t lost = Follower();
  const Recovered old_disk = cluster_->hosts_[lost].disk;
  cluster_->LoseDisk(lost);
  ASSERT_TRUE(Converge());
  Commit(5);
  const Term term = At(Leader()).GetTerm();
  // The old disk runs in another host, beside its replacement.
  const size_t old_replica = cluster_->AddHost();
  cluster_->Crash(old_replica);
  cluster_->hosts_[old_replica].disk = old_disk;
  cluster_->Start(old_replica);
  cluster_->Run(kManyTimeoutsSteps);
  Commit(5);
  EXPECT_EQ(At(Leader()).GetTerm(), term);
  EXPECT_EQ(At(old_replica).GetTerm(), old_disk.hard_state.term);
  EXPECT_NE(At(old_replica).GetRole(), Role::kLeader);
  // It does not count toward a quorum either, as no vote is requested from it.
  cluster_->Crash(lost);
  cluster_->Crash((Leader() + 1) % 3 == lost ? (Leader() + 2) % 3
                                             : (Leader() + 1) % 3);
  cluster_->Run(kManyTimeoutsSteps);
  EXPECT_FALSE(cluster_->Leader());
  cluster_->hosts_.pop_back();
}

// A message carries the replica id of its destination, so that a replacement
// under the same name ignores messages for the lost disk.
TEST_F(ReplicaTest, MessageForALostDiskIsDropped) {
  StartCluster(3);
  const size_t i = Follower();
  Message message;
  message.kind = MessageKind::kVote;
  message.from = {ReplicaId("someone"), wire::EntryId("someone")};
  message.to = {ReplicaId("lost"), At(i).Self().name};
  message.term = Term(99);
  message.is_transfer = true;
  cluster_->Step(i, Receive{message});
  EXPECT_LT(At(i).GetTerm(), Term(99));
}

TEST_F(ReplicaTest, IsolatedFollowerRejoinsWithoutAnElection) {
  StartCluster(3);
  const size_t leader = Leader();
  const size_t follower = Follower();
  const Term term = At(leader).GetTerm();
  cluster_->Isolate(follower, true);
  cluster_->Run(kManyTimeoutsSteps);
  EXPECT_EQ(At(follower).GetTerm(), term);
  cluster_->Isolate(follower, false);
  cluster_->Run(kManyTimeoutsSteps);
  EXPECT_EQ(Leader(), leader);
  EXPECT_EQ(At(leader).GetTerm(), term);
}

// One-way partition: the follower receives from every replica except the
// leader.
TEST_F(ReplicaTest, FollowerUnreachableFromLeaderDoesNotForceAnElection) {
  StartCluster(3);
  const size_t leader = Leader();
  const Term term = At(leader).GetTerm();
  cluster_->SetLinkBlocked(leader, Follower(), true);
  cluster_->Run(kManyTimeoutsSteps);
  Commit(3);
  EXPECT_EQ(Leader(), leader);
  EXPECT_EQ(At(leader).GetTerm(), term);
}

// One-way partition: the follower can send but receives nothing.
TEST_F(ReplicaTest, FollowerThatReceivesNothingDoesNotForceAnElection) {
  StartCluster(3);
  const size_t leader = Leader();
  const size_t follower = Follower();
  const Term term = At(leader).GetTerm();
  for (size_t i = 0; i < 3; ++i) {
    cluster_->SetLinkBlocked(i, follower, true);
  }
  cluster_->Run(kManyTimeoutsSteps);
  Commit(3);
  EXPECT_EQ(Leader(), leader);
  EXPECT_EQ(At(leader).GetTerm(), term);
}

// Covers a full partition and a one-way partition in which the leader can send
// but receives nothing.
TEST_F(ReplicaTest, IsolatedLeaderAnswersUnknownThenNotRunAndNeverStale) {
  for (const bool both_ways : {true, false}) {
    StartCluster(3);
    Commit(3);
    const size_t old_leader = Leader();
    for (size_t i = 0; i < 3; ++i) {
      cluster_->SetLinkBlocked(i, old_leader, true);
      if (both_ways) {
        cluster_->SetLinkBlocked(old_leader, i, true);
      }
    }
    const Token write = cluster_->ProposeCommand(old_leader, "unresolved");
    const Token read = cluster_->StartReadBarrier(old_leader);
    cluster_->Run(2 * kElectionSteps);
    EXPECT_EQ(OutcomeOf(write), Outcome::kUnknown);
    EXPECT_EQ(OutcomeOf(read), Outcome::kNotRun);
    EXPECT_EQ(OutcomeOf(cluster_->ProposeCommand(old_leader, "late")),
              Outcome::kNotRun);
    EXPECT_EQ(OutcomeOf(cluster_->StartReadBarrier(old_leader)),
              Outcome::kNotRun);
    ASSERT_TRUE(WaitForLeader());
    Commit(3);
    EXPECT_NE(Leader(), old_leader);
    cluster_->Heal();
    EXPECT_TRUE(Converge());
    ASSERT_EQ(cluster_->Violation(), "");
  }
}

TEST_F(ReplicaTest, ResumedOldLeaderRejectsRequests) {
  StartCluster(3);
  const size_t old_leader = Leader();
  cluster_->hosts_[old_leader].frozen_until =
      cluster_->Now() + kManyTimeoutsSteps;
  cluster_->Run(kElectionSteps * 5);
  ASSERT_NE(Leader(), old_leader);
  Commit(3);
  ASSERT_EQ(At(old_leader).GetRole(),
            Role::kLeader);  // not yet aware of the new leader
  // Resumed: receives requests before any message of the new leader.
  cluster_->hosts_[old_leader].frozen_until = 0;
  EXPECT_EQ(OutcomeOf(cluster_->StartReadBarrier(old_leader)),
            Outcome::kNotRun);
  EXPECT_EQ(OutcomeOf(cluster_->ProposeCommand(old_leader, "rejected")),
            Outcome::kNotRun);
  EXPECT_EQ(At(old_leader).GetRole(), Role::kFollower);
}

// A reply that is deferred until its sync must not be sent before that sync,
// and must be dropped once the replica has moved to another term.
TEST_F(ReplicaTest, AcknowledgementOfAnOldTermIsNeverSent) {
  StartCluster(3);
  const size_t leader = Leader();
  const size_t follower = Follower();
  const size_t other = 3 - leader - follower;
  cluster_->Run(kElectionSteps);
  Replica& replica = At(follower);
  const Term term = replica.GetTerm();

  Message append;
  append.kind = MessageKind::kAppend;
  append.from = At(leader).Self();
  append.to = replica.Self();
  append.term = term;
  append.index = replica.LastIndex();
  append.log_term = term;
  append.records = {{term, replica.LastIndex().Next(), RecordKind::kCommand,
                     "not acknowledged"}};
  const base::Instant now(cluster_->Now() * kStep);
  const auto first = replica.Step(now, Receive{append});
  ASSERT_TRUE(first.persist);
  EXPECT_TRUE(first.messages.empty());

  Message vote;
  vote.kind = MessageKind::kVote;
  vote.from = At(other).Self();
  vote.to = replica.Self();
  vote.term = term.Next();
  vote.index = append.records[0].index;
  vote.log_term = term.Next();
  vote.is_transfer = true;
  const auto second = replica.Step(now, Receive{vote});
  ASSERT_TRUE(second.persist);
  const auto last = replica.Step(now, Synced{second.persist->sequence});
  ASSERT_EQ(last.messages.size(), 1U);
  EXPECT_EQ(last.messages[0].kind, MessageKind::kVoteReply);
}

TEST_F(ReplicaTest, TransferMovesLeadershipWithinAnElectionTimeout) {
  StartCluster(3);
  const size_t old_leader = Leader();
  const size_t target = Follower();
  cluster_->Step(old_leader, TransferLeadership{At(target).Self().id});
  EXPECT_EQ(OutcomeOf(cluster_->ProposeCommand(old_leader, "refused")),
            Outcome::kNotRun);
  EXPECT_TRUE(cluster_->RunUntil(kElectionSteps,
                                 [&] { return cluster_->Leader() == target; }));
}

TEST_F(ReplicaTest, RemovedLeaderTransfersLeadership) {
  StartCluster(3);
  const size_t old_leader = Leader();
  cluster_->Step(old_leader, RemoveMember{Token(9), At(old_leader).Self().id});
  ASSERT_TRUE(cluster_->RunUntil(kMaxSteps, [&] {
    return cluster_->Leader() && cluster_->Leader() != old_leader;
  }));
  EXPECT_EQ(At(Leader()).GetMembership().voters.size(), 2U);
  cluster_->Run(kManyTimeoutsSteps);
  EXPECT_NE(At(old_leader).GetRole(), Role::kLeader);
}

TEST_F(ReplicaTest, ProposalAboveUncommittedLimitIsRejectedAsNotRun) {
  StartCluster(3);
  const size_t leader = Leader();
  cluster_->Isolate(leader, true);
  const size_t limit = cluster_->options.max_uncommitted_records;
  for (size_t i = 0; i < limit; ++i) {
    cluster_->ProposeCommand(leader, std::to_string(i));
  }
  const Token token = cluster_->ProposeCommand(leader, "one too many");
  ASSERT_EQ(OutcomeOf(token), Outcome::kNotRun);
  EXPECT_EQ(cluster_->ResultOf(token)->why.code, ConsensusError::kBusy);
}

TEST(MessageTest, CborRoundTripPreservesFields) {
  Message message;
  message.kind = MessageKind::kAppend;
  message.to = {ReplicaId("b"), wire::EntryId("entry-2")};
  message.records = {{Term(1), Index(2), RecordKind::kMembership,
                      std::string("\x00\xFF\x80", 3)}};
  wire::CodecReason why;
  auto out = wire::DecodeCbor<Message>(wire::EncodeCbor(message), why);
  ASSERT_TRUE(out) << why.message;
  EXPECT_EQ(out->records, message.records);
  EXPECT_EQ(out->to, message.to);

  message.kind = MessageKind::kSnapshot;
  message.data = std::string("\x80\x00", 2);
  message.snapshot.membership.voters = {message.to};
  out = wire::DecodeCbor<Message>(wire::EncodeCbor(message), why);
  ASSERT_TRUE(out) << why.message;
  EXPECT_EQ(out->data, message.data);
  EXPECT_EQ(out->snapshot, message.snapshot);
}

}  // namespace
}  // namespace sassafras::consensus
