// Entries resend a request that was answered with kNotRun, until its deadline.

#include "cluster_reply.h"

#include "leader_term.h"

namespace sassafras::control {
namespace {

// Returns whether the rejection ends by itself: with the commit of the change
// before, the end of a transfer, or another leader.
bool IsTemporary(consensus::ConsensusError error) {
  switch (error) {
    case consensus::ConsensusError::kNotLeader:
    case consensus::ConsensusError::kBusy:
    case consensus::ConsensusError::kInProgress:
    case consensus::ConsensusError::kNoCommitInTerm:
      return true;
    default:
      return false;
  }
}

wire::ReplyStatus StatusOf(const ProposeResult& result) {
  if (result.outcome == consensus::Outcome::kUnknown) {
    return wire::ReplyStatus::kUnknown;
  }
  return IsTemporary(result.error) ? wire::ReplyStatus::kNotRun
                                   : wire::ReplyStatus::kRefused;
}

}  // namespace

wire::ControlReply ToClusterReply(const ProposeResult& result) {
  if (result.outcome == consensus::Outcome::kCommitted) {
    return OkReply(nlohmann::json::object());
  }
  wire::ControlReply reply;
  reply.status = StatusOf(result);
  reply.message = result.message;
  return reply;
}

}  // namespace sassafras::control
