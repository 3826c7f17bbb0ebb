// Entries resend a request that was answered with kNotRun, until its deadline.

#include "propose_reply.h"

#include <utility>

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

}  // namespace

wire::ControlReply ToControlReply(const ProposeResult& result,
                                  nlohmann::json body) {
  wire::ControlReply reply;
  reply.message = result.message;
  switch (result.outcome) {
    case consensus::Outcome::kCommitted:
    case consensus::Outcome::kBarrierPassed:
      reply.status = wire::ReplyStatus::kOk;
      reply.body = std::move(body);
      break;
    case consensus::Outcome::kNotRun:
      reply.status = IsTemporary(result.error) ? wire::ReplyStatus::kNotRun
                                               : wire::ReplyStatus::kRefused;
      break;
    case consensus::Outcome::kUnknown:
      reply.status = wire::ReplyStatus::kUnknown;
      break;
  }
  return reply;
}

}  // namespace sassafras::control
