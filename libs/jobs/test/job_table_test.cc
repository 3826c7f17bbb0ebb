// Tests the effects of batches on the table.

#include "jobs/job_table.h"

#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using enum RunOutcome;

TEST(JobTable, AStepStartsOnlyAfterItsPredecessorsAreDone) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  fixture.AddJob("j", {Step(2), Step(1, {0})});
  EXPECT_FALSE(fixture.Start(Task("j", 1), 1, Boot("w")));
  EXPECT_TRUE(fixture.Start(Task("j", 0, 0), 1, Boot("w")));
  EXPECT_TRUE(fixture.Start(Task("j", 0, 1), 1, Boot("w")));
  fixture.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  EXPECT_FALSE(fixture.Start(Task("j", 1), 1, Boot("w")));
  fixture.End(Task("j", 0, 1), 1, Boot("w"), kDone);
  EXPECT_TRUE(fixture.Start(Task("j", 1), 1, Boot("w")));
  fixture.End(Task("j", 1), 1, Boot("w"), kDone);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kCompleted);
}

TEST(JobTable, ATaskHasOneOpenRunAndNoneOnceDone) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  fixture.AddWorker(Worker("v"));
  fixture.AddJob("j", {Step(1), Step(1)});
  EXPECT_TRUE(fixture.Start(Task("j"), 1, Boot("w")));
  EXPECT_FALSE(fixture.Start(Task("j"), 2, Boot("v")));
  fixture.End(Task("j"), 1, Boot("w"), kStopped);
  EXPECT_FALSE(fixture.Start(Task("j"), 1, Boot("v")))
      << "run numbers must increase";
  EXPECT_TRUE(fixture.Start(Task("j"), 2, Boot("v")));
  fixture.End(Task("j"), 2, Boot("v"), kDone);
  EXPECT_FALSE(fixture.Start(Task("j"), 3, Boot("w")));
}

TEST(JobTable, OnlyFailuresCountAsAttempts) {
  TableFixture fixture(2);
  fixture.AddWorker(Worker("w"));
  fixture.AddJob("j", {Step(1)});
  uint64_t run = 0;
  for (const RunOutcome outcome :
       {kLeaseExpired, kRejected, kStopped, kFailed}) {
    ASSERT_TRUE(fixture.Start(Task("j"), ++run, Boot("w")));
    fixture.End(Task("j"), run, Boot("w"), outcome);
    EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive);
  }
  ASSERT_TRUE(fixture.Start(Task("j"), ++run, Boot("w")));
  const Changes changes = fixture.End(Task("j"), run, Boot("w"), kFailed);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kFailed);
  EXPECT_EQ(changes.ended_jobs.size(), 1U);
}

TEST(JobTable, AGangFailsOncePerRunAndOneSuccessCompletesIt) {
  TableFixture fixture(2);
  fixture.AddWorker(Worker("w"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  fixture.AddJob("j", {gang});
  fixture.Start(Task("j", 0, 0), 1, Boot("w"));
  fixture.Start(Task("j", 0, 1), 1, Boot("w"));
  fixture.End(Task("j", 0, 0), 1, Boot("w"), kFailed);
  fixture.End(Task("j", 0, 1), 1, Boot("w"), kFailed);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive)
      << "one run failed, not two";
  fixture.Start(Task("j", 0, 0), 2, Boot("w"));
  fixture.Start(Task("j", 0, 1), 2, Boot("w"));
  fixture.End(Task("j", 0, 1), 2, Boot("w"), kDone);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_EQ(fixture.table.FindWorker(wire::WorkerId("w"))->runs.size(), 1U)
      << "the other member occupies its worker until its end is listed";
}

// A task was started again because its worker was presumed lost, and the worker
// then reports that the first run is done.
TEST(JobTable, AReportOfAnEarlierRunCompletesTheTaskOnce) {
  TableFixture fixture(1);
  fixture.AddWorker(Worker("w"));
  fixture.AddWorker(Worker("v"));
  fixture.AddJob("j", {Step(2)});
  fixture.Start(Task("j", 0, 0), 1, Boot("w"));
  fixture.Start(Task("j", 0, 1), 1, Boot("v"));
  Batch loss;
  loss.removed_workers = {Boot("w")};
  fixture.table.Apply(loss);
  ASSERT_TRUE(fixture.Start(Task("j", 0, 0), 2, Boot("v")));
  const Changes changes = fixture.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  ASSERT_EQ(changes.surplus_runs.size(), 1U);
  EXPECT_EQ(changes.surplus_runs[0].run, 2U);
  EXPECT_EQ(changes.surplus_runs[0].worker, Boot("v"));
  EXPECT_TRUE(
      fixture.End(Task("j", 0, 0), 1, Boot("w"), kDone).ended_jobs.empty());
  fixture.End(Task("j", 0, 0), 2, Boot("v"), kFailed);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive)
      << "the failure of a surplus run is no attempt";
  EXPECT_EQ(std::as_const(fixture.table).FindStep(Task("j").step)->done, 1U);
  EXPECT_FALSE(fixture.Start(Task("j", 0, 0), 3, Boot("v")));
  fixture.End(Task("j", 0, 1), 1, Boot("v"), kDone);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kCompleted);
}

// Each member of a gang reports its end, and the first of them completes the
// occurrence.
TEST(JobTable, AnOccurrenceOfAGangIsCountedOnce) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  Batch batch;
  batch.jobs = {{wire::JobId("j"), QueueId("q"), {"text", {gang}, 2, 0, 1}}};
  batch.occurrences = {{wire::JobId("j"), 0}};
  batch.starts = {{Task("j", 0, 0), 1, Boot("w")},
                  {Task("j", 0, 1), 1, Boot("w")}};
  ASSERT_EQ(fixture.table.Apply(batch).started.size(), 2U);
  fixture.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  fixture.End(Task("j", 0, 1), 1, Boot("w"), kDone);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive)
      << "one of two occurrences is done";
}

TEST(JobTable, ALongRunningTaskCanRestartAfterAnyOutcome) {
  TableFixture fixture(1);
  fixture.AddWorker(Worker("w"));
  StepSpec long_running = Step(1);
  long_running.is_lasting = true;
  fixture.AddJob("j", {long_running});
  uint64_t run = 0;
  for (const RunOutcome outcome : {kFailed, kDone, kFailed, kLeaseExpired}) {
    ASSERT_TRUE(fixture.Start(Task("j"), ++run, Boot("w")));
    fixture.End(Task("j"), run, Boot("w"), outcome);
    EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive);
  }
}

TEST(JobTable, ALaterBootEndsAllRunsOfTheEarlierBoot) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w", 1));
  fixture.AddJob("j", {Step(1)});
  fixture.Start(Task("j"), 1, Boot("w", 1));
  fixture.AddWorker(Worker("w", 2));
  EXPECT_TRUE(fixture.table.FindWorker(wire::WorkerId("w"))->runs.empty());
  EXPECT_FALSE(fixture.Start(Task("j"), 2, Boot("w", 1)))
      << "that boot has been replaced";
  EXPECT_TRUE(fixture.Start(Task("j"), 2, Boot("w", 2)));
  fixture.AddWorker(Worker("w", 1));
  EXPECT_EQ(fixture.table.FindWorker(wire::WorkerId("w"))->info.boot,
            Boot("w", 2))
      << "a late heartbeat of the earlier boot";
}

// Many workers crash permanently, and new workers take over their addresses
// immediately.
TEST(JobTable, ALaterBootAtAnAddressReplacesTheWorkerThere) {
  TableFixture fixture;
  fixture.AddWorker(Worker("old", 5));
  fixture.AddJob("j", {Step(1)});
  fixture.Start(Task("j"), 1, Boot("old", 5));
  WorkerInfo late = Worker("late", 4);
  late.address = Worker("old").address;
  fixture.AddWorker(late);
  EXPECT_EQ(fixture.table.FindWorker(wire::WorkerId("late")), nullptr);
  WorkerInfo next = Worker("next", 6);
  next.address = Worker("old").address;
  fixture.AddWorker(next);
  EXPECT_EQ(fixture.table.FindWorker(wire::WorkerId("old")), nullptr);
  EXPECT_TRUE(fixture.Start(Task("j"), 2, Boot("next", 6)));
}

TEST(JobTable, DrainingIsFinalForABoot) {
  TableFixture fixture;
  WorkerInfo info = Worker("w");
  info.is_draining = true;
  fixture.AddWorker(info);
  fixture.AddWorker(Worker("w"));
  EXPECT_TRUE(fixture.table.FindWorker(wire::WorkerId("w"))->info.is_draining);
}

TEST(JobTable, ACancelledJobStartsNoTasksAndKeepsRunsUntilTheyEnd) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  fixture.AddJob("j", {Step(2)});
  fixture.Start(Task("j", 0, 0), 1, Boot("w"));
  Batch batch;
  batch.cancels = {wire::JobId("j")};
  batch.starts = {{Task("j", 0, 1), 1, Boot("w")}};
  const Changes changes = fixture.table.Apply(batch);
  EXPECT_TRUE(changes.started.empty());
  EXPECT_EQ(fixture.table.FindWorker(wire::WorkerId("w"))->runs.size(), 1U);
  fixture.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kCancelled);
}

TEST(JobTable, IgnoresAJobWithAKnownId) {
  TableFixture fixture;
  fixture.AddJob("j", {Step(1)});
  fixture.AddJob("j", {Step(5)});
  EXPECT_EQ(fixture.table.jobs().size(), 1U);
  EXPECT_EQ(fixture.table.FindJob(wire::JobId("j"))->spec.steps[0].count, 1U);
}

TEST(JobTable, IgnoresManifestsThatAreNotNewer) {
  TableFixture fixture;
  Batch batch;
  batch.manifests.resize(2);
  batch.manifests[0].version = 7;
  batch.manifests[0].text = "seven";
  batch.manifests[1].version = 7;
  batch.manifests[1].text = "other";
  EXPECT_TRUE(fixture.table.Apply(batch).is_manifest_changed);
  EXPECT_EQ(fixture.table.manifest().text, "seven");
  batch.manifests[0].version = 6;
  EXPECT_FALSE(fixture.table.Apply(batch).is_manifest_changed);
  EXPECT_NE(fixture.table.FindQueue(QueueId("q")), nullptr)
      << "a dropped queue is still known to the jobs in it";
}

TEST(JobTable, ARecurringJobCompletesAfterItsLastOccurrence) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  Batch batch;
  batch.jobs = {{wire::JobId("j"), QueueId("q"), {"", {Step(1)}, 2, 0, 1000}}};
  batch.occurrences = {{wire::JobId("j"), 0}, {wire::JobId("j"), 1}};
  fixture.table.Apply(batch);
  for (uint64_t k = 0; k < 2; ++k) {
    EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kActive);
    ASSERT_TRUE(fixture.Start(Task("j", 0, 0, k), 1, Boot("w")));
    fixture.End(Task("j", 0, 0, k), 1, Boot("w"), kDone);
  }
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kCompleted);
}

// After any sequence of batches, a table restored from a snapshot behaves like
// the original.
RC_GTEST_PROP(JobTableProperty, ASnapshotRestoresTheWholeState, ()) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w0"));
  fixture.AddWorker(Worker("w1"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  fixture.AddJob("a", {Step(2), Step(1, {0})});
  fixture.AddJob("b", {gang});
  TableReason why;
  auto copy = JobTable::FromSnapshot(fixture.table.Snapshot(), why);
  RC_ASSERT(copy.has_value());
  const int steps = *rc::gen::inRange(1, 40);
  for (int n = 0; n < steps; ++n) {
    const std::string job = *rc::gen::element<std::string>("a", "b");
    const auto task =
        Task(job, *rc::gen::inRange(0U, 2U), *rc::gen::inRange(0U, 2U));
    const auto worker = Boot(*rc::gen::element<std::string>("w0", "w1"));
    const uint64_t run = *rc::gen::inRange(1, 6);
    Batch batch;
    if (*rc::gen::arbitrary<bool>()) {
      batch.starts = {{task, run, worker}};
    } else {
      batch.ends = {{worker, task, run,
                     *rc::gen::element(kDone, kFailed, kLeaseExpired), "c",
                     *rc::gen::arbitrary<bool>()}};
    }
    const auto first = fixture.table.Apply(batch).started.size();
    RC_ASSERT(copy->Apply(batch).started.size() == first);
    RC_ASSERT(copy->Snapshot() == fixture.table.Snapshot());
    copy = JobTable::FromSnapshot(copy->Snapshot(), why);
    RC_ASSERT(copy.has_value());
  }
}

TEST(JobTable, RejectsAMalformedSnapshot) {
  TableReason why;
  EXPECT_FALSE(JobTable::FromSnapshot("nonsense", why));
  EXPECT_EQ(why.code, TableError::kBadSnapshot);
}

}  // namespace
}  // namespace sassafras::jobs
