// Tests when a step whose permitted workers are full asks about others.

#include <algorithm>

#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace sassafras::jobs {
namespace {

constexpr int64_t kPlanPeriodMs = 50;  // shorter than the pause of a search

class AdviceSearchTest : public SchedulerTest {
 protected:
  // Makes plans one after the other, as a leader does, and returns whether one
  // of them asks about `worker` for the job.
  bool AsksAbout(const std::string& job, const WorkerBoot& worker) {
    const int64_t end = now_ms_ + 1000;
    for (; now_ms_ < end; now_ms_ += kPlanPeriodMs) {
      const Plan plan = MakePlan(now_ms_);
      const bool is_asked =
          std::ranges::any_of(plan.advice_requests, [&](auto& request) {
            return request.step.job == wire::JobId(job) &&
                   std::ranges::find(request.candidates, worker) !=
                       request.candidates.end();
          });
      if (is_asked) {
        return true;
      }
    }
    return false;
  }

  // The only worker is full, and the job may run there.
  void PermitFullWorker(StepSpec step) {
    RequireAdvice();
    AddWorker(Worker("full"));
    FillWorker("full");
    AddJob("j", {std::move(step)});
    GrantPermits(MakePlan(now_ms_), now_ms_);
    ASSERT_FALSE(AsksAbout("j", Boot("full"))) << "the permit is known";
  }

  int64_t now_ms_ = 0;
};

// Each plan began the pause between two searches anew, so that a step with one
// full permitted worker never asked about workers that joined later: its job
// waited for good beside empty workers.
TEST_F(AdviceSearchTest, ATaskAsksAboutAWorkerThatJoinsLater) {
  ASSERT_NO_FATAL_FAILURE(PermitFullWorker(Step(1)));
  AddWorker(Worker("new"));
  EXPECT_TRUE(AsksAbout("j", Boot("new")));
}

TEST_F(AdviceSearchTest, ATaskAsksAboutALaterLifeOfAWorker) {
  ASSERT_NO_FATAL_FAILURE(PermitFullWorker(Step(1)));
  AddWorker(Worker("again", 1));
  ASSERT_TRUE(AsksAbout("j", Boot("again", 1)));
  const auto assigned = advice_.AssignQueries(MakePlan(now_ms_).advice_requests,
                                              kHosts, At(now_ms_));
  ASSERT_EQ(assigned.size(), 1U);
  advice_.OnAnswer(assigned[0].query.id, {}, At(now_ms_));
  EXPECT_FALSE(AsksAbout("j", Boot("again", 1))) << "it was refused";
  AddWorker(Worker("again", 2));
  EXPECT_TRUE(AsksAbout("j", Boot("again", 2)));
}

TEST_F(AdviceSearchTest, AGangAsksAboutAWorkerThatJoinsLater) {
  StepSpec gang = Step(2);
  gang.is_gang = true;
  ASSERT_NO_FATAL_FAILURE(PermitFullWorker(gang));
  AddWorker(Worker("new"));
  EXPECT_TRUE(AsksAbout("j", Boot("new")));
}

// Plans of a few steps come between the plans of all.
TEST_F(AdviceSearchTest, PlansOfAFewStepsDoNotBeginThePauseAnew) {
  ASSERT_NO_FATAL_FAILURE(PermitFullWorker(Step(1)));
  AddWorker(Worker("new"));
  bool is_asked = false;
  const int64_t end = now_ms_ + 1000;
  for (; now_ms_ < end && !is_asked; now_ms_ += kPlanPeriodMs) {
    const PlanSources sources = Sources(fixture_.table, usable_, hosts_);
    const Plan few = scheduler_.MakePlanFor({{wire::JobId("j"), 0, 0}}, sources,
                                            At(now_ms_));
    is_asked = !few.advice_requests.empty();
  }
  EXPECT_TRUE(is_asked);
}

}  // namespace
}  // namespace sassafras::jobs
