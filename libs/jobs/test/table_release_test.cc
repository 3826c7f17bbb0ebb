// Tests that the table releases what is over, and counts what it holds.

#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table_fixture.h"
#include "wire/codec.h"

namespace sassafras::jobs {
namespace {

using enum RunOutcome;

class TableReleaseTest : public testing::Test {
 protected:
  TableReleaseTest() { fixture_.AddWorker(Worker("w")); }

  void AddRecurringJob(const std::string& id, uint64_t occurrences) {
    Batch batch;
    batch.jobs = {{wire::JobId(id),
                   QueueId("q"),
                   {"text", {Step(1), Step(1, {0})}, occurrences, 0, 1}}};
    fixture_.table.Apply(batch);
  }
  void Begin(const std::string& id, uint64_t occurrence) {
    Batch batch;
    batch.occurrences = {{wire::JobId(id), occurrence}};
    fixture_.table.Apply(batch);
  }
  void Finish(const std::string& id, uint64_t occurrence) {
    for (uint32_t step = 0; step < 2; ++step) {
      const TaskKey task = Task(id, step, 0, occurrence);
      ASSERT_TRUE(fixture_.Start(task, 1, Boot("w")));
      fixture_.End(task, 1, Boot("w"), kDone);
    }
  }
  void Cancel(const std::string& id) {
    Batch batch;
    batch.cancels = {wire::JobId(id)};
    fixture_.table.Apply(batch);
  }
  const JobRecord& Job(const std::string& id) const {
    return *fixture_.table.FindJob(wire::JobId(id));
  }
  size_t total() const { return fixture_.table.sizes().total(); }

  TableFixture fixture_;
  wire::CodecReason codec_why_;
};

// Occurrences that were over stayed for good.
TEST_F(TableReleaseTest, OccurrencesThatAreOverAreReleased) {
  AddRecurringJob("j", 1'000);
  const size_t before = total();
  for (uint64_t n = 0; n < 200; ++n) {
    Begin("j", n);
    ASSERT_NO_FATAL_FAILURE(Finish("j", n));
  }
  EXPECT_TRUE(Job("j").occurrences.empty());
  EXPECT_EQ(Job("j").finished_occurrences, 200U);
  EXPECT_EQ(Job("j").next_occurrence, 200U);
  EXPECT_EQ(total(), before);
}

TEST_F(TableReleaseTest, AnOccurrenceThatIsOverNeverBeginsAgain) {
  AddRecurringJob("j", 2);
  Begin("j", 0);
  ASSERT_NO_FATAL_FAILURE(Finish("j", 0));
  Begin("j", 0);
  EXPECT_TRUE(Job("j").occurrences.empty());
  EXPECT_FALSE(fixture_.Start(Task("j"), 2, Boot("w")));
  Begin("j", 1);
  ASSERT_NO_FATAL_FAILURE(Finish("j", 1));
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCompleted);
}

TEST_F(TableReleaseTest, AnOccurrenceWithASurplusRunStaysUntilThatHasEnded) {
  fixture_.AddWorker(Worker("v"));
  StepSpec step = Step(1);
  step.may_run_copies = true;
  Batch batch;
  batch.jobs = {{wire::JobId("j"), QueueId("q"), {"text", {step}, 2, 0, 1}}};
  batch.occurrences = {{wire::JobId("j"), 0}};
  batch.starts = {{Task("j"), 1, Boot("w")}, {Task("j"), 2, Boot("v"), true}};
  ASSERT_EQ(fixture_.table.Apply(batch).started.size(), 2U);
  fixture_.End(Task("j"), 1, Boot("w"), kDone);
  EXPECT_FALSE(Job("j").occurrences.empty());
  EXPECT_EQ(fixture_.table.FindWorker(wire::WorkerId("v"))->runs.size(), 1U);
  fixture_.End(Task("j"), 2, Boot("v"), kStopped);
  EXPECT_TRUE(Job("j").occurrences.empty());
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kActive);
}

TEST_F(TableReleaseTest, ACompletedJobKeepsItsPhaseOnly) {
  fixture_.AddJob("j", {Step(1)});
  const size_t active = total();
  ASSERT_TRUE(fixture_.Start(Task("j"), 1, Boot("w")));
  fixture_.End(Task("j"), 1, Boot("w"), kDone);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_TRUE(Job("j").spec.steps.empty());
  EXPECT_TRUE(Job("j").spec.payload.empty());
  EXPECT_LT(total(), active);
  EXPECT_EQ(fixture_.table.released_bytes(), active - total());
}

TEST_F(TableReleaseTest, ACancelledJobIsReleasedOnceItsRunsAreOver) {
  fixture_.AddJob("j", {Step(2)});
  ASSERT_TRUE(fixture_.Start(Task("j", 0, 0), 1, Boot("w")));
  Cancel("j");
  EXPECT_TRUE(Job("j").HasOpenRuns());
  fixture_.End(Task("j", 0, 0), 1, Boot("w"), kStopped);
  EXPECT_TRUE(Job("j").occurrences.empty());
  EXPECT_TRUE(Job("j").spec.steps.empty());
}

TEST_F(TableReleaseTest, AReportAfterThePresumedEndOfAReleasedRunIsIgnored) {
  fixture_.AddJob("j", {Step(1)});
  ASSERT_TRUE(fixture_.Start(Task("j"), 1, Boot("w")));
  Cancel("j");
  Batch loss;
  loss.removed_workers = {Boot("w")};
  fixture_.table.Apply(loss);
  ASSERT_TRUE(Job("j").occurrences.empty());
  fixture_.End(Task("j"), 1, Boot("w"), kDone);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCancelled);
}

TEST_F(TableReleaseTest, AForgottenJobCountsForNothing) {
  const size_t before = total();
  fixture_.AddJob("j", {Step(1)});
  Cancel("j");
  EXPECT_GT(total(), before);
  Batch batch;
  batch.forgotten = {wire::JobId("j")};
  fixture_.table.Apply(batch);
  EXPECT_EQ(fixture_.table.FindJob(wire::JobId("j")), nullptr);
  EXPECT_EQ(total(), before);
}

TEST_F(TableReleaseTest, AnActiveJobIsNotForgotten) {
  fixture_.AddJob("j", {Step(1)});
  Batch batch;
  batch.forgotten = {wire::JobId("j")};
  fixture_.table.Apply(batch);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kActive);
}

TEST_F(TableReleaseTest, JobsOfARenamedQueueCountForTheNewOne) {
  fixture_.AddJob("j", {Step(1)});
  Batch batch;
  batch.manifests = {fixture_.table.manifest()};
  batch.manifests[0].version = 2;
  batch.manifests[0].queues[0].id = QueueId("new");
  fixture_.table.Apply(batch);
  ASSERT_EQ(Job("j").queue, QueueId("new"));
  const OwnerSizes& sizes = fixture_.table.sizes();
  EXPECT_EQ(sizes.Of(JobOwner::Of({}, QueueId("q"))), 0U);
  EXPECT_EQ(sizes.Of(JobOwner::Of({}, QueueId("new"))), sizes.total());
}

// The table of an earlier version, in the format that it wrote: one occurrence
// that is over, one with a task that runs and one that waits, and a job that
// has ended.
TEST_F(TableReleaseTest, ATableOfAnEarlierVersionIsReleasedWhenItIsRead) {
  const auto step = nlohmann::json::parse(
      R"({"count": 2, "estimate_ms": 1000, "need": {"cpu_milli": 1000}})");
  const auto over = nlohmann::json::parse(
      R"({"tasks": [[1, true, false, 0, "", false, [], 0, false],
                    [2, true, false, 1, "c", false, [], 0, false]],
          "done": 2, "open": 0})");
  const auto open = nlohmann::json::parse(
      R"({"tasks": [[3, false, true, 1, "c", false, [], 0, false],
                    [0, false, false, 0, "", false, [], 0, false]],
          "done": 0, "open": 1})");
  nlohmann::json recurring = {
      {"id", "r"},
      {"queue", "q"},
      {"order", 1},
      {"phase", "active"},
      {"spec", {{"steps", {step}}, {"occurrences", 9}, {"interval_ms", 1}}},
      {"finished_occurrences", 1},
      {"occurrences", {{0, {over}}, {1, {open}}}}};
  nlohmann::json ended = recurring;
  ended["id"] = "e";
  ended["order"] = 2;
  ended["phase"] = "cancelled";
  ended["occurrences"] = {{0, {over}}};
  auto snapshot = *wire::ParseCbor(fixture_.table.Snapshot(), codec_why_);
  snapshot["jobs"] = {recurring, ended};
  TableReason why;
  auto table = JobTable::FromSnapshot(wire::ToCborBytes(snapshot), why);
  ASSERT_TRUE(table) << why.message;
  fixture_.table = *std::move(table);
  EXPECT_EQ(Job("r").next_occurrence, 2U);
  ASSERT_EQ(Job("r").occurrences.size(), 1U);
  const StepRecord& record = Job("r").occurrences.at(1)[0];
  EXPECT_EQ(record.tasks[0].checkpoint, "c");
  EXPECT_EQ(record.tasks.started().size(), 1U);
  EXPECT_EQ(record.Waiting(), 1U);
  EXPECT_TRUE(Job("e").occurrences.empty());
  EXPECT_EQ(total(), SizeOf(Job("r")) + SizeOf(Job("e")));
}

size_t CountSizes(const JobTable& table) {
  size_t bytes = 0;
  for (const auto& [id, job] : table.jobs()) {
    bytes += SizeOf(job);
  }
  return bytes;
}

RC_GTEST_PROP(TableSizeProperty, TheSizeEqualsARecount, ()) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  uint64_t run = 0;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    const wire::JobId id(*rc::gen::element<std::string>("a", "b", "c"));
    const uint64_t occurrence = *rc::gen::inRange(0U, 3U);
    const TaskKey task{{id, occurrence, *rc::gen::inRange(0U, 2U)}, 0};
    Batch batch;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        batch.jobs = {{id, QueueId("q"), {"x", {Step(1), Step(1, {0})}, 3}}};
        break;
      case 1:
        batch.occurrences = {{id, occurrence}};
        break;
      case 2:
        batch.starts = {{task, ++run, Boot("w")}};
        break;
      case 3:
        batch.cancels = {id};
        break;
      case 4:
        batch.forgotten = {id};
        break;
      default:
        batch.ends = {{Boot("w"), task, run, kDone}};
    }
    fixture.table.Apply(batch);
    RC_ASSERT(fixture.table.sizes().total() == CountSizes(fixture.table));
    TableReason why;
    const auto copy = JobTable::FromSnapshot(fixture.table.Snapshot(), why);
    RC_ASSERT(copy.has_value());
    RC_ASSERT(copy->sizes().total() == CountSizes(fixture.table));
  }
}

}  // namespace
}  // namespace sassafras::jobs
