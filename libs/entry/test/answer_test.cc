// Tests of the mapping from command results to HTTP answers.

#include <gtest/gtest.h>

#include "api_context.h"
#include "wire/commands.h"

namespace sassafras::entry {
namespace {

wire::ControlReply ReplyOf(wire::ResultCode code) {
  wire::ControlReply reply;
  reply.status = wire::ReplyStatus::kOk;
  reply.body = wire::CommandResult{code, "m", {}};
  return reply;
}

// The owner's quota is exhausted, but may become available later.
TEST(AnswerTest, ExhaustedQuotaIsNotRunWithRetryAfter) {
  const http::Answer answer =
      AnswerToQuotaResult(ReplyOf(wire::ResultCode::kForbidden), 201, "again");
  EXPECT_EQ(answer.status, 429);
  EXPECT_NE(http::FindHeader(answer.headers, "Retry-After"), "");
  const auto body = nlohmann::json::parse(answer.body);
  EXPECT_EQ(body["outcome"], "not-run");
  EXPECT_GT(body["retry_after_ms"], 0);
}

TEST(AnswerTest, OtherResultsMatchAnswerToResult) {
  for (const auto code : {wire::ResultCode::kOk, wire::ResultCode::kDuplicate,
                          wire::ResultCode::kConflict}) {
    EXPECT_EQ(AnswerToQuotaResult(ReplyOf(code), 201, "again").status,
              AnswerToResult(ReplyOf(code), 201, "again").status);
  }
  EXPECT_EQ(
      AnswerToResult(ReplyOf(wire::ResultCode::kForbidden), 200, "").status,
      403);
}

}  // namespace
}  // namespace sassafras::entry
