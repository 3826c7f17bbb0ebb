// Tests which proposals are refused for good.

#include "propose_reply.h"

#include <gtest/gtest.h>

namespace sassafras::control {
namespace {

using consensus::ConsensusError;
using consensus::Outcome;
using wire::ReplyStatus;

ReplyStatus StatusOf(Outcome outcome, ConsensusError error) {
  return ToControlReply({.outcome = outcome, .error = error, .message = "why"},
                        {})
      .status;
}

// Guards against an operator who is told that the cluster refuses a change that
// it only can't make yet, such as one sent again while the first sending is
// under way.
TEST(ProposeReplyTest, AChangeThatCanNotBeMadeYetIsNotRefused) {
  for (const auto error :
       {ConsensusError::kNotLeader, ConsensusError::kBusy,
        ConsensusError::kInProgress, ConsensusError::kNoCommitInTerm}) {
    EXPECT_EQ(StatusOf(Outcome::kNotRun, error), ReplyStatus::kNotRun);
  }
}

TEST(ProposeReplyTest, AChangeThatNeverCanBeMadeIsRefused) {
  for (const auto error :
       {ConsensusError::kIsMember, ConsensusError::kNotMember,
        ConsensusError::kLastVoter}) {
    EXPECT_EQ(StatusOf(Outcome::kNotRun, error), ReplyStatus::kRefused);
  }
}

TEST(ProposeReplyTest, AChangeThatMayStillBeMadeIsUnknown) {
  EXPECT_EQ(StatusOf(Outcome::kUnknown, ConsensusError::kLostLeader),
            ReplyStatus::kUnknown);
  EXPECT_EQ(StatusOf(Outcome::kCommitted, ConsensusError::kNone),
            ReplyStatus::kOk);
}

}  // namespace
}  // namespace sassafras::control
