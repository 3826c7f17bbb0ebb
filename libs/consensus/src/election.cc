// Leader election: pre-vote, votes, stepping down, and rejecting vote requests
// while this replica has contact to a live leader.

#include <algorithm>
#include <ranges>
#include <tuple>

#include "core.h"

namespace sassafras::consensus {
namespace {

// Longest wait for votes, as a multiple of the first one: an answer takes a
// sync of the voter's disk.
constexpr int64_t kMaxVoteWaitFactor = 8;

}  // namespace

void Replica::Core::ResetElectionDeadline(base::Duration from,
                                          base::Duration to) {
  const auto spread = static_cast<uint64_t>((to - from).count());
  election_deadline_ =
      now_ + from +
      base::Duration(random_.Below(std::max<uint64_t>(spread, 1)));
}

void Replica::Core::AwaitLeader() {
  ResetElectionDeadline(options_.election_timeout,
                        2 * options_.election_timeout);
}

bool Replica::Core::IsUpToDate(const Message& message) const {
  return std::tie(message.log_term, message.index) >=
         std::make_tuple(log_.LastTerm(), log_.Last());
}

// Votes are rejected while this is true, so that a replica which rejoins after
// a partition cannot depose a live leader.
bool Replica::Core::HasLeaderContact() const {
  return IsLeader() || (leader_contact_at_ &&
                        now_ - *leader_contact_at_ < options_.election_timeout);
}

void Replica::Core::RecordLeaderContact(const Member& leader) {
  if (role_ == Role::kCandidate || leader_ != leader) {
    BecomeFollower(hard_state_.term, leader);
  }
  leader_contact_at_ = now_;
  vote_wait_factor_ = 1;
  AwaitLeader();
}

void Replica::Core::StartPreVote() {
  role_ = Role::kCandidate;
  is_pre_vote_ = true;
  leader_ = Member();
  votes_ = {self_.id};
  ResetElectionDeadline(options_.election_timeout / 4,
                        options_.election_timeout / 2);
  for (const Member& voter : memberships_.Latest().voters) {
    if (voter.id == self_.id) {
      continue;
    }
    Message message = MakeMessage(voter, MessageKind::kPreVote);
    message.term = hard_state_.term.Next();
    message.index = log_.Last();
    message.log_term = log_.LastTerm();
    Send(std::move(message));
  }
  TallyVotes();
}

// Must not change the state of this replica.
void Replica::Core::OnPreVote(const Message& message) {
  Message reply = MakeMessage(message.from, MessageKind::kPreVoteReply);
  reply.is_granted = message.term > hard_state_.term && !HasLeaderContact() &&
                     IsUpToDate(message);
  if (reply.is_granted) {
    reply.term = message.term;
  }
  Send(std::move(reply));
}

void Replica::Core::OnPreVoteReply(const Message& message) {
  if (!message.is_granted) {
    if (message.term > hard_state_.term) {
      BecomeFollower(message.term, Member());
    }
    return;
  }
  const bool is_current = role_ == Role::kCandidate && is_pre_vote_ &&
                          message.term == hard_state_.term.Next();
  if (is_current) {
    votes_.insert(message.from.id);
    TallyVotes();
  }
}

// A campaign whose votes don't arrive in time is given up for one of a later
// term, which makes them worthless. With disks slower than that, no campaign
// would ever end: each one waits twice as long as the one before.
void Replica::Core::ResetVoteDeadline() {
  const auto wait = vote_wait_factor_ * options_.election_timeout;
  ResetElectionDeadline(wait / 2, wait);
}

// A vote counts, and is told to the candidate, once it is durable.
bool Replica::Core::IsVoteUnsynced() const {
  return vote_sequence_ > synced_sequence_;
}

// A campaign while the last vote is being written would make that vote
// worthless, and drop this replica's own requests for votes unsent.
bool Replica::Core::CanCampaign() const {
  return role_ != Role::kLearner && !IsVoteUnsynced();
}

// The wait for the outcome begins here, however long the sync took.
void Replica::Core::OnVoteSynced() {
  if (role_ == Role::kFollower && leader_.id.empty()) {
    AwaitLeader();
  }
  if (role_ == Role::kCandidate && !is_pre_vote_) {
    votes_.insert(self_.id);
    ResetVoteDeadline();
    vote_wait_factor_ = std::min(2 * vote_wait_factor_, kMaxVoteWaitFactor);
    TallyVotes();
  }
}

void Replica::Core::Campaign(bool is_transfer) {
  SetHardState({hard_state_.term.Next(), self_.id});
  role_ = Role::kCandidate;
  is_pre_vote_ = false;
  leader_ = Member();
  votes_.clear();
  vote_sequence_ = StepSequence();
  for (const Member& voter : memberships_.Latest().voters) {
    if (voter.id == self_.id) {
      continue;
    }
    Message message = MakeMessage(voter, MessageKind::kVote);
    message.index = log_.Last();
    message.log_term = log_.LastTerm();
    message.is_transfer = is_transfer;
    SendOnceDurable(std::move(message));
  }
}

void Replica::Core::OnVote(const Message& message) {
  if (HasLeaderContact() && !message.is_transfer) {
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, Member());
  }
  const bool can_vote =
      hard_state_.voted_for.empty() || hard_state_.voted_for == message.from.id;
  Message reply = MakeMessage(message.from, MessageKind::kVoteReply);
  reply.is_granted =
      message.term == hard_state_.term && can_vote && IsUpToDate(message);
  if (reply.is_granted) {
    SetHardState({hard_state_.term, message.from.id});
    vote_sequence_ = StepSequence();
    AwaitLeader();
  }
  SendOnceDurable(std::move(reply));
}

void Replica::Core::OnVoteReply(const Message& message) {
  if (role_ == Role::kCandidate && !is_pre_vote_ && message.is_granted) {
    votes_.insert(message.from.id);
    TallyVotes();
  }
}

void Replica::Core::OnTimeoutNow(const Message&) {
  if (role_ == Role::kFollower && memberships_.Latest().IsVoter(self_.id)) {
    Campaign(true);
  }
}

void Replica::Core::TallyVotes() {
  const Membership& membership = memberships_.Latest();
  const auto granted = std::ranges::count_if(
      membership.voters,
      [this](const Member& voter) { return votes_.contains(voter.id); });
  if (static_cast<size_t>(granted) < membership.Quorum()) {
    return;
  }
  if (is_pre_vote_) {
    Campaign(false);
  } else {
    BecomeLeader();
  }
}

void Replica::Core::BecomeFollower(Term term, const Member& leader) {
  if (IsLeader()) {
    ClearLeaderState(ConsensusError::kLostLeader);
  }
  if (term > hard_state_.term) {
    SetHardState({term, ReplicaId()});
  }
  if (role_ != Role::kFollower && role_ != Role::kLearner) {
    AwaitLeader();
  }
  role_ = Role::kFollower;
  leader_ = leader;
  UpdateRoleFromMembership();
}

void Replica::Core::BecomeLeader() {
  role_ = Role::kLeader;
  vote_wait_factor_ = 1;
  leader_ = self_;
  incoming_snapshot_.reset();
  peers_.clear();
  barriers_.clear();
  transfer_.reset();
  confirmed_round_ = last_round_;
  open_rounds_.clear();
  leadership_confirmed_at_.reset();
  uncommitted_bytes_ = log_.PayloadBytes(commit_index_, log_.Last());
  term_start_index_ = log_.Last().Next();
  RefreshPeers();
  AppendAsLeader(RecordKind::kNoop, {});
  StartRound();
}

// Resolves all pending requests and clears the leader's state. Appended records
// resolve as unknown, as the next leader may still commit them.
void Replica::Core::ClearLeaderState(ConsensusError error) {
  for (const PendingProposal& it : pending_proposals_) {
    Resolve(it.token, Outcome::kUnknown, it.index, error,
            "leadership was lost before the record was committed");
  }
  for (const Barrier& it : barriers_) {
    Reject(it.token, error,
           "leadership was lost before a quorum confirmed the read barrier");
  }
  pending_proposals_.clear();
  barriers_.clear();
  open_rounds_.clear();
  leadership_confirmed_at_.reset();
  peers_.clear();
  transfer_.reset();
}

// Returns whether a quorum has replied within the last election timeout.
bool Replica::Core::HasQuorumContact() const {
  const Membership& membership = memberships_.Latest();
  const auto is_in_contact = [this](const Member& voter) {
    if (voter.id == self_.id) {
      return true;
    }
    const auto it = peers_.find(voter.id);
    return it != peers_.end() &&
           now_ - it->second.contact_at < options_.election_timeout;
  };
  const auto in_contact =
      std::ranges::count_if(membership.voters, is_in_contact);
  return static_cast<size_t>(in_contact) >= membership.Quorum();
}

std::map<ReplicaId, base::Instant> Replica::Core::Contacts() const {
  std::map<ReplicaId, base::Instant> contacts;
  for (const auto& [id, peer] : peers_) {
    contacts.emplace(id, peer.contact_at);
  }
  return contacts;
}

// A replica that is not a voter in the latest membership of its log becomes a
// learner and never campaigns.
void Replica::Core::UpdateRoleFromMembership() {
  const bool is_voter = memberships_.Latest().IsVoter(self_.id);
  if (IsLeader()) {
    return;
  }
  if (!is_voter) {
    role_ = Role::kLearner;
  } else if (role_ == Role::kLearner) {
    role_ = Role::kFollower;
    AwaitLeader();
  }
}

}  // namespace sassafras::consensus
