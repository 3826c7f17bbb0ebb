// Events in, effects out: dispatch, the order of a step, and messages that
// wait until what they acknowledge is durable.

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
  ResetElectionDeadline(options_.election_timeout,
                        2 * options_.election_timeout);
}

bool Replica::Core::Recover(Recovered durable, ConsensusReason& why) {
  hard_ = durable.hard_state;
  if (durable.snapshot) {
    const SnapshotMeta& meta = durable.snapshot->meta;
    snapshot_ = durable.snapshot;
    log_.Reset(meta.index, meta.term);
    memberships_.Reset(meta.index, meta.membership);
    commit_ = meta.index;
    snapshot_asked_at_ = meta.index;
  }
  for (Record& record : durable.records) {
    if (record.index != log_.Last().Next() || record.term < log_.LastTerm() ||
        !IsReadable(record)) {
      return why.Set(ConsensusError::kBadLog,
                     "record " + std::to_string(record.index.value()) +
                         " is not readable or does not follow record " +
                         std::to_string(log_.Last().value()));
    }
    AppendRecord(std::move(record));
  }
  durable_ = log_.Last();
  persist_ = {};
  FollowMembership();
  // A live leader is heard long before; where there is none, because all
  // replicas were started again, nobody gains by waiting. The pre-vote keeps
  // one that is cut off from disturbing others.
  ResetElectionDeadline(options_.election_timeout / 3,
                        options_.election_timeout * 3 / 4);
  return true;
}

Effects Replica::Core::Step(base::Instant now, const Event& event) {
  now_ = std::max(now_, now);
  // First the deadlines: a leader that was paused must not act on what
  // reached it before it has found out that its time is over.
  RunDeadlines();
  std::visit([this](const auto& it) { On(it); }, event);
  if (IsLeader()) {
    LeadStep();
  }
  AskForSnapshot();
  return Finish();
}

void Replica::Core::RunDeadlines() {
  if (!IsLeader()) {
    if (now_ >= election_deadline_ && role_ != Role::kLearner) {
      StartPreVote();
    }
    return;
  }
  if (!HasQuorumContact()) {
    BecomeFollower(hard_.term, Member());
    return;
  }
  if (now_ >= heartbeat_at_) {
    StartRound();
    BroadcastHeartbeat();
  }
  for (Peer& peer : peers_ | std::views::values) {
    ResendTo(peer);
  }
}

// What a leader does after every event.
void Replica::Core::LeadStep() {
  AdvanceCommit();
  if (!IsLeader()) {
    return;  // it has committed its own removal
  }
  PromoteLearner();
  RunTransfer();
  for (Peer& peer : peers_ | std::views::values) {
    Replicate(peer);
  }
  if (passed_round_ == round_) {
    StartRound();
  }
  PassBarriers();
}

Effects Replica::Core::Finish() {
  if (!persist_.IsEmpty()) {
    last_sequence_ = last_sequence_.Next();
    persist_.sequence = last_sequence_;
    unsynced_.push_back({last_sequence_, log_.Last()});
    effects_.persist = std::exchange(persist_, {});
  }
  for (Message& message : step_holds_) {
    held_.push_back({last_sequence_, std::move(message)});
  }
  step_holds_.clear();
  ReleaseHeld();
  ReportRole();
  return std::exchange(effects_, {});
}

void Replica::Core::ReleaseHeld() {
  while (!held_.empty() && held_.front().sequence <= synced_) {
    Send(std::move(held_.front().message));
    held_.pop_front();
  }
}

void Replica::Core::ReportRole() {
  const RoleChange current{role_, hard_.term, leader_};
  const bool is_same = reported_role_ && reported_role_->role == role_ &&
                       reported_role_->term == hard_.term &&
                       reported_role_->leader == leader_;
  if (!is_same) {
    reported_role_ = current;
    effects_.role_change = current;
  }
}

base::Instant Replica::Core::NextDeadline() const {
  if (role_ == Role::kLearner) {
    return base::Instant::max();
  }
  if (!IsLeader()) {
    return election_deadline_;
  }
  base::Instant next = heartbeat_at_;
  for (const Peer& peer : peers_ | std::views::values) {
    if (peer.IsWaiting()) {
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

// Votes look at the term themselves, as they may leave it unchanged.
bool Replica::Core::AcceptsTerm(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kPreVoteReply:
    case MessageKind::kVote:
      return true;
    case MessageKind::kAppendReply:
    case MessageKind::kHeartbeatReply:
    case MessageKind::kSnapshotReply:
      if (IsLeader() && PeerOf(message.from.id) == nullptr) {
        return false;  // a removed member doesn't end a leadership
      }
      break;
    default:
      break;
  }
  if (message.term < hard_.term) {
    AnswerOldTerm(message);
    return false;
  }
  if (message.term > hard_.term) {
    BecomeFollower(message.term, Member());
  }
  const bool is_from_leader = message.kind == MessageKind::kAppend ||
                              message.kind == MessageKind::kHeartbeat ||
                              message.kind == MessageKind::kSnapshot;
  if (is_from_leader && IsLeader()) {
    return false;
  }
  if (is_from_leader) {
    HearLeader(message.from);
  }
  return true;
}

// An old leader must learn that there is a newer term, or it would never step
// down where its follower can't accept its appends.
void Replica::Core::AnswerOldTerm(const Message& message) {
  if (message.kind == MessageKind::kAppend ||
      message.kind == MessageKind::kHeartbeat ||
      message.kind == MessageKind::kSnapshot) {
    SendOnceDurable(MessageTo(message.from, MessageKind::kHeartbeatReply));
  }
}

Message Replica::Core::MessageTo(const Member& to, MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.from = self_;
  message.to = to;
  message.term = hard_.term;
  return message;
}

void Replica::Core::Send(Message message) {
  effects_.messages.push_back(std::move(message));
}

void Replica::Core::SendOnceDurable(Message message) {
  step_holds_.push_back(std::move(message));
}

void Replica::Core::SetHardState(const HardState& state) {
  if (state.term != hard_.term) {
    // What waits to be sent speaks for the old term; nobody waits for it.
    held_.clear();
    step_holds_.clear();
  }
  hard_ = state;
  persist_.hard_state = state;
}

// --- what the caller asks for ---

void Replica::Core::Resolve(Token token,
                            Outcome outcome,
                            Index index,
                            ConsensusError error,
                            std::string message) {
  effects_.resolved.push_back(
      {token, outcome, index, {error, std::move(message)}});
}

void Replica::Core::Refuse(Token token,
                           ConsensusError error,
                           std::string message) {
  Resolve(token, Outcome::kNotRun, Index(), error, std::move(message));
}

bool Replica::Core::CheckLeading(Token token) {
  if (!IsLeader()) {
    Refuse(token, ConsensusError::kNotLeader,
           "replica \"" + self_.name.str() + "\" is not the leader");
    return false;
  }
  if (transfer_) {
    Refuse(token, ConsensusError::kBusy, "leadership is being handed over");
    return false;
  }
  return true;
}

void Replica::Core::On(const Propose& event) {
  if (!CheckLeading(event.token)) {
    return;
  }
  const size_t records = log_.Last().value() - commit_.value();
  const size_t bytes = uncommitted_bytes_ + event.payload.size();
  if (records >= options_.max_uncommitted_records ||
      bytes > options_.max_uncommitted_bytes) {
    Refuse(event.token, ConsensusError::kBusy,
           std::to_string(records) + " records wait for a quorum");
    return;
  }
  const Index index = AppendOwn(RecordKind::kCommand, event.payload);
  waiting_.push_back({index, event.token});
}

void Replica::Core::On(const Form& event) {
  if (!hard_.term.IsNone() || !log_.Last().IsNone() || snapshot_) {
    Refuse(event.token, ConsensusError::kHasState,
           "replica \"" + self_.name.str() + "\" already has state");
    return;
  }
  SetHardState({Term(1), ReplicaId()});
  const Membership membership{{self_}, {}};
  AppendRecord({Term(1), Index(1), RecordKind::kMembership,
                wire::EncodeCbor(membership)});
  waiting_.push_back({Index(1), event.token});
  FollowMembership();
  Campaign(false);
}

void Replica::Core::On(const Synced& event) {
  synced_ = std::max(synced_, event.sequence);
  OnDurable(synced_);
  CountOwnVote();
}

}  // namespace sassafras::consensus
