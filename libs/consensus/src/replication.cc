// Log replication: pipelined appends, log matching, commit by a quorum, and
// resending of unanswered appends.

#include <algorithm>
#include <functional>
#include <ranges>
#include <utility>
#include <vector>

#include "core.h"
#include "wire/codec.h"

namespace sassafras::consensus {

// --- the local log ---

std::optional<Membership> Replica::Core::DecodeMembership(
    const Record& record) {
  if (record.kind != RecordKind::kMembership) {
    return std::nullopt;
  }
  wire::CodecReason why;
  return wire::DecodeCbor<Membership>(record.payload, why);
}

bool Replica::Core::IsDecodable(const Record& record) {
  return record.kind != RecordKind::kMembership || DecodeMembership(record);
}

void Replica::Core::AppendRecord(Record record) {
  if (auto membership = DecodeMembership(record)) {
    memberships_.Append(record.index, std::move(*membership));
  }
  persist_.records.push_back(record);
  log_.Append(std::move(record));
}

Index Replica::Core::AppendAsLeader(RecordKind kind, std::string payload) {
  const Index index = log_.Last().Next();
  uncommitted_bytes_ += payload.size();
  AppendRecord({hard_state_.term, index, kind, std::move(payload)});
  return index;
}

void Replica::Core::TruncateFrom(Index index) {
  const Index last = Minus(index, 1);
  log_.TruncateFrom(index);
  memberships_.TruncateFrom(index);
  persist_.truncate_from = index;
  durable_index_ = std::min(durable_index_, last);
  for (UnsyncedRequest& it : unsynced_requests_) {
    it.last_index = std::min(it.last_index, last);
  }
}

void Replica::Core::AdvanceDurableIndex(Sequence sequence) {
  while (!unsynced_requests_.empty() &&
         unsynced_requests_.front().sequence <= sequence) {
    durable_index_ = unsynced_requests_.front().last_index;
    unsynced_requests_.pop_front();
  }
}

// --- follower ---

void Replica::Core::OnAppend(const Message& message) {
  const auto term = log_.TermAt(message.index);
  // Compacted records were committed, so they match.
  const bool is_match =
      message.index < log_.Base() || (term && *term == message.log_term);
  if (!is_match) {
    RejectAppend(message);
    return;
  }
  if (!MergeRecords(message)) {
    return;
  }
  const Index match = Plus(message.index, message.records.size());
  CommitTo(std::min(message.commit, match));
  Message reply = MakeMessage(message.from, MessageKind::kAppendReply);
  reply.is_granted = true;
  reply.index = match;
  SendOnceDurable(std::move(reply));
}

// Appends missing records and truncates conflicting ones. Returns false without
// any change if the message is inconsistent or conflicts with committed
// records.
bool Replica::Core::MergeRecords(const Message& message) {
  Index expected = message.index;
  for (const Record& record : message.records) {
    expected = expected.Next();
    const auto term = log_.TermAt(record.index);
    const bool is_conflict = term && *term != record.term;
    if (record.index != expected || !IsDecodable(record) ||
        (is_conflict && expected <= commit_index_)) {
      return false;
    }
  }
  bool is_changed = false;
  for (const Record& record : message.records) {
    const auto term = log_.TermAt(record.index);
    if (record.index <= log_.Base() || (term && *term == record.term)) {
      continue;
    }
    if (term) {
      TruncateFrom(record.index);
    }
    AppendRecord(record);
    is_changed = true;
  }
  if (is_changed) {
    UpdateRoleFromMembership();
  }
  return true;
}

void Replica::Core::RejectAppend(const Message& message) {
  Index hint = std::min(log_.Last(), Minus(message.index, 1));
  if (const auto term = log_.TermAt(message.index)) {
    // Skips all records of the conflicting term.
    while (hint > commit_index_ && log_.TermAt(hint) == term) {
      hint = Minus(hint, 1);
    }
  }
  Message reply = MakeMessage(message.from, MessageKind::kAppendReply);
  reply.index = message.index;
  reply.hint = std::max(hint, commit_index_);
  SendOnceDurable(std::move(reply));
}

void Replica::Core::OnHeartbeat(const Message& message) {
  CommitTo(std::min(message.commit, log_.Last()));
  Message reply = MakeMessage(message.from, MessageKind::kHeartbeatReply);
  reply.round = message.round;
  Send(std::move(reply));
}

void Replica::Core::CommitTo(Index index) {
  const Index before = commit_index_;
  while (commit_index_ < index) {
    commit_index_ = commit_index_.Next();
    const Record& record = log_.At(commit_index_);
    applied_bytes_ += record.payload.size();
    effects_.committed.push_back(record);
  }
  if (commit_index_ > before && IsLeader()) {
    ResolveCommitted(before);
  }
}

void Replica::Core::ResolveCommitted(Index before) {
  uncommitted_bytes_ -= log_.PayloadBytes(before, commit_index_);
  while (!pending_proposals_.empty() &&
         pending_proposals_.front().index <= commit_index_) {
    Resolve(pending_proposals_.front().token, Outcome::kCommitted,
            pending_proposals_.front().index);
    pending_proposals_.pop_front();
  }
  StepDownIfRemoved();
}

// --- leader ---

Peer* Replica::Core::FindPeer(const ReplicaId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

std::optional<Index> Replica::Core::MatchOf(const ReplicaId& id) const {
  if (!IsLeader()) {
    return std::nullopt;
  }
  if (id == self_.id) {
    return durable_index_;
  }
  const auto it = peers_.find(id);
  return it == peers_.end() ? std::nullopt
                            : std::optional(it->second.match_index);
}

void Replica::Core::OnAppendReply(const Message& message) {
  Peer* peer = FindPeer(message.from.id);
  if (!IsLeader() || peer == nullptr) {
    return;
  }
  peer->contact_at = now_;
  if (!message.is_granted) {
    const bool is_stale = message.index <= peer->match_index;
    const bool is_other_probe = peer->mode == PeerMode::kProbe &&
                                message.index != Minus(peer->next_index, 1);
    if (is_stale || is_other_probe || peer->mode == PeerMode::kSnapshot) {
      return;
    }
    peer->ResetToProbe();
    peer->next_index =
        std::clamp(message.hint, peer->match_index, log_.Last()).Next();
    return;
  }
  if (message.index > log_.Last()) {
    return;  // cannot be a reply to an append of this leader
  }
  peer->match_index = std::max(peer->match_index, message.index);
  peer->next_index = std::max(peer->next_index, peer->match_index.Next());
  peer->sent_at = now_;
  std::erase_if(peer->in_flight,
                [&](Index last) { return last <= peer->match_index; });
  const bool is_streaming = peer->mode == PeerMode::kSnapshot &&
                            peer->match_index < peer->snapshot->meta.index;
  if (peer->mode != PeerMode::kReplicate && !is_streaming) {
    peer->ResetToProbe();
    peer->mode = PeerMode::kReplicate;
  }
}

void Replica::Core::OnHeartbeatReply(const Message& message) {
  Peer* peer = FindPeer(message.from.id);
  if (IsLeader() && peer != nullptr) {
    peer->contact_at = now_;
    peer->round = std::max(peer->round, std::min(message.round, last_round_));
  }
}

// Returns the highest index that is durable on a quorum.
Index Replica::Core::QuorumMatch() const {
  const Membership& membership = memberships_.Latest();
  std::vector<Index> matches;
  for (const Member& voter : membership.voters) {
    const auto it = peers_.find(voter.id);
    const Index match = it == peers_.end() ? Index() : it->second.match_index;
    matches.push_back(voter.id == self_.id ? durable_index_ : match);
  }
  std::ranges::sort(matches, std::greater<>());
  return matches.empty() ? Index() : matches[membership.Quorum() - 1];
}

// Only a record of the leader's term is committed by counting replicas; earlier
// records are committed along with it.
void Replica::Core::AdvanceCommit() {
  const Index index = QuorumMatch();
  if (index > commit_index_ && log_.TermAt(index) == hard_state_.term) {
    CommitTo(index);
  }
}

void Replica::Core::Replicate(Peer& peer) {
  if (peer.mode == PeerMode::kSnapshot) {
    return;
  }
  if (peer.next_index <= log_.Base()) {
    StartSnapshotStream(peer);
    return;
  }
  if (peer.mode == PeerMode::kProbe) {
    // A peer without recent contact is probed with an empty append.
    const bool is_alive = now_ - peer.contact_at < options_.election_timeout;
    if (!peer.is_probe_in_flight) {
      SendAppend(peer, is_alive);
      peer.is_probe_in_flight = true;
    }
    return;
  }
  while (peer.next_index <= log_.Last() &&
         peer.in_flight.size() < options_.max_appends_in_flight) {
    SendAppend(peer, true);
  }
}

void Replica::Core::SendAppend(Peer& peer, bool with_records) {
  const Index before = Minus(peer.next_index, 1);
  Message message = MakeMessage(peer.member, MessageKind::kAppend);
  message.index = before;
  message.log_term = *log_.TermAt(before);
  message.commit = commit_index_;
  size_t bytes = 0;
  Index last = before;
  while (with_records && last < log_.Last() &&
         message.records.size() < options_.max_append_records) {
    const Record& record = log_.At(last.Next());
    bytes += record.payload.size();
    if (bytes > options_.max_append_bytes && !message.records.empty()) {
      break;
    }
    message.records.push_back(record);
    last = last.Next();
  }
  peer.sent_at = now_;
  if (peer.mode == PeerMode::kReplicate) {
    peer.next_index = last.Next();
    peer.in_flight.push_back(last);
  }
  Send(std::move(message));
}

void Replica::Core::BroadcastHeartbeat() {
  heartbeat_at_ = now_ + options_.heartbeat;
  for (const Peer& peer : peers_ | std::views::values) {
    Message message = MakeMessage(peer.member, MessageKind::kHeartbeat);
    // A follower's records after match_index may still conflict with the
    // leader's.
    message.commit = std::min(commit_index_, peer.match_index);
    message.round = last_round_;
    Send(std::move(message));
  }
}

void Replica::Core::ResendIfTimedOut(Peer& peer) {
  if (!peer.HasUnanswered() || now_ < peer.sent_at + options_.resend_timeout) {
    return;
  }
  if (peer.mode == PeerMode::kSnapshot) {
    SendSnapshotChunk(peer);
  } else {
    peer.ResetToProbe();
  }
}

}  // namespace sassafras::consensus
