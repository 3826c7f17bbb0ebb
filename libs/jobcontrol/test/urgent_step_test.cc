// Tests that the leader doesn't let urgent steps wait for a plan of all steps,
// which takes long in a large fleet.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

constexpr milliseconds kPlanTime(30);

// A queue that requires advice, one usable worker, and plans that take long.
class UrgentStepTest : public LeaderTest {
 protected:
  UrgentStepTest() {
    jobs::Manifest manifest = context_.table().manifest();
    ++manifest.version;
    manifest.queues[0].advice = {true, 20, 0.3, 2000};
    context_.leader->PutManifest(manifest, [](RecordResult) {});
    context_.Commit();
    AddWorker("w");
    context_.Advance(milliseconds(1));
    context_.AnswerHolds({});
    context_.advisers = {wire::EntryId("a"), wire::EntryId("b")};
    context_.plan_time = kPlanTime;
  }

  // Makes a plan of all steps, after which the next one is not due for a while.
  void PlanAllSteps() {
    context_.Advance(20 * kPlanTime);
    context_.Commit();
  }

  void AnswerQuery(size_t n) {
    std::vector<jobs::Permit> permits;
    for (const wire::WorkerId& worker : context_.queries.at(n).query.workers) {
      permits.push_back({worker, "ticket"});
    }
    context_.queries.at(n).done(permits);
  }
};

TEST_F(UrgentStepTest, AnAnswerIsUsedBeforeTheNextPlanOfAllSteps) {
  Submit("j");
  context_.Commit();
  PlanAllSteps();
  ASSERT_EQ(context_.queries.size(), 1U);
  AnswerQuery(0);
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 1U);
  EXPECT_EQ(FirstStart().ticket, "ticket");
}

TEST_F(UrgentStepTest, ANewJobIsAskedAboutBeforeTheNextPlanOfAllSteps) {
  Submit("waits");
  context_.Commit();
  PlanAllSteps();
  ASSERT_EQ(context_.queries.size(), 1U);
  Submit("j");
  context_.Commit();
  ASSERT_EQ(context_.queries.size(), 2U);
  EXPECT_EQ(context_.queries[1].query.step.job, wire::JobId("j"));
}

}  // namespace
}  // namespace sassafras::jobcontrol
