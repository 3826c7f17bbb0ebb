// Tests which jobs and reports of workers are refused for their numbers, and
// that the largest allowed ones can be computed with.

#include <gtest/gtest.h>

#include "jobs/job_timing.h"
#include "jobs/types.h"
#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

constexpr int64_t kTooMuch = int64_t{1} << 53;
constexpr base::WallMs kNow = 1'781'415'977'075;

JobSpec OneStep() {
  return {"text", {Step(1)}};
}

TEST(JobLimits, NumbersThatSumsCannotHoldAreRefused) {
  int64_t StepSpec::*const times[] = {&StepSpec::estimate_ms,
                                      &StepSpec::target_latency_ms};
  for (const auto member : times) {
    for (const int64_t value : {kTooMuch, int64_t{-1}}) {
      JobSpec spec = OneStep();
      spec.steps[0].*member = value;
      EXPECT_NE(FaultOf(spec), "");
    }
  }
  int64_t Resources::*const needs[] = {
      &Resources::cpu_milli, &Resources::mem_mb, &Resources::accelerators};
  for (const auto member : needs) {
    for (const int64_t value : {kTooMuch, int64_t{-1}}) {
      JobSpec spec = OneStep();
      spec.steps[0].need.*member = value;
      EXPECT_NE(FaultOf(spec), "");
    }
  }
  int64_t JobSpec::*const due_times[] = {&JobSpec::first_due_ms,
                                         &JobSpec::interval_ms};
  for (const auto member : due_times) {
    for (const int64_t value : {kTooMuch, int64_t{-1}}) {
      JobSpec spec = OneStep();
      spec.occurrences = 1;
      spec.*member = value;
      EXPECT_NE(FaultOf(spec), "");
    }
  }
  JobSpec spec = OneStep();
  spec.occurrences = UINT64_MAX;
  EXPECT_NE(FaultOf(spec), "");
  EXPECT_EQ(FaultOf(OneStep()), "");
}

// Each task occupies memory on each control host: 256 steps of 10,000 tasks
// took 200 of 256 MB there.
TEST(JobLimits, AJobHasALimitedNumberOfTasksInAllSteps) {
  JobSpec spec{"text", {Step(5'000), Step(5'000)}};
  EXPECT_EQ(FaultOf(spec), "");
  spec.steps.push_back(Step(1));
  EXPECT_NE(FaultOf(spec), "");
  spec.steps = {Step(UINT32_MAX), Step(UINT32_MAX)};
  EXPECT_NE(FaultOf(spec), "");
}

// 200 jobs with a text of 250,000 bytes took the control hosts over their
// memory.
TEST(JobLimits, ATextOfMoreThanFourThousandBytesIsRefused) {
  JobSpec spec = OneStep();
  spec.payload.assign(4'000, 'x');
  EXPECT_EQ(FaultOf(spec), "");
  spec.payload.push_back('x');
  EXPECT_NE(FaultOf(spec), "");
}

// An overflow put the due time into the past, so that the job outranked all
// others.
TEST(JobLimits, TheLargestEstimatesGiveALateDueTime) {
  const base::Instant now = base::Instant(std::chrono::seconds(100));
  Queue queue;
  queue.stretch = 1e6;
  queue.target_latency_ms = 1'000'000'000'000;
  JobSpec spec;
  for (uint32_t n = 0; n < 256; ++n) {
    spec.steps.push_back(Step(1));
    spec.steps.back().estimate_ms = 1'000'000'000'000;
    if (n > 0) {
      spec.steps.back().after = {n - 1};
    }
  }
  ASSERT_EQ(FaultOf(spec), "");
  const JobTiming timing(spec, &queue, now);
  EXPECT_GT(timing.DueTimeOf(queue, 0, now).at, now);
}

// The start in the future outranked each later life of the worker, whose
// heartbeats were then taken for delayed ones.
TEST(WorkerLimits, AStartInTheFutureIsRefused) {
  WorkerInfo worker = Worker("w", kNow);
  EXPECT_EQ(FaultOf(worker, kNow), "");
  EXPECT_EQ(FaultOf(worker, kNow - 10'000), "") << "clocks differ by seconds";
  worker.boot.started_ms = kTooMuch;
  EXPECT_NE(FaultOf(worker, kNow), "");
  worker.boot.started_ms = -1;
  EXPECT_NE(FaultOf(worker, kNow), "");
}

TEST(WorkerLimits, CapacitiesThatSumsCannotHoldAreRefused) {
  for (const int64_t amount : {kTooMuch, INT64_MAX, INT64_MIN, int64_t{-1}}) {
    WorkerInfo worker = Worker("w", kNow);
    worker.capacity.mem_mb = amount;
    EXPECT_NE(FaultOf(worker, kNow), "") << amount;
  }
}

}  // namespace
}  // namespace sassafras::jobs
