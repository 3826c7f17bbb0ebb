// Tests what crashes of workers say about the tasks that ran on them, and how
// the table keeps that.

#include "jobs/crash.h"

#include <gtest/gtest.h>

#include "table_fixture.h"
#include "wire/codec.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;
using Roles = std::vector<CrashRole>;

constexpr base::Duration kYoung = kTrialTime / 2;
constexpr base::Duration kOld = kTrialTime * 2;
constexpr base::Duration kVeryOld = kLongTrialTime * 2;

Crashes CrashesWith(const Roles& roles) {
  Crashes crashes;
  for (const CrashRole role : roles) {
    crashes.push_back({Boot("w"), crashes.size() + 1, role, 0});
  }
  return crashes;
}

TEST(CrashTest, OnlyTheYoungestRunsCanBeTheCause) {
  const std::vector<CrashedRun> runs = {
      {Task("a"), kYoung, {}},
      {Task("b"), kYoung, {}},
      {Task("c"), kOld, {}},
      {Task("d"), kVeryOld, {}},
  };
  EXPECT_EQ(RolesOf(runs, true), (Roles{CrashRole::kEarly, CrashRole::kEarly,
                                        CrashRole::kLate, CrashRole::kNone}));
}

TEST(CrashTest, TasksOfOneJobNeedNotBeToldApart) {
  const std::vector<CrashedRun> runs = {
      {Task("a", 0, 0), kYoung, {}},
      {Task("a", 0, 1), kYoung, {}},
      {Task("b"), kOld, {}},
  };
  EXPECT_EQ(RolesOf(runs, true),
            (Roles{CrashRole::kSole, CrashRole::kSole, CrashRole::kLate}));
  EXPECT_EQ(RolesOf(runs, false),
            (Roles{CrashRole::kEarly, CrashRole::kEarly, CrashRole::kLate}))
      << "a silent worker may not have crashed at all";
}

TEST(CrashTest, ATaskThatCrashesWorkersLaterIsTriedForLonger) {
  const Crashes late(3, {Boot("w"), 1, CrashRole::kLate, 0});
  EXPECT_FALSE(IsSuspect(std::span(late).first(2)));
  EXPECT_TRUE(IsSuspect(late));
  EXPECT_EQ(TrialTime(late), kLongTrialTime);
  const std::vector<CrashedRun> runs = {{Task("a"), kOld, late},
                                        {Task("b"), kOld, {}}};
  EXPECT_EQ(RolesOf(runs, true), (Roles{CrashRole::kSole, CrashRole::kLate}));
}

TEST(CrashTest, TwoCrashesWithoutAnotherSuspectDecide) {
  constexpr uint32_t kMaxAttempts = 2;
  const auto decides = [](const Roles& roles) {
    return IsCrashCause(CrashesWith(roles), kMaxAttempts);
  };
  EXPECT_FALSE(decides({CrashRole::kSole}));
  EXPECT_FALSE(decides(Roles(4, CrashRole::kEarly)));
  EXPECT_TRUE(decides({CrashRole::kSole, CrashRole::kSole}));
  EXPECT_TRUE(decides({CrashRole::kEarly, CrashRole::kSole, CrashRole::kSole}));
  EXPECT_TRUE(decides(Roles(kMaxCrashes, CrashRole::kLate)));
}

// Two workers crashed half-way through a sound task, and its job was shown as
// failed although it had two attempts left.
TEST(CrashTest, FewerCrashesThanAttemptsDecideNothing) {
  EXPECT_FALSE(IsCrashCause(CrashesWith(Roles(2, CrashRole::kSole)), 3));
  EXPECT_TRUE(IsCrashCause(CrashesWith(Roles(3, CrashRole::kSole)), 3));
  EXPECT_TRUE(IsCrashCause(
      CrashesWith({CrashRole::kEarly, CrashRole::kSole, CrashRole::kSole}), 3));
  EXPECT_FALSE(IsCrashCause(CrashesWith(Roles(4, CrashRole::kSole)), 20));
  EXPECT_TRUE(
      IsCrashCause(CrashesWith(Roles(kMaxCrashes, CrashRole::kSole)), 20));
}

class TaskCrashTest : public testing::Test {
 protected:
  explicit TaskCrashTest(const StepSpec& step = Step(2)) {
    fixture_.AddWorker(Worker("w"));
    fixture_.AddJob("j", {step});
  }

  // Starts task 0 and records the loss of its worker with that role.
  Changes CrashTask(uint64_t run, CrashRole role) {
    EXPECT_TRUE(fixture_.Start(Task("j"), run, Boot("w")));
    return LoseRun(run, role);
  }
  Changes LoseRun(uint64_t run, CrashRole role) {
    Batch batch;
    batch.ends = {{Boot("w"), Task("j"), run, RunOutcome::kLeaseExpired, "",
                   true, role, 1}};
    return fixture_.table.Apply(batch);
  }
  const Crashes& CrashesOfTask() const {
    return fixture_.table.FindJob(wire::JobId("j"))
        ->FindTask(Task("j"))
        ->crashes;
  }

  TableFixture fixture_;
};

TEST_F(TaskCrashTest, ACrashIsCountedOnce) {
  CrashTask(1, CrashRole::kSole);
  LoseRun(1, CrashRole::kSole);
  Batch later_boot;
  later_boot.workers = {Worker("w", 2)};
  fixture_.table.Apply(later_boot);
  EXPECT_EQ(CrashesOfTask().size(), 1U);
}

TEST_F(TaskCrashTest, ALossAndALaterBootInOneBatchKeepTheMark) {
  ASSERT_TRUE(fixture_.Start(Task("j"), 1, Boot("w")));
  Batch batch;
  batch.ends = {{Boot("w"), Task("j"), 1, RunOutcome::kLeaseExpired, "", true,
                 CrashRole::kSole, 1}};
  batch.workers = {Worker("w", 2)};
  batch.removed_workers = {Boot("w")};
  fixture_.table.Apply(batch);
  EXPECT_EQ(CrashesOfTask().size(), 1U);
  EXPECT_NE(fixture_.table.FindWorker(wire::WorkerId("w")), nullptr);
}

TEST_F(TaskCrashTest, AJobIsGivenUpOnceItsTaskIsTheOnlyPossibleCause) {
  EXPECT_TRUE(CrashTask(1, CrashRole::kSole).ended_jobs.empty());
  const Changes changes = CrashTask(2, CrashRole::kSole);
  ASSERT_EQ(changes.crash_causes.size(), 1U);
  EXPECT_EQ(changes.crash_causes[0].task, Task("j"));
  EXPECT_EQ(changes.crash_causes[0].crashes.size(), 2U);
  EXPECT_EQ(changes.ended_jobs, std::vector{wire::JobId("j")});
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kFailed);
  EXPECT_FALSE(fixture_.Start(Task("j"), 3, Boot("w")));
}

TEST_F(TaskCrashTest, ARunThatEndsByItselfClearsItsTask) {
  CrashTask(1, CrashRole::kSole);
  ASSERT_TRUE(fixture_.Start(Task("j"), 2, Boot("w")));
  fixture_.End(Task("j"), 2, Boot("w"), RunOutcome::kStopped);
  EXPECT_EQ(CrashesOfTask().size(), 1U) << "it was stopped, perhaps at once";
  ASSERT_TRUE(fixture_.Start(Task("j"), 3, Boot("w")));
  fixture_.End(Task("j"), 3, Boot("w"), RunOutcome::kFailed);
  EXPECT_TRUE(CrashesOfTask().empty());
}

TEST_F(TaskCrashTest, AReportOfTheRunTakesItsCrashBack) {
  CrashTask(1, CrashRole::kEarly);
  CrashTask(2, CrashRole::kSole);
  fixture_.End(Task("j"), 2, Boot("w"), RunOutcome::kStopped);
  ASSERT_EQ(CrashesOfTask().size(), 1U);
  EXPECT_EQ(CrashesOfTask()[0].run, 1U);
}

// A worker was cut off until its lease had ended. It hadn't crashed, which its
// report shows when the task already runs elsewhere.
TEST_F(TaskCrashTest, AReportOfAnEarlierRunTakesItsCrashBack) {
  CrashTask(1, CrashRole::kSole);
  ASSERT_TRUE(fixture_.Start(Task("j"), 2, Boot("w")));
  fixture_.End(Task("j"), 1, Boot("w"), RunOutcome::kLeaseExpired);
  EXPECT_TRUE(CrashesOfTask().empty());
}

TEST_F(TaskCrashTest, ARunThatLivesOnClearsItsTask) {
  CrashTask(1, CrashRole::kSole);
  Batch proof;
  proof.proven_runs = {{Task("j"), 2}};
  fixture_.table.Apply(proof);
  EXPECT_EQ(CrashesOfTask().size(), 1U) << "that run isn't open";
  ASSERT_TRUE(fixture_.Start(Task("j"), 2, Boot("w")));
  fixture_.table.Apply(proof);
  EXPECT_TRUE(CrashesOfTask().empty());
}

TEST_F(TaskCrashTest, ASnapshotKeepsTheCrashes) {
  CrashTask(1, CrashRole::kSole);
  TableReason why;
  auto restored = JobTable::FromSnapshot(fixture_.table.Snapshot(), why);
  ASSERT_TRUE(restored) << why.message;
  fixture_.table = *std::move(restored);
  CrashTask(2, CrashRole::kSole);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kFailed);
}

TEST_F(TaskCrashTest, RecordsOfTheFormerVersionAreRead) {
  const auto task = nlohmann::json::parse(R"([3, false, true, 1, "c", false])")
                        .get<TaskRecord>();
  EXPECT_EQ(task.run, 3U);
  EXPECT_TRUE(task.crashes.empty());
}

class LastingTaskCrashTest : public TaskCrashTest {
 protected:
  static StepSpec LastingStep() {
    StepSpec step = Step(2);
    step.is_lasting = true;
    return step;
  }
  LastingTaskCrashTest() : TaskCrashTest(LastingStep()) {}
};

TEST_F(LastingTaskCrashTest, IsGivenUpLikeOthers) {
  CrashTask(1, CrashRole::kSole);
  CrashTask(2, CrashRole::kSole);
  EXPECT_EQ(fixture_.PhaseOf("j"), JobPhase::kFailed);
}

TEST(RecurringJobCrashTest, ADeadlyOccurrenceEndsTheJob) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  Batch batch;
  batch.jobs = {{wire::JobId("j"), QueueId("q"), {"text", {Step(1)}, 3, 0, 1}}};
  batch.occurrences = {{wire::JobId("j"), 1}};
  fixture.table.Apply(batch);
  const TaskKey task = Task("j", 0, 0, 1);
  for (uint64_t run = 1; run <= 2; ++run) {
    ASSERT_TRUE(fixture.Start(task, run, Boot("w")));
    Batch loss;
    loss.ends = {{Boot("w"), task, run, RunOutcome::kLeaseExpired, "", true,
                  CrashRole::kSole, 1}};
    fixture.table.Apply(loss);
  }
  EXPECT_EQ(fixture.PhaseOf("j"), JobPhase::kFailed);
}

}  // namespace
}  // namespace sassafras::jobs
