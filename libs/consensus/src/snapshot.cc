// Snapshots: requesting them, compacting the log, and streaming them in chunks
// to members whose next record is compacted.

#include <algorithm>
#include <memory>
#include <utility>

#include "core.h"

namespace sassafras::consensus {

Index Replica::Core::SnapshotIndex() const {
  return snapshot_ ? snapshot_->meta.index : Index();
}

// --- snapshots of the local state machine ---

void Replica::Core::RequestSnapshot() {
  const size_t records =
      commit_index_.value() - snapshot_requested_index_.value();
  const bool is_due =
      records >= options_.snapshot_after_records ||
      applied_bytes_ >= options_.snapshot_after_bytes ||
      (applied_bytes_ >= options_.learner_snapshot_bytes && HasEmptyLearner());
  if (is_due && records > 0) {
    snapshot_requested_index_ = commit_index_;
    applied_bytes_ = 0;
    effects_.take_snapshot_at = commit_index_;
  }
}

bool Replica::Core::HasEmptyLearner() const {
  return IsLeader() &&
         std::ranges::any_of(
             memberships_.Latest().learners, [this](const Member& member) {
               const auto it = peers_.find(member.id);
               return it != peers_.end() && it->second.match_index.IsNone() &&
                      it->second.mode != PeerMode::kSnapshot;
             });
}

void Replica::Core::On(const SnapshotTaken& event) {
  const auto term = log_.TermAt(event.index);
  const bool is_new =
      event.index > SnapshotIndex() && event.index <= commit_index_;
  if (!is_new || !term || event.bytes == nullptr) {
    return;
  }
  const SnapshotMeta meta{event.index, *term, memberships_.At(event.index)};
  snapshot_ = Snapshot{meta, event.bytes};
  persist_.snapshot = snapshot_;
  const Index base = Minus(event.index, options_.retained_records);
  log_.CompactTo(base);
  memberships_.CompactTo(base);
}

// --- leader ---

void Replica::Core::StartSnapshotStream(Peer& peer) {
  if (!snapshot_) {
    return;
  }
  peer.ResetToProbe();
  peer.mode = PeerMode::kSnapshot;
  peer.snapshot = snapshot_;
  SendSnapshotChunk(peer);
}

void Replica::Core::SendSnapshotChunk(Peer& peer) {
  const std::string& bytes = *peer.snapshot->bytes;
  Message message = MakeMessage(peer.member, MessageKind::kSnapshot);
  message.snapshot = peer.snapshot->meta;
  message.offset = peer.offset;
  message.total_bytes = bytes.size();
  message.data = bytes.substr(peer.offset, options_.snapshot_chunk_bytes);
  peer.sent_at = now_;
  Send(std::move(message));
}

void Replica::Core::OnSnapshotReply(const Message& message) {
  Peer* peer = FindPeer(message.from.id);
  if (!IsLeader() || peer == nullptr) {
    return;
  }
  peer->contact_at = now_;
  const bool is_current = peer->mode == PeerMode::kSnapshot &&
                          message.snapshot.index == peer->snapshot->meta.index;
  if (!is_current || message.offset > peer->snapshot->bytes->size()) {
    return;
  }
  // A duplicate of an earlier reply; the requested chunk was already sent.
  if (message.offset == peer->offset) {
    return;
  }
  peer->offset = message.offset;
  SendSnapshotChunk(*peer);
}

// --- follower ---

void Replica::Core::OnSnapshot(const Message& message) {
  const SnapshotMeta& meta = message.snapshot;
  if (meta.index <= commit_index_) {
    Message reply = MakeMessage(message.from, MessageKind::kAppendReply);
    reply.is_granted = true;
    reply.index = meta.index;
    SendOnceDurable(std::move(reply));
    return;
  }
  if (!incoming_snapshot_ || incoming_snapshot_->meta != meta ||
      incoming_snapshot_->total_bytes != message.total_bytes) {
    incoming_snapshot_ = IncomingSnapshot{meta, message.total_bytes, {}};
  }
  std::string& data = incoming_snapshot_->data;
  const bool is_next = message.offset == data.size() &&
                       message.data.size() <= message.total_bytes - data.size();
  if (is_next) {
    data += message.data;
  }
  Message reply = MakeMessage(message.from, MessageKind::kSnapshotReply);
  reply.snapshot.index = meta.index;
  reply.offset = data.size();
  if (data.size() < message.total_bytes) {
    Send(std::move(reply));
    return;
  }
  InstallSnapshot({meta, std::make_shared<const std::string>(std::move(data))});
  incoming_snapshot_.reset();
  reply = MakeMessage(message.from, MessageKind::kAppendReply);
  reply.is_granted = true;
  reply.index = meta.index;
  SendOnceDurable(std::move(reply));
}

void Replica::Core::InstallSnapshot(Snapshot snapshot) {
  const SnapshotMeta& meta = snapshot.meta;
  if (log_.TermAt(meta.index) == meta.term) {
    CommitTo(meta.index);  // the log already has the records
    return;
  }
  if (log_.Last() > meta.index) {
    persist_.truncate_from = meta.index.Next();
  }
  log_.Reset(meta.index, meta.term);
  memberships_.Reset(meta.index, meta.membership);
  commit_index_ = meta.index;
  durable_index_ = std::min(durable_index_, commit_index_);
  for (UnsyncedRequest& it : unsynced_requests_) {
    it.last_index = std::min(it.last_index, commit_index_);
  }
  snapshot_requested_index_ = meta.index;
  applied_bytes_ = 0;
  persist_.snapshot = snapshot;
  effects_.restore = snapshot;
  snapshot_ = std::move(snapshot);
  UpdateRoleFromMembership();
}

}  // namespace sassafras::consensus
