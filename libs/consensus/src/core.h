// The implementation of Replica. Its member functions are defined in core.cc
// (events and effects), election.cc, replication.cc, membership.cc, snapshot.cc
// and barrier.cc.

#ifndef CONSENSUS_CORE_H_
#define CONSENSUS_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "consensus/message.h"
#include "consensus/replica.h"
#include "consensus/types.h"
#include "log.h"
#include "membership_history.h"
#include "peer.h"

namespace sassafras::consensus {

class Replica::Core {
 public:
  Core(const Options& options, ReplicaId id, uint64_t seed, base::Instant now);

  // Restores the recovered state. Returns false and sets `why` to kBadLog if
  // the records are not consecutive, decrease in term or do not decode.
  bool Recover(Recovered durable, ConsensusReason& why);

  Effects Step(base::Instant now, const Event& event);
  base::Instant NextDeadline() const;

  const Member& Self() const { return self_; }
  Role GetRole() const { return role_; }
  Term GetTerm() const { return hard_state_.term; }
  const Member& Leader() const { return leader_; }
  const Membership& GetMembership() const { return memberships_.Latest(); }
  const Membership& CommittedMembership() const {
    return memberships_.At(commit_index_);
  }
  Index CommitIndex() const { return commit_index_; }
  Index LastIndex() const { return log_.Last(); }
  Index SnapshotIndex() const;
  std::optional<Index> MatchOf(const ReplicaId& id) const;
  std::map<ReplicaId, base::Instant> Contacts() const;
  std::optional<base::Instant> LeadershipConfirmedAt() const {
    return leadership_confirmed_at_;
  }
  size_t CountReadyLearners() const;
  const std::set<ReplicaId>& Votes() const { return votes_; }
  bool HasCommittedInTerm() const;

 private:
  using Handler = void (Core::*)(const Message&);

  // --- core.cc ---
  void On(const Tick&) {}
  void On(const Receive& event);
  void On(const Propose& event);
  void On(const ReadBarrier& event);
  void On(const Bootstrap& event);
  void On(const AddLearner& event);
  void On(const PromoteLearner& event);
  void On(const RemoveMember& event);
  void On(const TransferLeadership& event);
  void On(const Synced& event);
  void On(const SnapshotTaken& event);

  static Handler HandlerOf(MessageKind kind);
  bool AcceptsTerm(const Message& message);
  void ReplyToStaleTerm(const Message& message);
  void CheckDeadlines();
  void RunLeaderStep();
  Effects FinishStep();
  void ReportRoleChange();
  void ReleaseDeferred();

  bool IsLeader() const { return role_ == Role::kLeader; }
  void SetHardState(const HardState& state);
  // Returns the sequence that the persist request of this step will have.
  Sequence StepSequence() const { return last_sequence_.Next(); }
  Message MakeMessage(const Member& to, MessageKind kind) const;
  void Send(Message message);
  // Sends the message once everything persisted up to this step is durable.
  void SendOnceDurable(Message message);
  void Resolve(Token token,
               Outcome outcome,
               Index index,
               ConsensusError error = ConsensusError::kNone,
               std::string message = {});
  void Reject(Token token, ConsensusError error, std::string message);
  // Returns false and rejects the token unless this replica leads and no
  // leadership transfer is in progress.
  bool CheckCanPropose(Token token);

  // --- election.cc ---
  void OnPreVote(const Message& message);
  void OnPreVoteReply(const Message& message);
  void OnVote(const Message& message);
  void OnVoteReply(const Message& message);
  void OnTimeoutNow(const Message& message);
  void StartPreVote();
  void Campaign(bool is_transfer);
  void ResetVoteDeadline();
  bool IsVoteUnsynced() const;
  bool CanCampaign() const;
  void OnVoteSynced();
  void TallyVotes();
  void BecomeFollower(Term term, const Member& leader);
  void BecomeLeader();
  void ClearLeaderState(ConsensusError error);
  void RecordLeaderContact(const Member& leader);
  bool HasLeaderContact() const;
  bool HasQuorumContact() const;
  // Returns whether the candidate's log in `message` is at least as up to date
  // as the log of this replica.
  bool IsUpToDate(const Message& message) const;
  // Sets the deadline to a random time in [now_ + from, now_ + to).
  void ResetElectionDeadline(base::Duration from, base::Duration to);
  // Leaves a leader one to two election timeouts to be heard.
  void AwaitLeader();
  void UpdateRoleFromMembership();

  // --- replication.cc ---
  void OnAppend(const Message& message);
  void OnAppendReply(const Message& message);
  void OnHeartbeat(const Message& message);
  void OnHeartbeatReply(const Message& message);
  static std::optional<Membership> DecodeMembership(const Record& record);
  static bool IsDecodable(
      const Record& record);  // a membership record must decode
  bool MergeRecords(const Message& message);
  void RejectAppend(const Message& message);
  void AppendRecord(Record record);
  Index AppendAsLeader(RecordKind kind, std::string payload);
  void TruncateFrom(Index index);
  void CommitTo(Index index);
  void ResolveCommitted(Index index);
  void AdvanceCommit();
  Index QuorumMatch() const;
  void Replicate(Peer& peer);
  void SendAppend(Peer& peer, bool with_records);
  void BroadcastHeartbeat();
  void ResendIfTimedOut(Peer& peer);
  Peer* FindPeer(const ReplicaId& id);
  void AdvanceDurableIndex(Sequence sequence);

  // --- membership.cc ---
  // Like CheckCanPropose(); also requires a committed record of this term
  // and no pending membership change.
  bool CheckCanChangeMembership(Token token);
  bool IsChangePending() const;
  Index ChangeMembership(Membership membership);
  void StepDownIfRemoved();
  void RefreshPeers();
  bool IsReadyToVote(const Member& learner) const;
  void PromoteReadyLearner();
  void RunTransfer();
  const Peer* MostUpToDateVoter() const;
  void SendTimeoutNow(const Member& to);

  // --- snapshot.cc ---
  void OnSnapshot(const Message& message);
  void OnSnapshotReply(const Message& message);
  void SendSnapshotChunk(Peer& peer);
  void StartSnapshotStream(Peer& peer);
  void InstallSnapshot(Snapshot snapshot);
  void RequestSnapshot();
  bool HasEmptyLearner() const;

  // --- barrier.cc ---
  void StartBarrierRound();
  void StartRound();
  void ConfirmRounds();
  uint64_t QuorumRound() const;

  Options options_;
  Member self_;
  base::Random random_;
  base::Instant now_;

  // Durable state once the last persist request is synced.
  HardState hard_state_;
  Log log_;
  std::optional<Snapshot> snapshot_;
  MembershipHistory memberships_;

  Index commit_index_;   // never decreases; records up to it were returned as
                         // committed
  Index durable_index_;  // last synced record of this log; at most log_.Last()
  Role role_ = Role::kLearner;
  Member leader_;
  std::optional<RoleChange> reported_role_;

  // A persist request that is not synced yet. `last_index` is the last record
  // of the log after the request.
  struct UnsyncedRequest {
    Sequence sequence;
    Index last_index;
  };
  // A message that is sent once persist request `sequence` is durable.
  struct DeferredMessage {
    Sequence sequence;
    Message message;
  };
  Sequence last_sequence_;
  Sequence synced_sequence_;
  std::deque<UnsyncedRequest> unsynced_requests_;
  std::deque<DeferredMessage> deferred_;  // by increasing sequence
  std::vector<Message> step_deferred_;    // deferred in the current step
  PersistRequest persist_;                // of the current step
  Effects effects_;                       // of the current step

  // --- state of followers and candidates ---
  base::Instant election_deadline_;
  std::optional<base::Instant> leader_contact_at_;
  bool is_pre_vote_ = false;
  std::set<ReplicaId> votes_;  // voters that granted the vote or pre-vote
  Sequence vote_sequence_;  // the persist request of this replica's last vote
  // The next campaign waits for votes this many election timeouts at most.
  int64_t vote_wait_factor_ = 1;
  // A snapshot being received; `data` is the prefix received so far.
  struct IncomingSnapshot {
    SnapshotMeta meta;
    uint64_t total_bytes = 0;
    std::string data;
  };
  std::optional<IncomingSnapshot> incoming_snapshot_;

  // --- state of leaders ---

  // A record of the leader whose commit resolves `token`.
  struct PendingProposal {
    Index index;
    Token token;
  };
  // A read barrier that awaits confirmation by a quorum.
  struct Barrier {
    uint64_t round = 0;  // 0: not assigned to a round yet
    Token token;
  };
  // A leadership transfer in progress; abandoned at `deadline`.
  struct Transfer {
    std::optional<ReplicaId> target;
    base::Instant deadline;
    bool is_timeout_now_sent = false;
  };
  std::map<ReplicaId, Peer> peers_;
  Index term_start_index_;  // index of the first record of this leader's term
  base::Instant heartbeat_at_;                     // time of the next heartbeat
  std::deque<PendingProposal> pending_proposals_;  // by increasing index
  size_t uncommitted_bytes_ = 0;
  std::deque<Barrier> barriers_;
  // A heartbeat round that no quorum has confirmed yet.
  struct Round {
    uint64_t number = 0;
    base::Instant begin;
  };
  uint64_t last_round_ = 0;        // last round started; never decreases
  uint64_t confirmed_round_ = 0;   // by a quorum; at most last_round_
  std::deque<Round> open_rounds_;  // by increasing number
  // When the last round confirmed in this term began.
  std::optional<base::Instant> leadership_confirmed_at_;
  std::optional<Transfer> transfer_;

  // --- snapshots of this replica's state machine ---

  Index snapshot_requested_index_;  // commit index at the last request
  size_t applied_bytes_ = 0;  // payload applied since the last snapshot request
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_CORE_H_
