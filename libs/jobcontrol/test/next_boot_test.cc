// Tests what becomes of a start that may reach the next boot of its worker.

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

// The next boot of a worker under the same id carried out a start that was
// meant for the boot before, beside the run that was started elsewhere.
TEST_F(LeaderTest, AStartIsStoppedInTheNextBootBeforeItsTaskRestarts) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  const jobs::StartOrder first = FirstStart();
  context_.orders.at(0).done({});
  context_.orders.clear();
  AddWorker("v");
  jobs::WorkerInfo next_boot = Worker("w");
  ++next_boot.boot.started_ms;
  for (int n = 0; n < 10; ++n) {
    context_.leader->OnHeartbeat(next_boot, context_.ClockMs(),
                                 [](RecordResult) {});
    context_.Commit();
    context_.AnswerHolds({});
    context_.Commit();
    for (const auto& sent : std::exchange(context_.orders, {})) {
      if (std::holds_alternative<jobs::StopOrder>(sent.call.order)) {
        return;
      }
      const auto* start = std::get_if<jobs::StartOrder>(&sent.call.order);
      ASSERT_TRUE(start == nullptr || start->run == first.run)
          << "the task starts on " << sent.worker.boot.id.str()
          << " before its first run was stopped";
      sent.done({});
    }
    context_.Advance(milliseconds(100));
  }
  FAIL() << "the start was never stopped";
}

// Calls that were meant for the boot before acknowledged ends of the next one
// that nobody had read, so that tasks ran again although they were done.
TEST_F(LeaderTest, CallsForALaterBootHaveAHigherFencingToken) {
  AddWorker("w");
  uint64_t highest = context_.holds.at(0).fencing_token;
  context_.AnswerHolds({});
  jobs::WorkerInfo later_boot = Worker("w");
  for (int n = 0; n < 3; ++n) {
    context_.holds.clear();
    ++later_boot.boot.started_ms;
    context_.leader->OnHeartbeat(later_boot, context_.ClockMs(),
                                 [](RecordResult) {});
    context_.Commit();
    ASSERT_EQ(context_.holds.size(), 1U);
    EXPECT_EQ(context_.holds[0].worker.boot, later_boot.boot);
    EXPECT_GT(context_.holds[0].fencing_token, highest);
    highest = context_.holds[0].fencing_token;
  }
  Elect(2);
  context_.Advance(milliseconds(50));
  ASSERT_EQ(context_.holds.size(), 1U);
  EXPECT_GT(context_.holds[0].fencing_token, highest);
}

}  // namespace
}  // namespace sassafras::jobcontrol
