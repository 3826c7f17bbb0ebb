// Which calls a worker gets, and what may be concluded from its answers.

#include "jobs/worker_session.h"

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
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

  HoldOutcome Look(int64_t sent_ms, HoldReply reply = {}) {
    EXPECT_TRUE(session_->TakeHold(At(sent_ms)));
    reply.is_answered = true;
    reply.clock_ms = 1000 + sent_ms;
    return session_->OnHoldReply(reply, At(sent_ms + 1));
  }

  // Nothing listens at the worker's address.
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
    return session_->OnOrderReply(call.id, {result, std::nullopt}, At(ms));
  }

  static HoldReply Running(uint64_t run) {
    HoldReply reply;
    reply.running = {{Task("j"), run, "c1", 40, 0}};
    return reply;
  }

  std::optional<WorkerSession> session_;
};

// The load pattern: a worker crashes, and its tasks are urgent.
TEST_F(WorkerSessionTest, AWorkerThatRefusesCallsForAWhileHasEnded) {
  Look(1);
  Refuse(100);
  Refuse(400);
  EXPECT_FALSE(session_->IsOver(At(401)));
  Refuse(700);
  EXPECT_TRUE(session_->IsOver(At(701)));
}

TEST_F(WorkerSessionTest, AWorkerThatIsHeardBetweenRefusalsHasNotEnded) {
  Look(1);
  Refuse(100);
  session_->OnHeartbeat(Worker("w"), 1300, At(300));
  Refuse(400);
  Refuse(700);
  EXPECT_FALSE(session_->IsOver(At(701)));
  Look(950);
  Refuse(1200);
  EXPECT_FALSE(session_->IsOver(At(1201)));
}

TEST_F(WorkerSessionTest, ASilentWorkerHasNotEnded) {
  Look(1);
  for (int64_t ms = 100; ms < 3000; ms += 300) {
    ASSERT_TRUE(session_->TakeHold(At(ms)));
    session_->OnHoldReply({}, At(ms));
  }
  EXPECT_FALSE(session_->IsOver(At(3000)));
}

TEST_F(WorkerSessionTest, NothingIsOrderedBeforeTheWorkerWasLookedAt) {
  StartTask();
  EXPECT_TRUE(session_->TakeOrders(At(1)).empty());
  EXPECT_FALSE(session_->IsUsable(At(1)));
  Look(2);
  EXPECT_TRUE(session_->IsUsable(At(4)));
  EXPECT_EQ(session_->TakeOrders(At(4)).size(), 1U);
}

TEST_F(WorkerSessionTest, AStartWithoutAnswerIsSentAgainUntilItIsSeen) {
  Look(0);
  StartTask();
  auto calls = session_->TakeOrders(At(10));
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_FALSE(Reply(calls[0], OrderResult::kNoAnswer, 600));
  EXPECT_TRUE(session_->TakeOrders(At(700)).empty()) << "a pause first";
  calls = session_->TakeOrders(At(901));
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(std::get<StartOrder>(calls[0].order).run, 1U);
  Reply(calls[0], OrderResult::kNoAnswer, 1000);
  EXPECT_TRUE(Look(1001, Running(1)).ends.empty());
  EXPECT_TRUE(session_->TakeOrders(At(2000)).empty()) << "it runs";
}

TEST_F(WorkerSessionTest, ARejectedStartEndsTheRunAtOnce) {
  Look(0);
  StartTask();
  const auto calls = session_->TakeOrders(At(10));
  const auto end = Reply(calls[0], OrderResult::kNoRoom, 12);
  ASSERT_TRUE(end);
  EXPECT_EQ(end->how, RunEnd::kRejected);
}

// The load pattern: orders that get no answer and are carried out late.
TEST_F(WorkerSessionTest, ARejectionAfterASilenceIsOnlyBelievedAfterAStop) {
  Look(0);
  StartTask();
  auto calls = session_->TakeOrders(At(10));
  Reply(calls[0], OrderResult::kNoAnswer, 600);
  calls = session_->TakeOrders(At(1000));
  EXPECT_FALSE(Reply(calls[0], OrderResult::kNoTicket, 1001))
      << "the first order may still be carried out";
  calls = session_->TakeOrders(At(1002));
  ASSERT_EQ(calls.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<StopOrder>(calls[0].order));
  // A look that was sent before the stop was taken proves nothing.
  ASSERT_TRUE(session_->TakeHold(At(1003)));
  Reply(calls[0], OrderResult::kAccepted, 1004);
  HoldReply empty;
  empty.is_answered = true;
  EXPECT_TRUE(session_->OnHoldReply(empty, At(1005)).ends.empty());
  const auto ends = Look(1006).ends;
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].how, RunEnd::kRejected);
}

TEST_F(WorkerSessionTest, AnInheritedRunThatIsNotSeenNeverStarts) {
  Open({{Task("j"), 3, {}}});
  const auto ends = Look(0).ends;
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].run, 3U);
  EXPECT_EQ(ends[0].how, RunEnd::kRejected);
}

TEST_F(WorkerSessionTest, AnInheritedRunThatIsSeenGoesOn) {
  Open({{Task("j"), 3, {}}});
  EXPECT_TRUE(Look(0, Running(3)).ends.empty());
  EXPECT_TRUE(Look(10, Running(3)).ends.empty());
  EXPECT_EQ(session_->CheckpointOf(Task("j"), 3), "c1");
}

TEST_F(WorkerSessionTest, ARunThatNobodyOrderedIsStopped) {
  Look(0, Running(9));
  const auto calls = session_->TakeOrders(At(2));
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(std::get<StopOrder>(calls[0].order).run, 9U);
}

TEST_F(WorkerSessionTest, EndsAreForgottenOnlyOnceTheyAreRecorded) {
  Look(0);
  HoldReply reply;
  reply.ended = {{1, Task("j"), 1, RunEnd::kDone, ""}};
  const HoldOutcome outcome = Look(1, reply);
  EXPECT_EQ(outcome.end_cursor, 1U);
  EXPECT_EQ(outcome.ends.size(), 1U);
  EXPECT_FALSE(session_->TakeHold(At(3))) << "it would list the same again";
  session_->OnRecorded(1);
  const auto call = session_->TakeHold(At(4));
  ASSERT_TRUE(call);
  EXPECT_EQ(call->end_cursor, 1U);
}

TEST_F(WorkerSessionTest, SlowRecordingDoesNotLetTheLeaseLapse) {
  Look(0);
  HoldReply reply;
  reply.ended = {{1, Task("j"), 1, RunEnd::kDone, ""}};
  Look(1, reply);
  const auto call = session_->TakeHold(At(900));
  ASSERT_TRUE(call);
  EXPECT_EQ(call->end_cursor, 0U);
  EXPECT_GT(call->lease_until_ms, 0);
}

TEST_F(WorkerSessionTest, ASilentWorkerGetsNoWorkNoLeaseAndIsOverWithItsLease) {
  Look(0);
  int64_t ms = 2;
  while (!session_->IsOver(At(ms)) && ms < 20'000) {
    if (const auto call = session_->TakeHold(At(ms))) {
      session_->OnHoldReply({}, At(ms + 5));
      EXPECT_TRUE(ms < 1700 || call->lease_until_ms == 0);
    }
    ms += 50;
  }
  EXPECT_FALSE(session_->IsUsable(At(ms)));
  // The last bound was sent with the first hold that got no answer, and runs
  // 4 s on a slow clock.
  EXPECT_GT(ms, 4000);
  EXPECT_LT(ms, 7000);
}

TEST_F(WorkerSessionTest, AStopOfAnUnsentStartNeedsNoOrder) {
  StartTask();
  const auto end = session_->Stop(Task("j"), 1);
  ASSERT_TRUE(end);
  EXPECT_EQ(end->how, RunEnd::kRejected);
  Look(0);
  EXPECT_TRUE(session_->TakeOrders(At(2)).empty());
}

TEST_F(WorkerSessionTest, AStopIsSentUntilItIsTaken) {
  Look(0);
  StartTask();
  Reply(session_->TakeOrders(At(1))[0], OrderResult::kAccepted, 2);
  EXPECT_FALSE(session_->Stop(Task("j"), 1));
  auto calls = session_->TakeOrders(At(3));
  ASSERT_EQ(calls.size(), 1U);
  Reply(calls[0], OrderResult::kNoAnswer, 600);
  calls = session_->TakeOrders(At(1000));
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StopOrder>(calls[0].order));
}

// The load pattern: a wide step starts on one worker at once.
TEST_F(WorkerSessionTest, EveryStartIsSentThoughFewAreInFlight) {
  Look(0);
  for (uint32_t n = 0; n < 10; ++n) {
    session_->Start({Task("j", 0, n), 1, "text"});
  }
  size_t sent = 0;
  for (int64_t ms = 1; ms < 50; ++ms) {
    const auto calls = session_->TakeOrders(At(ms));
    // While the limit is reached, asking again must not lose what waits.
    EXPECT_TRUE(calls.size() < 3 || session_->TakeOrders(At(ms)).empty());
    for (const OrderCall& call : calls) {
      ++sent;
      Reply(call, OrderResult::kAccepted, ms);
    }
  }
  EXPECT_EQ(sent, 10U);
}

TEST_F(WorkerSessionTest, StartsBeyondTheLimitWaitForAnAnswer) {
  Look(0);
  for (uint32_t n = 0; n < 5; ++n) {
    session_->Start({Task("j", 0, n), 1, "text"});
  }
  auto calls = session_->TakeOrders(At(1));
  ASSERT_EQ(calls.size(), 3U);
  EXPECT_TRUE(session_->TakeOrders(At(2)).empty());
  EXPECT_TRUE(session_->TakeOrders(At(3)).empty());
  for (const OrderCall& call : calls) {
    Reply(call, OrderResult::kAccepted, 4);
  }
  EXPECT_EQ(session_->TakeOrders(At(5)).size(), 2U);
}

TEST_F(WorkerSessionTest, AnUnhealthyWorkerRestsForAMoment) {
  Look(0);
  StartTask();
  const auto end =
      Reply(session_->TakeOrders(At(1))[0], OrderResult::kUnhealthy, 2);
  ASSERT_TRUE(end);
  EXPECT_FALSE(session_->IsUsable(At(3)));
}

}  // namespace
}  // namespace sassafras::jobs
