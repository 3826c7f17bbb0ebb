// Tests that a worker which was declared lost is told to start nothing until
// the loss is recorded, however long that takes and whatever it answers
// meanwhile.

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

class RemovedWorkerTest : public LeaderTest {
 protected:
  // The start of a task on the worker "w" got no answer, and "w" was silent
  // until its lease had ended. Its loss is proposed and not recorded yet, and
  // the last hold is still open.
  void DeclareLost() {
    ASSERT_NO_FATAL_FAILURE(OrderTask());
    while (context_.waiting() == 0 && !HasTimedOut()) {
      LoseOrders();
      context_.Advance(milliseconds(100));
    }
    ASSERT_EQ(context_.waiting(), 1U);
    LoseOrders();
  }

  void LoseOrders() {
    for (auto& order : std::exchange(context_.orders, {})) {
      order.done({});
    }
  }

  // "w" answers the open hold.
  void Return() {
    context_.AnswerHolds({});
    context_.Advance(milliseconds(200));
    context_.AnswerHolds({});
  }

  bool HasTimedOut() const { return context_.ClockMs() > kGiveUpMs; }
};

// The worker was told to start the run that was being recorded as ended, which
// then ran beside the next one.
TEST_F(RemovedWorkerTest, AReturnWhileTheLossIsRecordedRepeatsNoStart) {
  ASSERT_NO_FATAL_FAILURE(DeclareLost());
  Return();
  EXPECT_TRUE(context_.orders.empty());
}

TEST_F(RemovedWorkerTest, ALossThatWasNotRecordedIsProposedAgain) {
  ASSERT_NO_FATAL_FAILURE(DeclareLost());
  context_.RefuseNext();
  Return();
  EXPECT_TRUE(context_.orders.empty());
  context_.Advance(milliseconds(50));
  context_.Commit();
  EXPECT_EQ(context_.table().FindWorker(wire::WorkerId("w")), nullptr);
}

// The replies to the calls of a session were taken for those of the next one
// with the same boot: a late rejection of its first start ended the first run
// of the next session, which the worker carried out.
TEST_F(RemovedWorkerTest, AReplyToACallOfAnEarlierSessionEndsNoRun) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  auto first_start = std::exchange(context_.orders, {});
  context_.holds.clear();
  while (context_.waiting() == 0 && !HasTimedOut()) {
    context_.Advance(milliseconds(100));
  }
  context_.Commit();
  ASSERT_EQ(context_.table().FindWorker(wire::WorkerId("w")), nullptr);
  AddWorker("w");
  context_.AnswerHolds({});
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 1U);
  const jobs::StartOrder second = FirstStart();
  first_start[0].done({jobs::OrderResult::kTooLate, context_.ClockMs()});
  context_.Commit();
  const auto* worker = context_.table().FindWorker(wire::WorkerId("w"));
  EXPECT_NE(worker->FindRun(second.task, second.run), nullptr);
  EXPECT_EQ(context_.orders.size(), 1U);
}

// So was the reply to a hold, after which two were open at once.
TEST_F(RemovedWorkerTest, AReplyToAHoldOfAnEarlierSessionOpensNoOther) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  auto first_holds = std::exchange(context_.holds, {});
  ASSERT_EQ(first_holds.size(), 1U);
  while (context_.waiting() == 0 && !HasTimedOut()) {
    context_.Advance(milliseconds(100));
  }
  context_.Commit();
  AddWorker("w");
  ASSERT_EQ(context_.holds.size(), 1U);
  first_holds[0].done({true, false, context_.ClockMs(), {}, {}});
  context_.Advance(milliseconds(100));
  EXPECT_EQ(context_.holds.size(), 1U);
}

// The lists of a later boot were taken for those of the removed one.
TEST_F(RemovedWorkerTest, TheListsOfAnotherBootReportNoEnds) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  const jobs::StartOrder start = FirstStart();
  const auto holds = std::exchange(context_.holds, {});
  while (context_.waiting() == 0 && !HasTimedOut()) {
    context_.Advance(milliseconds(100));
  }
  context_.Commit();
  jobs::HoldReply reply;
  reply.clock_ms = context_.ClockMs();
  reply.ended = {{1, start.task, start.run, jobs::RunOutcome::kDone, ""}};
  holds.at(0).done(reply);
  context_.Commit();
  EXPECT_FALSE(context_.table()
                   .FindJob(start.task.step.job)
                   ->FindTask(start.task)
                   ->is_done);
}

}  // namespace
}  // namespace sassafras::jobcontrol
