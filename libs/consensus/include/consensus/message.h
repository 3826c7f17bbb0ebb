// The message type that replicas exchange, with its JSON and CBOR encoding. The
// protocol tolerates lost, duplicated, delayed and reordered messages.

#ifndef CONSENSUS_MESSAGE_H_
#define CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "consensus/types.h"

namespace sassafras::consensus {

enum class MessageKind {
  kPreVote,  // asks for a vote without changing the receiver's state
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,  // log records that follow `index`
  kAppendReply,
  kHeartbeat,  // resets election timers; carries the number of its round
  kHeartbeatReply,
  kSnapshot,  // one chunk of a snapshot stream
  kSnapshotReply,
  kTimeoutNow,  // leadership transfer: start an election at once
};
NLOHMANN_JSON_SERIALIZE_ENUM(MessageKind,
                             {{MessageKind::kPreVote, "pre-vote"},
                              {MessageKind::kPreVoteReply, "pre-vote-reply"},
                              {MessageKind::kVote, "vote"},
                              {MessageKind::kVoteReply, "vote-reply"},
                              {MessageKind::kAppend, "append"},
                              {MessageKind::kAppendReply, "append-reply"},
                              {MessageKind::kHeartbeat, "heartbeat"},
                              {MessageKind::kHeartbeatReply, "heartbeat-reply"},
                              {MessageKind::kSnapshot, "snapshot"},
                              {MessageKind::kSnapshotReply, "snapshot-reply"},
                              {MessageKind::kTimeoutNow, "timeout-now"}})

// `to.name` determines the destination address. A receiver whose id differs
// from `to.id` drops the message, so that a message for a lost disk does not
// reach its replacement.
struct Message {
  MessageKind kind = MessageKind::kHeartbeat;
  Member from;
  Member to;
  Term
      term;  // the sender's term; for a pre-vote, the term it would campaign in

  // Vote and pre-vote: index and term of the candidate's last record. Append:
  // index and term of the record before `records`. Append reply: index of the
  // last matching record or, in a rejection, of the record that did not match.
  Index index;
  Term log_term;
  Index commit;                 // append, heartbeat: the leader's commit index
  std::vector<Record> records;  // append only

  bool is_granted = false;  // vote, pre-vote and append replies
  bool is_transfer =
      false;   // vote: requested by the leader that transfers leadership
  Index hint;  // append rejection: index of a record that may match

  uint64_t round = 0;  // heartbeat and its reply: heartbeat round

  // Snapshot chunks and their replies. `offset` is the position of `data` in
  // the snapshot in bytes; in a reply, the position of the next byte to send.
  SnapshotMeta snapshot;
  uint64_t offset = 0;
  uint64_t total_bytes = 0;
  std::string data;
};
void to_json(nlohmann::json& out, const Message& message);
void from_json(const nlohmann::json& in, Message& message);

}  // namespace sassafras::consensus

#endif  // CONSENSUS_MESSAGE_H_
