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

}  // namespace
}  // namespace sassafras::jobcontrol
