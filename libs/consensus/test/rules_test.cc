// Tests single protocol rules with hand-made messages to replica "a", one of
// the voters a, b and c.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "consensus/replica.h"
#include "single_replica_test.h"
#include "wire/codec.h"

namespace sassafras::consensus {
namespace {

Record MembershipRecord(uint64_t term, uint64_t index, Membership membership) {
  return {Term(term), Index(index), RecordKind::kMembership,
          wire::EncodeCbor(membership)};
}

Record Command(uint64_t term, uint64_t index) {
  return {Term(term), Index(index), RecordKind::kCommand,
          "command " + std::to_string(index)};
}

// Longer than any wait of an election.
constexpr auto kLongTime = std::chrono::minutes(1);

class RulesTest : public SingleReplicaTest {
 protected:
  // Starts replica a. Record 1 is the membership, `records` follow; the current
  // term is that of the last record.
  void StartReplica(std::vector<Record> records = {}) {
    Recovered disk;
    disk.records = {MembershipRecord(1, 1, {{kA, kB, kC}, {}})};
    disk.records.insert(disk.records.end(), records.begin(), records.end());
    disk.hard_state = {disk.records.back().term, ReplicaId()};
    Create(std::move(disk));
  }

  Message VoteRequestFrom(const Member& from,
                          uint64_t term,
                          uint64_t log_term,
                          uint64_t index) const {
    Message vote = MakeMessage(from, MessageKind::kVote, term);
    vote.log_term = Term(log_term);
    vote.index = Index(index);
    return vote;
  }

  Message AppendFrom(const Member& from,
                     uint64_t term,
                     uint64_t index,
                     uint64_t log_term,
                     std::vector<Record> records) const {
    Message append = MakeMessage(from, MessageKind::kAppend, term);
    append.index = Index(index);
    append.log_term = Term(log_term);
    append.records = std::move(records);
    return append;
  }

  // Makes "a" a candidate in the next term whose own vote isn't durable yet.
  void BecomeUnsyncedCandidate() {
    now_ = replica_->NextDeadline();
    Step(Tick{});
    const uint64_t term = replica_->GetTerm().value() + 1;
    Message reply = MakeMessage(kB, MessageKind::kPreVoteReply, term);
    reply.is_granted = true;
    Deliver(reply);
    ASSERT_EQ(replica_->GetTerm(), Term(term));
  }

  // Makes "a" the leader of the next term with the votes of b.
  void BecomeLeader() {
    BecomeUnsyncedCandidate();
    Sync();
    Message reply =
        MakeMessage(kB, MessageKind::kVoteReply, replica_->GetTerm().value());
    reply.is_granted = true;
    Deliver(reply);
    ASSERT_EQ(replica_->GetRole(), Role::kLeader);
  }

  // Like BecomeLeader(), and commits the first record of the term.
  void BecomeLeaderAndCommit() {
    BecomeLeader();
    Sync();
    Deliver(Ack(kB, replica_->LastIndex().value()));
    ASSERT_TRUE(replica_->HasCommittedInTerm());
  }

  // Returns why the only request resolved in `effects` was rejected, or kNone
  // if not exactly one was resolved.
  static ConsensusError RejectionOf(const Effects& effects) {
    return effects.resolved.size() == 1 ? effects.resolved[0].why.code
                                        : ConsensusError::kNone;
  }

  // Returns the heartbeat round that began in `effects`, or 0.
  static uint64_t RoundOf(const Effects& effects) {
    uint64_t round = 0;
    for (const Message& it : effects.messages) {
      round = it.kind == MessageKind::kHeartbeat ? it.round : round;
    }
    return round;
  }

  static bool HasMessage(const Effects& effects,
                         MessageKind kind,
                         bool granted) {
    return std::ranges::any_of(effects.messages, [&](const Message& it) {
      return it.kind == kind && it.is_granted == granted;
    });
  }

  // The replicas that are told to start an election at once.
  static std::vector<ReplicaId> CandidatesOf(const Effects& effects) {
    std::vector<ReplicaId> candidates;
    for (const Message& it : effects.messages) {
      if (it.kind == MessageKind::kTimeoutNow) {
        candidates.push_back(it.to.id);
      }
    }
    return candidates;
  }
};

TEST_F(RulesTest, OwnCopyCountsOnlyOnceItIsSynced) {
  StartReplica();
  BecomeLeaderAndCommit();
  Step(Propose{Token(1), "command"});
  const Index last = replica_->LastIndex();
  EXPECT_TRUE(Deliver(Ack(kB, last.value())).resolved.empty());
  const auto effects = Sync();
  ASSERT_EQ(effects.resolved.size(), 1U);
  EXPECT_EQ(effects.resolved[0].outcome, Outcome::kCommitted);
  EXPECT_EQ(effects.committed.back().index, last);
}

TEST_F(RulesTest, VotesAreRequestedAndCountedOnlyOnceTheTermIsSynced) {
  StartReplica();
  now_ = replica_->NextDeadline();
  Step(Tick{});
  Message reply = MakeMessage(kB, MessageKind::kPreVoteReply, 2);
  reply.is_granted = true;
  EXPECT_FALSE(HasMessage(Deliver(reply), MessageKind::kVote, false));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVote, false));
}

TEST_F(RulesTest, LoneVoterLeadsOnlyOnceItsTermIsSynced) {
  BootstrapAlone();
  EXPECT_EQ(replica_->GetRole(), Role::kCandidate);
  Sync();
  EXPECT_EQ(replica_->GetRole(), Role::kLeader);
}

TEST_F(RulesTest, LastVoterIsNotRemoved) {
  BootstrapAlone();
  Sync();
  Sync();
  EXPECT_EQ(RejectionOf(Step(RemoveMember{Token(2), kA.id})),
            ConsensusError::kLastVoter);
}

// A sync of requests before its own vote must not make it leader.
TEST_F(RulesTest, LoneVoterWaitsForTheSyncOfItsVote) {
  Recovered disk;
  disk.records = {MembershipRecord(1, 1, {{kA}, {}})};
  Create(std::move(disk));
  Deliver(AppendFrom(kB, 5, 1, 1, {Command(5, 2)}));
  const Sequence before = sequence_;
  now_ = replica_->NextDeadline();
  Step(Tick{});
  ASSERT_NE(sequence_, before);
  Step(Synced{before});
  EXPECT_EQ(replica_->GetRole(), Role::kCandidate);
  Sync();
  EXPECT_EQ(replica_->GetRole(), Role::kLeader);
}

// Guards against a candidate on a slow disk that begins a new campaign before
// it has asked for the votes of the last one.
TEST_F(RulesTest, ACandidateCampaignsAgainOnlyOnceItsVoteIsSynced) {
  StartReplica();
  BecomeUnsyncedCandidate();
  const Term term = replica_->GetTerm();
  now_ += kLongTime;
  EXPECT_FALSE(HasMessage(Step(Tick{}), MessageKind::kPreVote, false));
  EXPECT_GT(replica_->NextDeadline(), now_);
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVote, false));
  EXPECT_EQ(replica_->GetTerm(), term);
  EXPECT_GE(replica_->NextDeadline(), now_ + Options().election_timeout / 2);
}

// Guards against a voter on a slow disk whose own campaign makes its vote for
// another one worthless.
TEST_F(RulesTest, AVoterCampaignsOnlyOnceItsVoteIsSynced) {
  StartReplica();
  Deliver(VoteRequestFrom(kB, 5, 1, 1));
  now_ += kLongTime;
  EXPECT_FALSE(HasMessage(Step(Tick{}), MessageKind::kPreVote, false));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, true));
  EXPECT_GE(replica_->NextDeadline(), now_ + Options().election_timeout);
}

// Guards against campaigns that all end before the disks of the voters have
// written the votes.
TEST_F(RulesTest, EachCampaignWaitsLongerForItsVotesUntilALeaderIsHeard) {
  StartReplica();
  const auto wait_for_votes = [this] {
    BecomeUnsyncedCandidate();
    Sync();
    return replica_->NextDeadline() - now_;
  };
  const base::Duration first = Options().election_timeout / 2;
  for (const int factor : {1, 2, 4, 8, 8}) {
    const base::Duration wait = wait_for_votes();
    EXPECT_GE(wait, factor * first);
    EXPECT_LE(wait, 2 * factor * first);
  }
  Deliver(MakeMessage(kB, MessageKind::kHeartbeat,
                      replica_->GetTerm().value() + 1));
  EXPECT_LE(wait_for_votes(), 2 * first);
}

// A record of an older term is not committed by a majority of copies, as
// another leader may still replace it.
TEST_F(RulesTest, RecordOfAnOldTermIsNotCommittedByCounting) {
  StartReplica({Command(1, 2)});
  BecomeLeader();
  Sync();
  EXPECT_TRUE(Deliver(Ack(kB, 2)).committed.empty());
  EXPECT_EQ(Deliver(Ack(kB, 3)).committed.size(), 3U);
}

// A leader that drains repeats the transfer until it has lost the leadership.
// Two candidates of one term would split the votes.
TEST_F(RulesTest, RepeatedTransferStartsOneCandidate) {
  StartReplica();
  BecomeLeader();
  Sync();
  const uint64_t last = replica_->LastIndex().value();
  Deliver(Ack(kC, last));
  EXPECT_EQ(CandidatesOf(Step(TransferLeadership{})), std::vector{kC.id});
  Deliver(Ack(kB, last));
  EXPECT_EQ(CandidatesOf(Step(TransferLeadership{})), std::vector{kC.id});
}

TEST_F(RulesTest, VoteIsRefusedToAnOlderLog) {
  StartReplica({Command(1, 2), Command(2, 3)});
  Deliver(VoteRequestFrom(kB, 3, 1, 9));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, false));
  Deliver(VoteRequestFrom(kB, 4, 2, 2));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, false));
  Deliver(VoteRequestFrom(kB, 5, 2, 3));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, true));
}

TEST_F(RulesTest, PreVoteIsRefusedToAnOlderLogAndChangesNothing) {
  StartReplica({Command(1, 2), Command(2, 3)});
  Message request = VoteRequestFrom(kB, 3, 1, 9);
  request.kind = MessageKind::kPreVote;
  EXPECT_TRUE(HasMessage(Deliver(request), MessageKind::kPreVoteReply, false));
  request.log_term = Term(2);
  const auto effects = Deliver(request);
  EXPECT_TRUE(HasMessage(effects, MessageKind::kPreVoteReply, true));
  EXPECT_FALSE(effects.persist);
  EXPECT_EQ(replica_->GetTerm(), Term(2));
}

TEST_F(RulesTest, OneVoteInATerm) {
  StartReplica();
  Deliver(VoteRequestFrom(kB, 2, 1, 1));
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, true));
  // There is no state to persist, so the rejection is sent at once.
  const auto effects = Deliver(VoteRequestFrom(kC, 2, 1, 1));
  EXPECT_TRUE(HasMessage(effects, MessageKind::kVoteReply, false));
}

TEST_F(RulesTest, LiveLeaderIsNotVotedOut) {
  StartReplica();
  Deliver(MakeMessage(kB, MessageKind::kHeartbeat, 1));
  Message request = VoteRequestFrom(kC, 2, 1, 9);
  EXPECT_TRUE(Deliver(request).messages.empty());
  EXPECT_EQ(replica_->GetTerm(), Term(1));
  request.kind = MessageKind::kPreVote;
  EXPECT_TRUE(HasMessage(Deliver(request), MessageKind::kPreVoteReply, false));
  // Exception: a leadership transfer, which the leader itself requested.
  request.kind = MessageKind::kVote;
  request.is_transfer = true;
  Deliver(request);
  EXPECT_TRUE(HasMessage(Sync(), MessageKind::kVoteReply, true));
}

TEST_F(RulesTest, OldLeaderIsSentTheNewTerm) {
  StartReplica({Command(1, 2), Command(5, 3)});
  for (const auto kind : {MessageKind::kHeartbeat, MessageKind::kAppend,
                          MessageKind::kSnapshot}) {
    const auto effects = Deliver(MakeMessage(kB, kind, 4));
    ASSERT_EQ(effects.messages.size(), 1U);
    EXPECT_EQ(effects.messages[0].term, Term(5));
  }
}

TEST_F(RulesTest, BarrierNeedsARoundThatBeganAfterIt) {
  StartReplica();
  BecomeLeaderAndCommit();
  const uint64_t round = RoundOf(Step(ReadBarrier{Token(1)}));
  Step(ReadBarrier{Token(2)});
  Message reply = MakeMessage(kB, MessageKind::kHeartbeatReply, 2);
  reply.round = round - 1;
  EXPECT_TRUE(Deliver(reply).resolved.empty());
  reply.round = round;
  const auto first = Deliver(reply);
  ASSERT_EQ(first.resolved.size(), 1U);
  EXPECT_EQ(first.resolved[0].token, Token(1));
  const auto repeated = Deliver(reply);
  EXPECT_TRUE(repeated.resolved.empty());
  EXPECT_EQ(RoundOf(repeated), round + 1);
  reply.round = round + 1;
  const auto second = Deliver(reply);
  ASSERT_EQ(second.resolved.size(), 1U);
  EXPECT_EQ(second.resolved[0].outcome, Outcome::kBarrierPassed);
}

TEST_F(RulesTest, BarrierWaitsForARecordOfTheOwnTerm) {
  StartReplica({Command(1, 2)});
  BecomeLeader();
  Sync();
  Step(ReadBarrier{Token(1)});
  Message reply = MakeMessage(kB, MessageKind::kHeartbeatReply, 2);
  reply.round = 1;
  EXPECT_TRUE(Deliver(reply).resolved.empty());
  reply.round = RoundOf(Deliver(Ack(kB, 3)));
  EXPECT_EQ(Deliver(reply).resolved.size(), 1U);
}

// The reply took its time, in which another leader may have been elected.
TEST_F(RulesTest, LeadershipIsConfirmedAsOfTheBeginOfARound) {
  StartReplica();
  BecomeLeaderAndCommit();
  EXPECT_FALSE(replica_->LeadershipConfirmedAt());
  now_ = replica_->NextDeadline();
  const base::Instant begin = now_;
  const uint64_t round = RoundOf(Step(Tick{}));
  now_ += std::chrono::milliseconds(50);
  Message reply = MakeMessage(kB, MessageKind::kHeartbeatReply, 2);
  reply.round = round;
  Deliver(reply);
  EXPECT_EQ(replica_->LeadershipConfirmedAt(), begin);
  now_ += std::chrono::seconds(4);
  Step(Tick{});
  EXPECT_FALSE(replica_->LeadershipConfirmedAt()) << "it has stepped down";
}

TEST_F(RulesTest, MembershipChangesDoNotOverlap) {
  StartReplica();
  BecomeLeaderAndCommit();
  EXPECT_TRUE(Step(RemoveMember{Token(1), kB.id}).resolved.empty());
  EXPECT_EQ(RejectionOf(Step(RemoveMember{Token(2), kC.id})),
            ConsensusError::kInProgress);
}

TEST_F(RulesTest, MembershipChangeWaitsForARecordOfTheOwnTerm) {
  StartReplica();
  BecomeLeader();
  EXPECT_EQ(RejectionOf(Step(RemoveMember{Token(1), kB.id})),
            ConsensusError::kNoCommitInTerm);
}

TEST_F(RulesTest, NeitherAnIdNorANameIsAddedTwice) {
  StartReplica();
  BecomeLeaderAndCommit();
  for (const Member& member :
       {Member{kB.id, kD.name}, Member{kD.id, kB.name}}) {
    EXPECT_EQ(RejectionOf(Step(AddLearner{Token(1), member})),
              ConsensusError::kIsMember);
  }
}

TEST_F(RulesTest, LearnerCountsOnlyOnceItHasCaughtUp) {
  std::vector<Record> records;
  for (uint64_t i = 2; i <= 2 * Options().promotion_lag_records; ++i) {
    records.push_back(Command(1, i));
  }
  StartReplica(records);
  BecomeLeaderAndCommit();
  Step(AddLearner{Token(1), kD});
  Sync();
  Deliver(Ack(kB, replica_->LastIndex().value()));
  Deliver(Ack(kD, 1));
  EXPECT_FALSE(replica_->GetMembership().IsVoter(kD.id));
  Deliver(Ack(kD, replica_->LastIndex().value()));
  EXPECT_TRUE(replica_->GetMembership().IsVoter(kD.id));
}

// Guards against a promotion that counts as made while it can still be undone.
TEST_F(RulesTest, APromotionIsCommittedOnlyOnceAQuorumHasIt) {
  StartReplica();
  BecomeLeaderAndCommit();
  Step(AddLearner{Token(1), kD});
  Sync();
  Deliver(Ack(kB, replica_->LastIndex().value()));
  EXPECT_TRUE(replica_->CommittedMembership().IsLearner(kD.id));
  Deliver(Ack(kD, replica_->LastIndex().value()));
  Sync();
  EXPECT_TRUE(replica_->GetMembership().IsVoter(kD.id));
  EXPECT_TRUE(replica_->CommittedMembership().IsLearner(kD.id));
  // Three of the four voters are a quorum now.
  Deliver(Ack(kB, replica_->LastIndex().value()));
  EXPECT_TRUE(replica_->CommittedMembership().IsLearner(kD.id));
  Deliver(Ack(kD, replica_->LastIndex().value()));
  EXPECT_TRUE(replica_->CommittedMembership().IsVoter(kD.id));
}

TEST_F(RulesTest, TruncatedMembershipChangeIsUndone) {
  StartReplica();
  Deliver(AppendFrom(kB, 1, 1, 1, {MembershipRecord(1, 2, {{kA, kB}, {}})}));
  EXPECT_EQ(replica_->GetMembership().voters.size(), 2U);
  const auto effects = Deliver(AppendFrom(kC, 2, 1, 1, {Command(2, 2)}));
  ASSERT_TRUE(effects.persist);
  EXPECT_EQ(effects.persist->truncate_from, Index(2));
  EXPECT_EQ(replica_->GetMembership().voters.size(), 3U);
}

TEST_F(RulesTest, CommittedRecordIsNeverReplaced) {
  StartReplica();
  Message append = AppendFrom(kB, 1, 1, 1, {Command(1, 2)});
  append.commit = Index(2);
  EXPECT_EQ(Deliver(append).committed.size(), 2U);
  const auto effects = Deliver(AppendFrom(kC, 2, 1, 1, {Command(2, 2)}));
  EXPECT_TRUE(!effects.persist || effects.persist->records.empty());
  EXPECT_EQ(replica_->LastIndex(), Index(2));
}

TEST_F(RulesTest, UnacknowledgedAppendIsResent) {
  StartReplica();
  BecomeLeaderAndCommit();
  const auto first = Step(Propose{Token(1), "command"});
  const auto carries = [](const Message& it) {
    return it.kind == MessageKind::kAppend && it.to == kB &&
           !it.records.empty();
  };
  EXPECT_TRUE(std::ranges::any_of(first.messages, carries));
  now_ += Options().resend_timeout;
  const auto again = Step(Tick{});
  EXPECT_TRUE(std::ranges::any_of(again.messages, carries));
}

TEST_F(RulesTest, LogWithInvalidRecordsIsRejected) {
  const auto is_rejected = [this](const std::vector<Record>& records) {
    Recovered disk;
    disk.id = kA.id;
    disk.records = records;
    ConsensusReason why;
    return !Replica::Create(Options(), disk, 1, now_, why) &&
           why.code == ConsensusError::kBadLog;
  };
  EXPECT_TRUE(is_rejected({Command(1, 1), Command(1, 3)}));
  EXPECT_TRUE(is_rejected({Command(2, 1), Command(1, 2)}));
  EXPECT_TRUE(is_rejected({{Term(1), Index(1), RecordKind::kMembership, "?"}}));
}

}  // namespace
}  // namespace sassafras::consensus
