// Event dispatch, the order of operations within a step, and messages that are
// deferred until the state they acknowledge is durable.

#include "core.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "wire/codec.h"

namespace sassafras::consensus {

Replica::Core::Core(const Options& options,
                    ReplicaId id,
                    uint64_t seed,
                    base::Instant now)
    : options_(options),
      self_{std::move(id), options.name},
      random_(seed),
      now_(now) {
  AwaitLeader();
}

bool Replica::Core::Recover(Recovered durable, ConsensusReason& why) {
  hard_state_ = durable.hard_state;
  if (durable.snapshot) {
    const SnapshotMeta& meta = durable.snapshot->meta;
    snapshot_ = durable.snapshot;
    log_.Reset(meta.index, meta.term);
    memberships_.Reset(meta.index, meta.membership);
    commit_index_ = meta.index;
    snapshot_requested_index_ = meta.index;
  }
  for (Record& record : durable.records) {
    if (record.index != log_.Last().Next() || record.term < log_.LastTerm() ||
        !IsDecodable(record)) {
      return why.Set(ConsensusError::kBadLog,
                     "record " + std::to_string(record.index.value()) +
                         " does not decode or does not follow record " +
                         std::to_string(log_.Last().value()));
    }
    AppendRecord(std::move(record));
  }
  durable_index_ = log_.Last();
  persist_ = {};
  UpdateRoleFromMembership();
  // The first deadline is below one election timeout: a live leader sends a
  // heartbeat well before it, and if all replicas were restarted there is no
  // leader to wait for. The pre-vote prevents a partitioned replica from
  // forcing an election.
  ResetElectionDeadline(options_.election_timeout / 3,
                        options_.election_timeout * 3 / 4);
  return true;
}

Effects Replica::Core::Step(base::Instant now, const Event& event) {
  now_ = std::max(now_, now);
  // Deadlines come first: a leader whose process was paused must step down
  // before it processes an event that arrived during the pause.
  CheckDeadlines();
  std::visit([this](const auto& it) { On(it); }, event);
  if (IsLeader()) {
    RunLeaderStep();
  }
  RequestSnapshot();
  return FinishStep();
}

void Replica::Core::CheckDeadlines() {
  if (!IsLeader()) {
    if (CanCampaign() && now_ >= election_deadline_) {
      StartPreVote();
    }
    return;
  }
  if (!HasQuorumContact()) {
    BecomeFollower(hard_state_.term, Member());
    return;
  }
  if (now_ >= heartbeat_at_) {
    StartRound();
  }
  for (Peer& peer : peers_ | std::views::values) {
    ResendIfTimedOut(peer);
  }
}

// Runs on a leader after every event.
void Replica::Core::RunLeaderStep() {
  AdvanceCommit();
  if (!IsLeader()) {
    return;  // stepped down after committing its own removal
  }
  if (memberships_.Latest().voters.size() < options_.max_voters) {
    PromoteReadyLearner();
  }
  RunTransfer();
  for (Peer& peer : peers_ | std::views::values) {
    Replicate(peer);
  }
  StartBarrierRound();
  ConfirmRounds();
}

Effects Replica::Core::FinishStep() {
  if (!persist_.IsEmpty()) {
    last_sequence_ = last_sequence_.Next();
    persist_.sequence = last_sequence_;
    unsynced_requests_.push_back({last_sequence_, log_.Last()});
    effects_.persist = std::exchange(persist_, {});
  }
  for (Message& message : step_deferred_) {
    deferred_.push_back({last_sequence_, std::move(message)});
  }
  step_deferred_.clear();
  ReleaseDeferred();
  ReportRoleChange();
  return std::exchange(effects_, {});
}

void Replica::Core::ReleaseDeferred() {
  while (!deferred_.empty() && deferred_.front().sequence <= synced_sequence_) {
    Send(std::move(deferred_.front().message));
    deferred_.pop_front();
  }
}

void Replica::Core::ReportRoleChange() {
  const RoleChange current{role_, hard_state_.term, leader_};
  const bool is_same = reported_role_ && reported_role_->role == role_ &&
                       reported_role_->term == hard_state_.term &&
                       reported_role_->leader == leader_;
  if (!is_same) {
    reported_role_ = current;
    effects_.role_change = current;
  }
}

base::Instant Replica::Core::NextDeadline() const {
  if (!IsLeader()) {
    return CanCampaign() ? election_deadline_ : base::Instant::max();
  }
  base::Instant next = heartbeat_at_;
  for (const Peer& peer : peers_ | std::views::values) {
    if (peer.HasUnanswered()) {
      next = std::min(next, peer.sent_at + options_.resend_timeout);
    }
  }
  return next;
}

// --- messages ---

Replica::Core::Handler Replica::Core::HandlerOf(MessageKind kind) {
  static const std::map<MessageKind, Handler> handlers = {
      {MessageKind::kPreVote, &Core::OnPreVote},
      {MessageKind::kPreVoteReply, &Core::OnPreVoteReply},
      {MessageKind::kVote, &Core::OnVote},
      {MessageKind::kVoteReply, &Core::OnVoteReply},
      {MessageKind::kAppend, &Core::OnAppend},
      {MessageKind::kAppendReply, &Core::OnAppendReply},
      {MessageKind::kHeartbeat, &Core::OnHeartbeat},
      {MessageKind::kHeartbeatReply, &Core::OnHeartbeatReply},
      {MessageKind::kSnapshot, &Core::OnSnapshot},
      {MessageKind::kSnapshotReply, &Core::OnSnapshotReply},
      {MessageKind::kTimeoutNow, &Core::OnTimeoutNow}};
  const auto it = handlers.find(kind);
  return it == handlers.end() ? nullptr : it->second;
}

void Replica::Core::On(const Receive& event) {
  const Message& message = event.message;
  const Handler handler = HandlerOf(message.kind);
  const bool is_for_me =
      message.to.id == self_.id && message.from.id != self_.id;
  if (is_for_me && handler != nullptr && AcceptsTerm(message)) {
    (this->*handler)(message);
  }
}

// Checks the term of a message and adopts a newer one. The handlers of votes
// and pre-votes check the term themselves, as they may leave this
// replica's term unchanged.
bool Replica::Core::AcceptsTerm(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kPreVoteReply:
    case MessageKind::kVote:
      return true;
    case MessageKind::kAppendReply:
    case MessageKind::kHeartbeatReply:
    case MessageKind::kSnapshotReply:
      if (IsLeader() && FindPeer(message.from.id) == nullptr) {
        return false;  // a removed member must not make the leader step down
      }
      break;
    default:
      break;
  }
  if (message.term < hard_state_.term) {
    ReplyToStaleTerm(message);
    return false;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, Member());
  }
  const bool is_from_leader = message.kind == MessageKind::kAppend ||
                              message.kind == MessageKind::kHeartbeat ||
                              message.kind == MessageKind::kSnapshot;
  if (is_from_leader && IsLeader()) {
    return false;
  }
  if (is_from_leader) {
    RecordLeaderContact(message.from);
  }
  return true;
}

// Reports the newer term to an old leader. Otherwise an old leader whose
// followers reject its appends would never step down.
void Replica::Core::ReplyToStaleTerm(const Message& message) {
  if (message.kind == MessageKind::kAppend ||
      message.kind == MessageKind::kHeartbeat ||
      message.kind == MessageKind::kSnapshot) {
    SendOnceDurable(MakeMessage(message.from, MessageKind::kHeartbeatReply));
  }
}

Message Replica::Core::MakeMessage(const Member& to, MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.from = self_;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

void Replica::Core::Send(Message message) {
  effects_.messages.push_back(std::move(message));
}

void Replica::Core::SendOnceDurable(Message message) {
  step_deferred_.push_back(std::move(message));
}

void Replica::Core::SetHardState(const HardState& state) {
  if (state.term != hard_state_.term) {
    // Deferred messages belong to the old term and are obsolete.
    deferred_.clear();
    step_deferred_.clear();
  }
  hard_state_ = state;
  persist_.hard_state = state;
}

// --- requests of the caller ---

void Replica::Core::Resolve(Token token,
                            Outcome outcome,
                            Index index,
                            ConsensusError error,
                            std::string message) {
  effects_.resolved.push_back(
      {token, outcome, index, {error, std::move(message)}});
}

void Replica::Core::Reject(Token token,
                           ConsensusError error,
                           std::string message) {
  Resolve(token, Outcome::kNotRun, Index(), error, std::move(message));
}

bool Replica::Core::CheckCanPropose(Token token) {
  if (!IsLeader()) {
    Reject(token, ConsensusError::kNotLeader,
           "replica \"" + self_.name.str() + "\" is not the leader");
    return false;
  }
  if (transfer_) {
    Reject(token, ConsensusError::kBusy,
           "a leadership transfer is in progress");
    return false;
  }
  return true;
}

void Replica::Core::On(const Propose& event) {
  if (!CheckCanPropose(event.token)) {
    return;
  }
  const size_t records = log_.Last().value() - commit_index_.value();
  const size_t bytes = uncommitted_bytes_ + event.payload.size();
  if (records >= options_.max_uncommitted_records ||
      bytes > options_.max_uncommitted_bytes) {
    Reject(event.token, ConsensusError::kBusy,
           std::to_string(records) +
               " records are uncommitted; the proposal would exceed "
               "max_uncommitted_records or max_uncommitted_bytes");
    return;
  }
  const Index index = AppendAsLeader(RecordKind::kCommand, event.payload);
  pending_proposals_.push_back({index, event.token});
}

void Replica::Core::On(const Bootstrap& event) {
  if (!hard_state_.term.IsNone() || !log_.Last().IsNone() || snapshot_) {
    Reject(event.token, ConsensusError::kHasState,
           "replica \"" + self_.name.str() +
               "\" already has a term, records or a snapshot");
    return;
  }
  SetHardState({Term(1), ReplicaId()});
  const Membership membership{{self_}, {}};
  AppendRecord({Term(1), Index(1), RecordKind::kMembership,
                wire::EncodeCbor(membership)});
  pending_proposals_.push_back({Index(1), event.token});
  UpdateRoleFromMembership();
  Campaign(false);
}

void Replica::Core::On(const Synced& event) {
  const bool was_vote_unsynced = IsVoteUnsynced();
  synced_sequence_ = std::max(synced_sequence_, event.sequence);
  AdvanceDurableIndex(synced_sequence_);
  if (was_vote_unsynced && !IsVoteUnsynced()) {
    OnVoteSynced();
  }
}

}  // namespace sassafras::consensus
