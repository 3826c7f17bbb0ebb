// Tests what doesn't prove that a run is over: answers that may not be the
// worker's, and lists that may not be whole.

#include "worker_session_fixture.h"

namespace sassafras::jobs {
namespace {

// Answers of hosts on the way, with statuses of the protocol and without the
// worker's clock, were taken for the worker's: tasks whose starts had been
// carried out were started again elsewhere.
TEST_F(WorkerSessionTest, ARejectionWithoutTheWorkersClockEndsNoRun) {
  using enum OrderResult;
  for (const OrderResult result :
       {kUnhealthy, kMalformed, kNoCapacity, kTooLate, kNoTicket}) {
    Open({});
    Poll(0);
    StartTask();
    auto calls = session_->TakeOrders(At(10));
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_FALSE(ReplyOnTheWay(calls[0], result, 12));
    calls = session_->TakeOrders(At(12));
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<StopOrder>(calls[0].order));
    EXPECT_FALSE(ReplyOnTheWay(calls[0], kAccepted, 13));
    EXPECT_TRUE(Poll(14).ends.empty()) << "the stop isn't known to be taken";
    calls = session_->TakeOrders(At(200));
    ASSERT_EQ(calls.size(), 1U);
    Reply(calls[0], kAccepted, 201);
    EXPECT_EQ(Poll(800).ends.size(), 1U);
  }
}

TEST_F(WorkerSessionTest, AnAcceptanceWithoutTheWorkersClockIsAskedForAgain) {
  Poll(0);
  StartTask();
  int64_t ms = 10;
  for (const OrderResult result :
       {OrderResult::kAccepted, OrderResult::kOutdated}) {
    const auto calls = session_->TakeOrders(At(ms));
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<StartOrder>(calls[0].order));
    EXPECT_FALSE(ReplyOnTheWay(calls[0], result, ms + 1));
    ms += 200;
  }
  EXPECT_TRUE(session_->IsStartPending(Task("j"), 1));
}

// The row of a running task that couldn't be read was left out, and its task
// was started again beside it.
TEST_F(WorkerSessionTest, ARunIsNotAbsentFromAListThatIsReadInPart) {
  Open({{Task("j"), 3, {}}});
  HoldReply reply;
  reply.unread_running = 1;
  EXPECT_TRUE(Poll(0, reply).ends.empty());
  EXPECT_EQ(Poll(800).ends.size(), 1U);
}

// A run that was being stopped and wasn't listed meanwhile counted as one that
// had never begun, and its task was started again beside it.
TEST_F(WorkerSessionTest, ARunThatIsBeingStoppedMayBeMissingFromTheLists) {
  constexpr milliseconds kStopTime(900);
  WorkerRecord record;
  record.info = Worker("w");
  SessionOptions options;
  options.stop_time = kStopTime;
  session_.emplace(record, options, At(0));
  session_->OnHeartbeat(record.info, 1000, At(0));
  Poll(0);
  StartTask();
  Reply(session_->TakeOrders(At(10))[0], OrderResult::kAccepted, 11);
  EXPECT_FALSE(session_->Stop(Task("j"), 1));
  Reply(session_->TakeOrders(At(20))[0], OrderResult::kAccepted, 21);
  EXPECT_TRUE(Poll(30).ends.empty());
  EXPECT_TRUE(Poll(900).ends.empty());
  EXPECT_EQ(Poll(930).ends.size(), 1U);
}

// A start whose answer may not have been the worker's counted as unsent when it
// was withdrawn.
TEST_F(WorkerSessionTest, AStartWithAnAnswerOnTheWayIsNotUnsent) {
  Poll(0);
  StartTask();
  ReplyOnTheWay(session_->TakeOrders(At(10))[0], OrderResult::kOtherBoot, 11);
  EXPECT_FALSE(session_->Stop(Task("j"), 1));
  const auto calls = session_->TakeOrders(At(12));
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StopOrder>(calls[0].order));
}

}  // namespace
}  // namespace sassafras::jobs
