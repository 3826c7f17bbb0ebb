// Tests which due occurrences begin, and when a shortage of room is noted.

#include "jobcontrol/table_guard.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobcontrol {
namespace {

using jobs::Boot;
using jobs::Step;
using jobs::Task;
using std::chrono::seconds;

constexpr base::Instant kNow{seconds(1'000)};

class TableGuardTest : public testing::Test {
 protected:
  TableGuardTest() : metrics_(*registry_), guard_(limits_, metrics_) {
    fixture_.AddWorker(jobs::Worker("w"));
  }

  // A job that recurs each second, from 0 on.
  void AddRecurringJob(const std::string& id, size_t steps = 1) {
    jobs::Batch batch;
    std::vector<jobs::StepSpec> list(steps, Step(1));
    batch.jobs = {
        {wire::JobId(id), jobs::QueueId("q"), {"text", list, 1'000, 0, 1'000}}};
    fixture_.table.Apply(batch);
  }
  // Begins what is due; returns the number of occurrences.
  size_t BeginDue(base::WallMs wall) {
    jobs::Batch batch;
    batch.occurrences = guard_.DueOccurrences(fixture_.table, wall, kNow);
    fixture_.table.Apply(batch);
    return batch.occurrences.size();
  }
  void Finish(const std::string& id, uint64_t occurrence) {
    const jobs::TaskKey task = Task(id, 0, 0, occurrence);
    ASSERT_TRUE(fixture_.Start(task, 1, Boot("w")));
    fixture_.End(task, 1, Boot("w"), jobs::RunOutcome::kDone);
  }
  size_t OpenOccurrences(const std::string& id) const {
    return fixture_.table.FindJob(wire::JobId(id))->occurrences.size();
  }

  const std::unique_ptr<telemetry::Metrics> registry_ =
      telemetry::Metrics::Create();
  LeaderMetrics metrics_;
  TableLimits limits_{.max_bytes = 100'000};
  TableGuard guard_;
  jobs::TableFixture fixture_;
};

TEST_F(TableGuardTest, AnOccurrenceBeginsAtItsTime) {
  AddRecurringJob("j");
  EXPECT_EQ(BeginDue(-1), 0U);
  EXPECT_EQ(BeginDue(0), 1U);
  EXPECT_EQ(BeginDue(999), 0U);
  EXPECT_EQ(BeginDue(1'000), 1U) << "occurrences may overlap";
}

TEST_F(TableGuardTest, OccurrencesWaitBehindThoseThatHaveNotStarted) {
  AddRecurringJob("j");
  constexpr base::WallMs kLater = 100'000;
  while (BeginDue(kLater) > 0) {
  }
  EXPECT_EQ(OpenOccurrences("j"), 8U);
  EXPECT_EQ(metrics_.occurrences_held_back.Value(), 1);
  ASSERT_NO_FATAL_FAILURE(Finish("j", 0));
  EXPECT_EQ(BeginDue(kLater), 1U);
  EXPECT_EQ(BeginDue(kLater), 0U);
}

// A running occurrence doesn't keep the next one from its time.
TEST_F(TableGuardTest, OccurrencesThatHaveStartedHoldNoneBack) {
  AddRecurringJob("j");
  for (uint64_t n = 0; n < 16; ++n) {
    ASSERT_EQ(BeginDue(static_cast<base::WallMs>(n) * 1'000), 1U) << n;
    ASSERT_TRUE(fixture_.Start(Task("j", 0, 0, n), 1, Boot("w")));
  }
  EXPECT_EQ(OpenOccurrences("j"), 16U);
}

TEST_F(TableGuardTest, ACalmJobKeepsItsTimesInAFullTable) {
  AddRecurringJob("calm");
  AddRecurringJob("greedy", 40);
  constexpr base::WallMs kLater = 1'000'000;
  for (int n = 0; n < 8; ++n) {
    guard_.DueOccurrences(fixture_.table, kLater, kNow);
  }
  jobs::AddJob other{wire::JobId("x"), jobs::QueueId("other"), {"", {Step(1)}}};
  while (!guard_.RetryAfter(fixture_.table, other, kNow)) {
    guard_.OnAccepted(other);
  }
  for (uint64_t n = 0; n < 5; ++n) {
    jobs::Batch batch;
    batch.occurrences = guard_.DueOccurrences(fixture_.table, kLater, kNow);
    const wire::JobId calm("calm");
    ASSERT_NE(
        std::ranges::find(batch.occurrences, calm, &jobs::BeginOccurrence::job),
        batch.occurrences.end());
    fixture_.table.Apply(batch);
    ASSERT_NO_FATAL_FAILURE(Finish("calm", n));
  }
}

TEST_F(TableGuardTest, WhatIsResolvedTakesNoRoomBesideTheTable) {
  const jobs::AddJob job{wire::JobId("j"), jobs::QueueId("q"), {"", {Step(1)}}};
  for (int n = 0; n < 1'000; ++n) {
    ASSERT_FALSE(guard_.RetryAfter(fixture_.table, job, kNow));
    guard_.OnAccepted(job);
    guard_.OnResolved(job);
  }
}

TEST(EpisodeTest, BeginsOnceAndEndsAfterAPause) {
  Episode episode;
  EXPECT_FALSE(episode.HasEnded(kNow));
  EXPECT_TRUE(episode.Note(kNow));
  EXPECT_FALSE(episode.Note(kNow + seconds(1)));
  EXPECT_FALSE(episode.HasEnded(kNow + seconds(2)));
  EXPECT_TRUE(episode.HasEnded(kNow + seconds(3)));
  EXPECT_FALSE(episode.HasEnded(kNow + seconds(4)));
  EXPECT_TRUE(episode.Note(kNow + seconds(5)));
}

TEST(TableLimitsTest, JobsMayTakeAnEighthOfTheMemory) {
  EXPECT_EQ(TableLimits::MaxBytesOf(256), size_t{32} * 1024 * 1024);
}

}  // namespace
}  // namespace sassafras::jobcontrol
