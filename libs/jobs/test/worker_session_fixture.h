// A leader's session with the worker "w", whose clock shows 1000 ms at At(0).

#ifndef JOBS_TEST_WORKER_SESSION_FIXTURE_H_
#define JOBS_TEST_WORKER_SESSION_FIXTURE_H_

#include <chrono>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/worker_session.h"
#include "table_fixture.h"

namespace sassafras::jobs {

using std::chrono::milliseconds;

inline base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(100'000 + ms));
}

class WorkerSessionTest : public testing::Test {
 protected:
  WorkerSessionTest() { Open({}); }

  void Open(const std::vector<OpenRun>& inherited) {
    WorkerRecord record;
    record.info = Worker("w");
    record.runs = inherited;
    session_.emplace(record, SessionOptions{}, At(0));
    session_->OnHeartbeat(record.info, 1000, At(0));
  }

  HoldOutcome Poll(int64_t sent_ms, HoldReply reply = {}) {
    EXPECT_TRUE(session_->TakeHold(At(sent_ms)));
    reply.is_answered = true;
    reply.clock_ms = 1000 + sent_ms;
    return session_->OnHoldReply(reply, At(sent_ms + 1));
  }

  // Replies to a hold with a refused connection.
  void Refuse(int64_t ms) {
    ASSERT_TRUE(session_->TakeHold(At(ms)));
    HoldReply reply;
    reply.is_refused = true;
    session_->OnHoldReply(reply, At(ms));
  }

  void StartTask(uint64_t run = 1) {
    session_->Start({Task("j"), run, "text"});
  }

  std::optional<EndRun> Reply(const OrderCall& call,
                              OrderResult result,
                              int64_t ms) {
    std::optional<int64_t> clock_ms;
    if (result != OrderResult::kNoAnswer) {
      clock_ms = 1000 + ms;
    }
    return session_->OnOrderReply(call.id, {result, clock_ms}, At(ms));
  }

  // A host on the way answers in place of the worker.
  std::optional<EndRun> ReplyOnTheWay(const OrderCall& call,
                                      OrderResult result,
                                      int64_t ms) {
    return session_->OnOrderReply(call.id, {result, std::nullopt}, At(ms));
  }

  static HoldReply Running(uint64_t run) {
    HoldReply reply;
    reply.running = {{Task("j"), run, "c1", 40, 0}};
    return reply;
  }

  std::optional<WorkerSession> session_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_TEST_WORKER_SESSION_FIXTURE_H_
