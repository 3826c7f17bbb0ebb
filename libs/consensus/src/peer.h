// A leader's view of one other member: replication progress and last contact.

#ifndef CONSENSUS_PEER_H_
#define CONSENSUS_PEER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"
#include "consensus/types.h"

namespace sassafras::consensus {

enum class PeerMode {
  kProbe,      // the matching index is unknown; appends are sent one at a time
  kReplicate,  // appends are pipelined
  kSnapshot,  // the next record is compacted; snapshot chunks are sent one at a
              // time
};

struct Peer {
  Member member;
  PeerMode mode = PeerMode::kProbe;
  // Last record known to be durable at the peer; never decreases within a term.
  Index match_index;
  Index next_index;                 // next record to send; above match_index
  std::deque<Index> in_flight;      // last record of each unanswered append
  bool is_probe_in_flight = false;  // kProbe: one append is unanswered
  // Start of the resend timeout: the last append or chunk sent, or append reply
  // received.
  base::Instant sent_at;
  base::Instant contact_at;  // last reply of any kind
  uint64_t round = 0;        // last heartbeat round it has replied to

  std::optional<Snapshot> snapshot;  // kSnapshot: the snapshot being streamed
  uint64_t offset = 0;  // kSnapshot: bytes that the peer has received

  // Returns whether an append or snapshot chunk awaits a reply.
  bool HasUnanswered() const {
    return is_probe_in_flight || !in_flight.empty() ||
           mode == PeerMode::kSnapshot;
  }

  void ResetToProbe() {
    mode = PeerMode::kProbe;
    next_index = match_index.Next();
    in_flight.clear();
    is_probe_in_flight = false;
    snapshot.reset();
    offset = 0;
  }
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_PEER_H_
