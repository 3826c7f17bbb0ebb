// Tests copies of slow runs: when they are started, and that exactly one of two
// runs counts.

#include <utility>

#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace sassafras::jobs {
namespace {

// The task of the job "j" runs on the worker "a" and may have copies.
class CopiesTest : public SchedulerTest {
 protected:
  CopiesTest() {
    AddWorker(Worker("a"));
    AddWorker(Worker("b"));
    StepSpec step = Step(1);
    step.may_run_copies = true;
    AddJob("j", {step});
    fixture_.Start(Task("j"), 1, Boot("a"));
  }
  bool StartCopy(uint64_t run, const std::string& worker) {
    Batch batch;
    batch.starts = {{Task("j"), run, Boot(worker), true}};
    return !fixture_.table.Apply(batch).started.empty();
  }
  const TaskRecord& Record() const {
    return *fixture_.table.FindJob(wire::JobId("j"))->FindTask(Task("j"));
  }
  Resources UsedOn(const std::string& worker) const {
    return fixture_.table.FindWorker(wire::WorkerId(worker))->load.used;
  }
};

TEST_F(CopiesTest, ATaskHasAtMostOneCopyOnAnotherWorker) {
  EXPECT_FALSE(StartCopy(2, "a"));
  EXPECT_FALSE(StartCopy(1, "b"));
  EXPECT_TRUE(StartCopy(2, "b"));
  EXPECT_EQ(UsedOn("b").cpu_milli, 1000);
  AddWorker(Worker("c"));
  EXPECT_FALSE(StartCopy(3, "c"));
  EXPECT_FALSE(fixture_.Start(Task("j"), 3, Boot("c")));
}

TEST_F(CopiesTest, AStepWithoutPermissionHasNoCopies) {
  AddJob("k", {Step(1)});
  fixture_.Start(Task("k"), 1, Boot("a"));
  Batch batch;
  batch.starts = {{Task("k"), 2, Boot("b"), true}};
  EXPECT_TRUE(fixture_.table.Apply(batch).started.empty());
}

TEST_F(CopiesTest, ARunIsStoppedWhenItsCopyIsDone) {
  ASSERT_TRUE(StartCopy(2, "b"));
  const Changes changes =
      fixture_.End(Task("j"), 2, Boot("b"), RunOutcome::kDone);
  ASSERT_EQ(changes.surplus_runs.size(), 1U);
  EXPECT_EQ(changes.surplus_runs[0].worker, Boot("a"));
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCompleted);
  fixture_.End(Task("j"), 1, Boot("a"), RunOutcome::kStopped);
  EXPECT_FALSE(fixture_.table.FindJob(wire::JobId("j"))->HasOpenRuns());
  EXPECT_EQ(UsedOn("a"), Resources());
}

TEST_F(CopiesTest, ACopyIsStoppedWhenItsRunIsDone) {
  ASSERT_TRUE(StartCopy(2, "b"));
  const Changes changes =
      fixture_.End(Task("j"), 1, Boot("a"), RunOutcome::kDone);
  ASSERT_EQ(changes.surplus_runs.size(), 1U);
  EXPECT_EQ(changes.surplus_runs[0].worker, Boot("b"));
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCompleted);
  fixture_.End(Task("j"), 2, Boot("b"), RunOutcome::kStopped);
  EXPECT_FALSE(fixture_.table.FindJob(wire::JobId("j"))->HasOpenRuns());
  EXPECT_EQ(UsedOn("b"), Resources());
}

// A copy that failed was counted as an attempt, so that a task that fails by
// itself used two at once.
TEST_F(CopiesTest, AFailedCopyIsNoAttempt) {
  ASSERT_TRUE(StartCopy(2, "b"));
  fixture_.End(Task("j"), 2, Boot("b"), RunOutcome::kFailed);
  EXPECT_EQ(Record().failures, 0U);
  EXPECT_FALSE(StartCopy(3, "b")) << "one copy for each run";
  fixture_.End(Task("j"), 1, Boot("a"), RunOutcome::kFailed);
  EXPECT_EQ(Record().failures, 1U);
  EXPECT_FALSE(fixture_.Start(Task("j"), 2, Boot("b"))) << "used already";
  EXPECT_TRUE(fixture_.Start(Task("j"), 3, Boot("b")));
}

TEST_F(CopiesTest, ACopyTakesThePlaceOfAFailedRun) {
  ASSERT_TRUE(StartCopy(2, "b"));
  fixture_.End(Task("j"), 1, Boot("a"), RunOutcome::kFailed);
  EXPECT_EQ(Record().failures, 1U);
  EXPECT_TRUE(Record().is_open);
  EXPECT_FALSE(fixture_.Start(Task("j"), 3, Boot("a")));
  TableReason why;
  const auto restored = JobTable::FromSnapshot(fixture_.table.Snapshot(), why);
  ASSERT_TRUE(restored);
  fixture_.End(Task("j"), 2, Boot("b"), RunOutcome::kDone);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kCompleted);
}

TEST_F(CopiesTest, ARecordOfAnOlderVersionHasNoCopy) {
  const auto record = nlohmann::json::parse(R"([3, false, true, 0, "", false])")
                          .get<TaskRecord>();
  EXPECT_EQ(record.NextRun(), 4U);
  EXPECT_FALSE(record.is_copy_open);
}

// A task that waits was taken for one that runs, because its sibling that is
// done was counted twice until its other run had ended.
TEST_F(CopiesTest, ATaskStartsWhileASurplusRunOfItsStepIsBeingStopped) {
  StepSpec step = Step(2);
  step.may_run_copies = true;
  AddJob("k", {step});
  fixture_.Start(Task("k", 0, 0), 1, Boot("a"));
  fixture_.Start(Task("k", 0, 1), 1, Boot("a"));
  Batch batch;
  batch.starts = {{Task("k", 0, 0), 2, Boot("b"), true}};
  ASSERT_EQ(fixture_.table.Apply(batch).started.size(), 1U);
  fixture_.End(Task("k", 0, 0), 2, Boot("b"), RunOutcome::kDone);
  fixture_.End(Task("k", 0, 1), 1, Boot("a"), RunOutcome::kFailed);
  Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].task, Task("k", 0, 1));
  TableReason why;
  auto restored = JobTable::FromSnapshot(fixture_.table.Snapshot(), why);
  ASSERT_TRUE(restored);
  fixture_.table = *std::move(restored);
  EXPECT_EQ(std::as_const(fixture_.table).FindStep(Task("k").step)->Waiting(),
            1U);
  fixture_.End(Task("k", 0, 0), 1, Boot("a"), RunOutcome::kStopped);
  EXPECT_EQ(std::as_const(fixture_.table).FindStep(Task("k").step)->Waiting(),
            1U);
}

// A step that waits for advice isn't short of room, but will need it.
TEST_F(CopiesTest, ACopyLeavesRoomForStepsThatWaitForAdvice) {
  Batch batch;
  batch.manifests = {fixture_.table.manifest()};
  ++batch.manifests[0].version;
  batch.manifests[0].queues.push_back(batch.manifests[0].queues[0]);
  batch.manifests[0].queues[1].id = QueueId("advised");
  batch.manifests[0].queues[1].advice = {true, 500, 8, 2000};
  batch.jobs = {
      {wire::JobId("waits"), QueueId("advised"), {"text", {Step(31)}}}};
  fixture_.table.Apply(batch);
  hosts_ = 0;
  scheduler_.OnSlowRun(Task("j"), 1);
  EXPECT_TRUE(MakePlan().starts.empty()) << "31 cores are free";
  batch = {};
  batch.cancels = {wire::JobId("waits")};
  fixture_.table.Apply(batch);
  EXPECT_EQ(MakePlan().starts.size(), 1U);
}

TEST_F(CopiesTest, ACopyUsesCapacityThatNoWaitingStepNeeds) {
  scheduler_.OnSlowRun(Task("j"), 1);
  StepSpec large = Step(3);
  large.need.cpu_milli = 12'000;
  AddJob("waits", {large});
  Plan plan = MakePlan();
  EXPECT_EQ(plan.starts.size(), 2U) << "one task has no room";
  StartAll(plan);
  fixture_.End(Task("waits", 0, 0), 1, plan.starts[0].worker,
               RunOutcome::kDone);
  plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_TRUE(plan.starts[1].is_copy);
  EXPECT_EQ(plan.starts[1].worker, Boot("b"));
  EXPECT_EQ(plan.starts[1].run, 2U);
}

}  // namespace
}  // namespace sassafras::jobs
