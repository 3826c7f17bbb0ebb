// Tests that the memory of the job table follows what runs, not what clients
// ask for.

#include <chrono>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "jobcontrol/queue_metrics.h"
#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

using std::chrono::seconds;

constexpr size_t kKibibyte = 1024;
constexpr base::WallMs kHourMs = 3'600'000;

jobs::StepSpec StepOf(uint32_t count, int64_t cpu_milli) {
  jobs::StepSpec step;
  step.count = count;
  step.need.cpu_milli = cpu_milli;
  return step;
}

// A worker with four cores, which answers no order.
class TableGrowthTest : public LeaderTest {
 protected:
  TableGrowthTest() {
    AddWorker("w");
    context_.AnswerHolds({});
    context_.wall_ms = kHourMs;
  }

  std::optional<Refusal> Submit(const std::string& id, jobs::JobSpec spec) {
    submitted_ = RecordResult::kUnknown;
    return context_.leader->Submit(
        {wire::JobId(id), jobs::QueueId("q"), std::move(spec)},
        [this](RecordResult result) { submitted_ = result; });
  }
  // All times of the job lie in the past hour.
  static jobs::JobSpec RecurringSpec(jobs::StepSpec step, size_t steps = 1) {
    jobs::JobSpec spec;
    spec.steps.assign(steps, step);
    spec.occurrences = 1'000'000;
    spec.interval_ms = 1;
    return spec;
  }
  void RunFor(int ticks) {
    for (int n = 0; n < ticks; ++n) {
      context_.Advance(milliseconds(50));
      context_.AnswerHolds({});
      context_.Commit();
    }
  }
  size_t SnapshotBytes() const { return context_.table().Snapshot().size(); }
  const jobs::JobRecord& Job(const std::string& id) const {
    return *context_.table().FindJob(wire::JobId(id));
  }
  milliseconds KeepEnded() const {
    return std::chrono::duration_cast<milliseconds>(table_limits_.keep_ended);
  }
  void Cancel(const std::string& id) {
    context_.leader->Cancel(wire::JobId(id), [](RecordResult) {});
    context_.Commit();
  }
  double Gauge(const std::string& name) {
    return registry_->GetGauge(name, "").Value();
  }
};

// Review case 13. One job of 170 bytes took the memory of all control hosts, as
// each tick began an occurrence of 10,000 tasks beside those that waited.
TEST_F(TableGrowthTest, ARecurringJobWithAllTimesDueFilledTheTable) {
  ASSERT_FALSE(Submit("j", RecurringSpec(StepOf(10'000, 500))));
  context_.Commit();
  RunFor(100);
  EXPECT_GT(context_.table().FindWorker(wire::WorkerId("w"))->runs.size(), 0U);
  EXPECT_LT(SnapshotBytes(), 32 * kKibibyte);
  EXPECT_EQ(Gauge("sassafras_occurrences_held_back"), 1);
}

TEST_F(TableGrowthTest, RecurringJobsOfManyStepsShareTheTable) {
  for (int n = 0; n < 60; ++n) {
    Submit("j" + std::to_string(n), RecurringSpec(StepOf(39, 5'000), 256));
    context_.Commit();
  }
  RunFor(100);
  EXPECT_LT(context_.table().sizes().total(), table_limits_.max_bytes);
  EXPECT_LT(SnapshotBytes(), table_limits_.max_bytes);
}

// Occurrences of a job that doesn't keep up, each of which a task has run.
TEST_F(TableGrowthTest, OccurrencesThatTakeLongerThanTheirIntervalAreBounded) {
  ASSERT_FALSE(Submit("j", RecurringSpec(StepOf(1, 0))));
  context_.Commit();
  RunFor(400);
  EXPECT_GT(Job("j").occurrences.size(), 50U);
  EXPECT_LE(Job("j").occurrences.size(), 128U);
}

TEST_F(TableGrowthTest, ACancelledRecurringJobReleasesItsRoom) {
  const size_t before = context_.table().sizes().total();
  ASSERT_FALSE(Submit("j", RecurringSpec(StepOf(10'000, 5'000), 1)));
  context_.Commit();
  RunFor(50);
  Cancel("j");
  EXPECT_TRUE(Job("j").occurrences.empty());
  EXPECT_LT(context_.table().sizes().total(), before + kKibibyte);
}

// 200 such jobs took each control host to its limit of 256 MB.
TEST_F(TableGrowthTest, JobsOfManyTasksThatCanNeverRunTakeLittleMemory) {
  for (int n = 0; n < 400; ++n) {
    ASSERT_FALSE(
        Submit("j" + std::to_string(n), {"text", {StepOf(10'000, 1'000'000)}}));
    context_.Commit();
  }
  RunFor(10);
  EXPECT_LT(SnapshotBytes(), 400 * kKibibyte);
}

// Review case 15, without its retries.
TEST_F(TableGrowthTest, ACrowdOfLargeJobsLeavesRoomForSmallOnes) {
  jobs::JobSpec large{"text", {}};
  large.steps.assign(256, StepOf(1, 1'000'000));
  std::optional<Refusal> refusal;
  for (int n = 0; n < 500 && !refusal; ++n) {
    refusal = Submit("large-" + std::to_string(n), large);
  }
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, "table-full");
  EXPECT_GE(refusal->retry_after, seconds(1));
  EXPECT_LE(refusal->retry_after, seconds(30));
  EXPECT_EQ(submitted_, RecordResult::kUnknown) << "there is one answer only";
  EXPECT_EQ(registry_
                ->GetCounter("sassafras_jobs_refused_total", "",
                             {{"queue", "q"}, {"reason", "table-full"}})
                .Value(),
            1U);
  for (int n = 0; n < 100; ++n) {
    ASSERT_FALSE(Submit("small-" + std::to_string(n), {"t", {StepOf(2, 500)}}));
  }
  context_.Commit();
  EXPECT_EQ(submitted_, RecordResult::kRecorded);
  EXPECT_LT(context_.table().sizes().total(), table_limits_.max_bytes);
  RunFor(21);
  EXPECT_GT(Gauge("sassafras_job_table_bytes"), 0);
  EXPECT_EQ(Gauge("sassafras_job_table_max_bytes"), table_limits_.max_bytes);
}

// The caller would take a job for refused that runs.
TEST_F(TableGrowthTest, AnAcceptedJobIsNotRefusedForWantOfRoom) {
  jobs::JobSpec large{"text", {}};
  large.steps.assign(256, StepOf(1, 1'000'000));
  ASSERT_FALSE(Submit("recorded", large));
  context_.Commit();
  int accepted = 0;
  while (!Submit("large-" + std::to_string(accepted), large)) {
    ++accepted;
  }
  ASSERT_GT(accepted, 1);
  ASSERT_TRUE(Submit("another", large));
  EXPECT_FALSE(Submit("recorded", large));
  EXPECT_FALSE(Submit("large-" + std::to_string(accepted - 1), large))
      << "it waits for its batch";
}

TEST_F(TableGrowthTest, ACrowdIsRecordedInBatchesOfBoundedSize) {
  jobs::JobSpec large{"text", {}};
  large.steps.assign(256, StepOf(1, 1'000'000));
  for (int n = 0; n < 20; ++n) {
    ASSERT_FALSE(Submit("large-" + std::to_string(n), large));
  }
  size_t recorded = context_.table().jobs().size();
  while (context_.waiting() > 0) {
    context_.CommitNext();
    EXPECT_LE(context_.table().jobs().size() - recorded, 5U);
    recorded = context_.table().jobs().size();
  }
  EXPECT_EQ(recorded, 20U);
}

TEST_F(TableGrowthTest, SubmissionsWithoutABatchAreAnsweredWhenTheTermEnds) {
  ASSERT_FALSE(Submit("first", {"text", {StepOf(1, 1)}}));
  ASSERT_FALSE(Submit("second", {"text", {StepOf(1, 1)}}));
  ASSERT_EQ(submitted_, RecordResult::kUnknown);
  context_.leader.reset();
  EXPECT_EQ(submitted_, RecordResult::kNotRecorded);
}

// Jobs that had ended stayed for good.
TEST_F(TableGrowthTest, AnEndedJobIsForgottenAfterItsStateCouldBeRead) {
  ASSERT_FALSE(Submit("j", {"text", {StepOf(1, 1)}}));
  context_.Commit();
  Cancel("j");
  context_.Advance(KeepEnded());
  context_.Commit();
  ASSERT_NE(context_.table().FindJob(wire::JobId("j")), nullptr);
  context_.Advance(KeepEnded());
  context_.Commit();
  EXPECT_EQ(context_.table().FindJob(wire::JobId("j")), nullptr);
}

TEST_F(TableGrowthTest, ANewLeaderForgetsJobsThatEndedBefore) {
  ASSERT_FALSE(Submit("j", {"text", {StepOf(1, 5'000)}}));
  context_.Commit();
  Cancel("j");
  Elect(2);
  context_.Advance(KeepEnded());
  context_.Commit();
  ASSERT_NE(context_.table().FindJob(wire::JobId("j")), nullptr)
      << "it may have ended just before the election";
  context_.Advance(KeepEnded());
  context_.Commit();
  EXPECT_EQ(context_.table().FindJob(wire::JobId("j")), nullptr);
}

// Otherwise nobody would know that a run of it must still be stopped.
TEST_F(TableGrowthTest, AnEndedJobWithAnOpenRunIsNotForgotten) {
  ASSERT_FALSE(Submit("j", {"text", {StepOf(1, 1)}}));
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 1U);
  context_.orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  Cancel("j");
  ASSERT_TRUE(Job("j").HasOpenRuns());
  TableGuard guard(table_limits_, metrics_);
  const base::Instant now = context_.Now();
  guard.OnJobEnded(wire::JobId("j"), now);
  const auto later = now + 2 * table_limits_.keep_ended;
  EXPECT_TRUE(guard.JobsToForget(context_.table(), later).empty());
}

}  // namespace
}  // namespace sassafras::jobcontrol
