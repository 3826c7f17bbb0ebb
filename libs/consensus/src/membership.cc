// Membership changes, one at a time; promotion of learners that have caught up;
// leadership transfer.

#include <algorithm>
#include <ranges>
#include <utility>

#include "core.h"
#include "wire/codec.h"

namespace sassafras::consensus {

// A membership takes effect when it is appended. The next change must wait
// until this one is committed, because two overlapping changes could have
// disjoint quorums.
bool Replica::Core::IsChangePending() const {
  return memberships_.LatestIndex() > commit_index_;
}

bool Replica::Core::CheckCanChangeMembership(Token token) {
  if (!CheckCanPropose(token)) {
    return false;
  }
  if (!HasCommittedInTerm()) {
    Reject(token, ConsensusError::kNoCommitInTerm,
           "the new leader has not committed a record of its term");
    return false;
  }
  if (IsChangePending()) {
    Reject(token, ConsensusError::kInProgress,
           "the previous membership change is not committed yet");
    return false;
  }
  return true;
}

void Replica::Core::On(const AddLearner& event) {
  if (!CheckCanChangeMembership(event.token)) {
    return;
  }
  Membership membership = memberships_.Latest();
  const Member& member = event.member;
  if (membership.Find(member.id) != nullptr ||
      membership.FindByName(member.name) != nullptr) {
    Reject(event.token, ConsensusError::kIsMember,
           "replica \"" + member.name.str() +
               "\" has the id or name of an existing member");
    return;
  }
  membership.learners.push_back(member);
  const Index index = ChangeMembership(std::move(membership));
  pending_proposals_.push_back({index, event.token});
}

void Replica::Core::On(const RemoveMember& event) {
  if (!CheckCanChangeMembership(event.token)) {
    return;
  }
  Membership membership = memberships_.Latest();
  if (membership.Find(event.id) == nullptr) {
    Reject(event.token, ConsensusError::kNotMember,
           "replica id " + event.id.str() + " is not a member");
    return;
  }
  const auto is_removed = [&](const Member& it) { return it.id == event.id; };
  std::erase_if(membership.voters, is_removed);
  std::erase_if(membership.learners, is_removed);
  if (membership.voters.empty()) {
    Reject(event.token, ConsensusError::kLastVoter,
           "the last voter cannot be removed");
    return;
  }
  const Index index = ChangeMembership(std::move(membership));
  pending_proposals_.push_back({index, event.token});
}

Index Replica::Core::ChangeMembership(Membership membership) {
  const Index index =
      AppendAsLeader(RecordKind::kMembership, wire::EncodeCbor(membership));
  RefreshPeers();
  return index;
}

void Replica::Core::RefreshPeers() {
  const Membership& membership = memberships_.Latest();
  std::erase_if(peers_, [&](const auto& it) {
    return membership.Find(it.first) == nullptr;
  });
  for (const auto* list : {&membership.voters, &membership.learners}) {
    for (const Member& member : *list) {
      if (member.id == self_.id || peers_.contains(member.id)) {
        continue;
      }
      Peer peer;
      peer.member = member;
      peer.next_index = log_.Last().Next();
      peer.sent_at = now_;
      peer.contact_at = now_;
      peers_.emplace(member.id, std::move(peer));
    }
  }
}

// A leader that has committed its own removal transfers leadership to the most
// up-to-date voter and steps down.
void Replica::Core::StepDownIfRemoved() {
  const bool is_removed = memberships_.LatestIndex() <= commit_index_ &&
                          !memberships_.Latest().IsVoter(self_.id);
  if (!is_removed) {
    return;
  }
  if (const Peer* peer = MostUpToDateVoter()) {
    SendTimeoutNow(peer->member);
  }
  BecomeFollower(hard_state_.term, Member());
}

// A learner may vote once it is at most promotion_lag_records behind. It then
// lacks only records in flight and can replace another voter that is lost right
// after the promotion. It must have replied just now: one that is lost would
// count towards the quorum.
bool Replica::Core::IsReadyToVote(const Member& learner) const {
  const auto it = peers_.find(learner.id);
  return it != peers_.end() && it->second.mode == PeerMode::kReplicate &&
         now_ - it->second.contact_at < 2 * options_.heartbeat &&
         Plus(it->second.match_index, options_.promotion_lag_records) >=
             log_.Last();
}

size_t Replica::Core::CountReadyLearners() const {
  return static_cast<size_t>(
      std::ranges::count_if(memberships_.Latest().learners,
                            [this](auto& it) { return IsReadyToVote(it); }));
}

void Replica::Core::On(const PromoteLearner&) {
  if (IsLeader()) {
    PromoteReadyLearner();
  }
}

void Replica::Core::PromoteReadyLearner() {
  if (IsChangePending() || !HasCommittedInTerm() || transfer_) {
    return;
  }
  Membership membership = memberships_.Latest();
  const auto it = std::ranges::find_if(
      membership.learners,
      [this](const Member& learner) { return IsReadyToVote(learner); });
  if (it == membership.learners.end()) {
    return;
  }
  membership.voters.push_back(*it);
  membership.learners.erase(it);
  ChangeMembership(std::move(membership));
}

// --- leadership transfer ---

// A repeated request tells the same voter again. Two candidates in one term
// would split the votes.
void Replica::Core::On(const TransferLeadership& event) {
  if (!IsLeader() || memberships_.Latest().voters.size() < 2) {
    return;
  }
  if (transfer_) {
    transfer_->is_timeout_now_sent = false;
    return;
  }
  transfer_ = Transfer{event.target, now_ + options_.election_timeout};
}

const Peer* Replica::Core::MostUpToDateVoter() const {
  const Peer* best = nullptr;
  for (const Peer& peer : peers_ | std::views::values) {
    const bool is_voter = memberships_.Latest().IsVoter(peer.member.id);
    if (is_voter && (best == nullptr || peer.match_index > best->match_index)) {
      best = &peer;
    }
  }
  return best;
}

void Replica::Core::RunTransfer() {
  if (!transfer_) {
    return;
  }
  if (now_ >= transfer_->deadline) {
    transfer_.reset();
    return;
  }
  const Peer* peer =
      transfer_->target ? FindPeer(*transfer_->target) : MostUpToDateVoter();
  const bool is_ready = peer != nullptr && peer->match_index == log_.Last() &&
                        memberships_.Latest().IsVoter(peer->member.id);
  if (is_ready && !transfer_->is_timeout_now_sent) {
    transfer_->is_timeout_now_sent = true;
    transfer_->target = peer->member.id;
    SendTimeoutNow(peer->member);
  }
}

void Replica::Core::SendTimeoutNow(const Member& to) {
  Send(MakeMessage(to, MessageKind::kTimeoutNow));
}

}  // namespace sassafras::consensus
