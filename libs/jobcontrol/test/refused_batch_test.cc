// Tests of a leader whose replica refuses to propose its batches, because it
// has stepped down or is handing over its role.

#include <optional>

#include <gtest/gtest.h>

#include "jobcontrol/leader.h"
#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

class RefusedBatchTest : public LeaderTest {
 protected:
  // Proposes the end of a run, with nothing else in flight.
  void ReportEnd() {
    ASSERT_NO_FATAL_FAILURE(RunTask());
    jobs::HoldReply lists;
    lists.ended = {{1, FirstStart().task, 1, jobs::RunOutcome::kDone, ""}};
    context_.AnswerHolds(lists);
    ASSERT_EQ(context_.waiting(), 1U);
  }
};

// A leader that was frozen had lost its quorum when it went on. It proposed the
// same end again without a turn of the event loop, and never answered anybody
// again.
TEST_F(RefusedBatchTest, ARefusedBatchIsNotProposedAgainAtOnce) {
  ASSERT_NO_FATAL_FAILURE(ReportEnd());
  context_.RefuseNext();
  EXPECT_EQ(context_.waiting(), 0U);
}

TEST_F(RefusedBatchTest, ALeaderThatStaysProposesARefusedEndAgain) {
  ASSERT_NO_FATAL_FAILURE(ReportEnd());
  context_.RefuseNext();
  context_.Advance(milliseconds(50));
  context_.Commit();
  EXPECT_EQ(context_.table().FindJob(wire::JobId("j"))->phase,
            jobs::JobPhase::kCompleted);
}

// The same loop with starts in place of ends: each refusal made a plan, and the
// plan started the task again.
TEST_F(RefusedBatchTest, ARefusedStartIsNotPlannedAgainAtOnce) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.CommitNext();
  ASSERT_EQ(context_.waiting(), 1U);
  context_.RefuseNext();
  EXPECT_EQ(context_.waiting(), 0U);
  context_.Advance(milliseconds(50));
  context_.Commit();
  EXPECT_EQ(context_.orders.size(), 1U);
}

// A change waited for the batch in flight when the leader lost its role. Its
// caller got no answer, although the change had certainly not been recorded.
TEST_F(RefusedBatchTest, AChangeThatWasNotProposedIsRefusedWhenTheTermEnds) {
  Submit("proposed");
  std::optional<RecordResult> result;
  context_.leader->Cancel(wire::JobId("proposed"),
                          [&](RecordResult it) { result = it; });
  ASSERT_EQ(context_.waiting(), 1U);
  ASSERT_FALSE(result);
  context_.leader.reset();
  EXPECT_EQ(result, RecordResult::kNotRecorded);
}

}  // namespace
}  // namespace sassafras::jobcontrol
