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

}  // namespace
}  // namespace sassafras::jobcontrol
