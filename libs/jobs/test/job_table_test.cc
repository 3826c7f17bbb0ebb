// Tests the effects of batches on the table.

#include "jobs/job_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using enum RunOutcome;

TEST(JobTable, AStepStartsOnlyAfterItsPredecessorsAreDone) {
  TableFixture it;
  it.AddWorker(Worker("w"));
  it.AddJob("j", {Step(2), Step(1, {0})});
  EXPECT_FALSE(it.Start(Task("j", 1), 1, Boot("w")));
  EXPECT_TRUE(it.Start(Task("j", 0, 0), 1, Boot("w")));
  EXPECT_TRUE(it.Start(Task("j", 0, 1), 1, Boot("w")));
  it.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  EXPECT_FALSE(it.Start(Task("j", 1), 1, Boot("w")));
  it.End(Task("j", 0, 1), 1, Boot("w"), kDone);
  EXPECT_TRUE(it.Start(Task("j", 1), 1, Boot("w")));
  it.End(Task("j", 1), 1, Boot("w"), kDone);
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kCompleted);
}

TEST(JobTable, ATaskHasOneOpenRunAndNoneOnceDone) {
  TableFixture it;
  it.AddWorker(Worker("w"));
  it.AddWorker(Worker("v"));
  it.AddJob("j", {Step(1), Step(1)});
  EXPECT_TRUE(it.Start(Task("j"), 1, Boot("w")));
  EXPECT_FALSE(it.Start(Task("j"), 2, Boot("v")));
  it.End(Task("j"), 1, Boot("w"), kStopped);
  EXPECT_FALSE(it.Start(Task("j"), 1, Boot("v"))) << "run numbers only grow";
  EXPECT_TRUE(it.Start(Task("j"), 2, Boot("v")));
  it.End(Task("j"), 2, Boot("v"), kDone);
  EXPECT_FALSE(it.Start(Task("j"), 3, Boot("w")));
}

TEST(JobTable, OnlyFailuresCountAsAttempts) {
  TableFixture it(2);
  it.AddWorker(Worker("w"));
  it.AddJob("j", {Step(1)});
  uint64_t run = 0;
  for (const RunOutcome outcome :
       {kLeaseExpired, kRejected, kStopped, kFailed}) {
    ASSERT_TRUE(it.Start(Task("j"), ++run, Boot("w")));
    it.End(Task("j"), run, Boot("w"), outcome);
    EXPECT_EQ(it.PhaseOf("j"), JobPhase::kActive);
  }
  ASSERT_TRUE(it.Start(Task("j"), ++run, Boot("w")));
  const Changes changes = it.End(Task("j"), run, Boot("w"), kFailed);
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kFailed);
  EXPECT_EQ(changes.ended_jobs.size(), 1U);
}

TEST(JobTable, AGangFailsOncePerRunAndOneSuccessCompletesIt) {
  TableFixture it(2);
  it.AddWorker(Worker("w"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  it.AddJob("j", {gang});
  it.Start(Task("j", 0, 0), 1, Boot("w"));
  it.Start(Task("j", 0, 1), 1, Boot("w"));
  it.End(Task("j", 0, 0), 1, Boot("w"), kFailed);
  it.End(Task("j", 0, 1), 1, Boot("w"), kFailed);
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kActive) << "one run failed, not two";
  it.Start(Task("j", 0, 0), 2, Boot("w"));
  it.Start(Task("j", 0, 1), 2, Boot("w"));
  it.End(Task("j", 0, 1), 2, Boot("w"), kDone);
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kCompleted);
  EXPECT_EQ(it.table.FindWorker(wire::WorkerId("w"))->runs.size(), 1U)
      << "the other member occupies its worker until its end is listed";
}

TEST(JobTable, ALongRunningTaskCanRestartAfterAnyOutcome) {
  TableFixture it(1);
  it.AddWorker(Worker("w"));
  StepSpec long_running = Step(1);
  long_running.is_lasting = true;
  it.AddJob("j", {long_running});
  uint64_t run = 0;
  for (const RunOutcome outcome : {kFailed, kDone, kFailed, kLeaseExpired}) {
    ASSERT_TRUE(it.Start(Task("j"), ++run, Boot("w")));
    it.End(Task("j"), run, Boot("w"), outcome);
    EXPECT_EQ(it.PhaseOf("j"), JobPhase::kActive);
  }
}

TEST(JobTable, ALaterBootEndsAllRunsOfTheEarlierBoot) {
  TableFixture it;
  it.AddWorker(Worker("w", 1));
  it.AddJob("j", {Step(1)});
  it.Start(Task("j"), 1, Boot("w", 1));
  it.AddWorker(Worker("w", 2));
  EXPECT_TRUE(it.table.FindWorker(wire::WorkerId("w"))->runs.empty());
  EXPECT_FALSE(it.Start(Task("j"), 2, Boot("w", 1))) << "that boot is gone";
  EXPECT_TRUE(it.Start(Task("j"), 2, Boot("w", 2)));
  it.AddWorker(Worker("w", 1));
  EXPECT_EQ(it.table.FindWorker(wire::WorkerId("w"))->info.boot, Boot("w", 2))
      << "a late heartbeat of the earlier boot";
}

// Many workers crash permanently, and new workers take over their addresses
// immediately.
TEST(JobTable, ALaterBootAtAnAddressReplacesTheWorkerThere) {
  TableFixture it;
  it.AddWorker(Worker("old", 5));
  it.AddJob("j", {Step(1)});
  it.Start(Task("j"), 1, Boot("old", 5));
  WorkerInfo late = Worker("late", 4);
  late.address = Worker("old").address;
  it.AddWorker(late);
  EXPECT_EQ(it.table.FindWorker(wire::WorkerId("late")), nullptr);
  WorkerInfo next = Worker("next", 6);
  next.address = Worker("old").address;
  it.AddWorker(next);
  EXPECT_EQ(it.table.FindWorker(wire::WorkerId("old")), nullptr);
  EXPECT_TRUE(it.Start(Task("j"), 2, Boot("next", 6)));
}

TEST(JobTable, DrainingIsFinalForABoot) {
  TableFixture it;
  WorkerInfo info = Worker("w");
  info.is_draining = true;
  it.AddWorker(info);
  it.AddWorker(Worker("w"));
  EXPECT_TRUE(it.table.FindWorker(wire::WorkerId("w"))->info.is_draining);
}

TEST(JobTable, ACancelledJobStartsNoTasksAndKeepsRunsUntilTheyEnd) {
  TableFixture it;
  it.AddWorker(Worker("w"));
  it.AddJob("j", {Step(2)});
  it.Start(Task("j", 0, 0), 1, Boot("w"));
  Batch batch;
  batch.cancels = {wire::JobId("j")};
  batch.starts = {{Task("j", 0, 1), 1, Boot("w")}};
  const Changes changes = it.table.Apply(batch);
  EXPECT_TRUE(changes.started.empty());
  EXPECT_EQ(it.table.FindWorker(wire::WorkerId("w"))->runs.size(), 1U);
  it.End(Task("j", 0, 0), 1, Boot("w"), kDone);
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kCancelled);
}

TEST(JobTable, IgnoresAJobWithAKnownId) {
  TableFixture it;
  it.AddJob("j", {Step(1)});
  it.AddJob("j", {Step(5)});
  EXPECT_EQ(it.table.jobs().size(), 1U);
  EXPECT_EQ(it.table.FindJob(wire::JobId("j"))->spec.steps[0].count, 1U);
}

TEST(JobTable, IgnoresManifestsThatAreNotNewer) {
  TableFixture it;
  Batch batch;
  batch.manifests.resize(2);
  batch.manifests[0].version = 7;
  batch.manifests[0].text = "seven";
  batch.manifests[1].version = 7;
  batch.manifests[1].text = "other";
  EXPECT_TRUE(it.table.Apply(batch).is_manifest_changed);
  EXPECT_EQ(it.table.manifest().text, "seven");
  batch.manifests[0].version = 6;
  EXPECT_FALSE(it.table.Apply(batch).is_manifest_changed);
  EXPECT_NE(it.table.FindQueue(QueueId("q")), nullptr)
      << "a dropped queue is still known to the jobs in it";
}

TEST(JobTable, ARecurringJobCompletesAfterItsLastOccurrence) {
  TableFixture it;
  it.AddWorker(Worker("w"));
  Batch batch;
  batch.jobs = {{wire::JobId("j"), QueueId("q"), {"", {Step(1)}, 2, 0, 1000}}};
  batch.occurrences = {{wire::JobId("j"), 0}, {wire::JobId("j"), 1}};
  it.table.Apply(batch);
  for (uint64_t k = 0; k < 2; ++k) {
    EXPECT_EQ(it.PhaseOf("j"), JobPhase::kActive);
    ASSERT_TRUE(it.Start(Task("j", 0, 0, k), 1, Boot("w")));
    it.End(Task("j", 0, 0, k), 1, Boot("w"), kDone);
  }
  EXPECT_EQ(it.PhaseOf("j"), JobPhase::kCompleted);
}

// After any sequence of batches, a table restored from a snapshot behaves like
// the original.
RC_GTEST_PROP(JobTableProperty, ASnapshotRestoresTheWholeState, ()) {
  TableFixture it;
  it.AddWorker(Worker("w0"));
  it.AddWorker(Worker("w1"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  it.AddJob("a", {Step(2), Step(1, {0})});
  it.AddJob("b", {gang});
  TableReason why;
  auto copy = JobTable::FromSnapshot(it.table.Snapshot(), why);
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
                     *rc::gen::element(kDone, kFailed, kLeaseExpired), "c"}};
    }
    const auto first = it.table.Apply(batch).started.size();
    RC_ASSERT(copy->Apply(batch).started.size() == first);
    RC_ASSERT(copy->Snapshot() == it.table.Snapshot());
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
