// Tests which jobs of a queue count as waiting.

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

class WaitingJobsTest : public LeaderTest {
 protected:
  uint64_t CountWaitingJobs() const {
    return context_.table().CountWaitingJobs(jobs::QueueId("q"));
  }
  void PassTime() {
    for (int n = 0; n < 20; ++n) {
      context_.Advance(milliseconds(50));
      context_.Commit();
    }
  }
};

// Callers were told that no job waits while none had begun: a recorded start
// counted as one, although its worker was silent and never began the run.
TEST_F(WaitingJobsTest, AJobWaitsWhileNoWorkerShowsThatItHasBegun) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  EXPECT_EQ(CountWaitingJobs(), 1U);
  context_.orders.at(0).done({});
  PassTime();
  EXPECT_EQ(CountWaitingJobs(), 1U);
}

TEST_F(WaitingJobsTest, AJobWhoseWorkerWasLostBeforeItAnsweredWaits) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  context_.orders.at(0).done({});
  jobs::WorkerInfo next_boot = Worker("w");
  ++next_boot.boot.started_ms;
  context_.leader->OnHeartbeat(next_boot, context_.ClockMs(),
                               [](RecordResult) {});
  context_.Commit();
  EXPECT_EQ(CountWaitingJobs(), 1U);
}

TEST_F(WaitingJobsTest, AJobDoesNotWaitOnceAWorkerHasAcceptedAStart) {
  ASSERT_NO_FATAL_FAILURE(RunTask());
  PassTime();
  EXPECT_EQ(CountWaitingJobs(), 0U);
}

TEST_F(WaitingJobsTest, AJobDoesNotWaitOnceAWorkerListsARun) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  const jobs::StartOrder start = FirstStart();
  context_.orders.at(0).done({});
  PassTime();
  jobs::HoldReply lists;
  lists.running = {{start.task, start.run, "", 10, 0}};
  context_.AnswerHolds(lists);
  PassTime();
  EXPECT_EQ(CountWaitingJobs(), 0U);
}

TEST_F(WaitingJobsTest, AJobDoesNotWaitOnceAWorkerReportsAnEnd) {
  ASSERT_NO_FATAL_FAILURE(OrderTask());
  const jobs::StartOrder start = FirstStart();
  context_.orders.at(0).done({});
  PassTime();
  jobs::HoldReply lists;
  lists.ended = {{1, start.task, start.run, jobs::RunOutcome::kFailed, ""}};
  context_.AnswerHolds(lists);
  context_.CommitNext();
  EXPECT_EQ(CountWaitingJobs(), 0U);
}

// That a job has begun is not forgotten when its record is refused.
TEST_F(WaitingJobsTest, ABegunJobIsRecordedAgainAfterARefusal) {
  ASSERT_NO_FATAL_FAILURE(RunTask());
  context_.Advance(milliseconds(1000));
  ASSERT_EQ(context_.waiting(), 1U);
  context_.RefuseNext();
  PassTime();
  EXPECT_EQ(CountWaitingJobs(), 0U);
}

}  // namespace
}  // namespace sassafras::jobcontrol
