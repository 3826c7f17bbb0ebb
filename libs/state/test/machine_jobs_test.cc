// Tests commands on workers, jobs, attempts and declared workloads, one failure
// mode per test.

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "cell.h"

namespace sassafras::state {
namespace {

using wire::AttemptState;
using wire::JobKind;
using wire::ResultCode;
using wire::TaskState;

Cell CellWithOneWorker(int64_t milli_cpus = 4000) {
  Cell cell;
  EXPECT_EQ(cell.PutSection("platform", 0, kTwoOwners).code, ResultCode::kOk);
  EXPECT_EQ(cell.PutWorker("w1", "r1", milli_cpus).code, ResultCode::kOk);
  return cell;
}

TEST(MachineTest, TaskRunsFromSubmissionToCompletion) {
  Cell cell = CellWithOneWorker();
  ASSERT_EQ(cell.Submit(Spec("j", "akt", JobKind::kBatch, 1, 1000)).code,
            ResultCode::kOk);
  const auto assigned = cell.Assign("j", 0, "w1");
  ASSERT_EQ(assigned.code, ResultCode::kOk);
  EXPECT_EQ(assigned.details["groups"][0]["attempts"], nlohmann::json({1}));
  const auto commands =
      cell.machine.CommandsFor(wire::WorkerId("w1"), wire::Incarnation("r1"));
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].attempt, wire::AttemptId(1));
  EXPECT_EQ(cell.machine.ReservedBy(wire::OwnerId("akt")).milli_cpus, 1000);
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kRunning));
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kRunning);
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kDone));
  EXPECT_EQ(cell.Job("j").state, JobState::kDone);
  EXPECT_EQ(cell.machine.FindWorker(wire::WorkerId("w1"))->reserved,
            wire::Resources());
}

TEST(MachineTest, ResubmissionIsIdempotent) {
  Cell cell = CellWithOneWorker();
  const auto spec = Spec("j", "akt", JobKind::kBatch, 2, 1000);
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kOk);
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kDuplicate);
  EXPECT_EQ(cell.Submit(Spec("j", "akt", JobKind::kBatch, 3, 1000)).code,
            ResultCode::kConflict);
  EXPECT_EQ(cell.Job("j").tasks.size(), 2u);
}

TEST(MachineTest, JobOfAnotherOwnerIsNotFound) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "akt", JobKind::kBatch, 1, 1000));
  const auto refused =
      cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  EXPECT_EQ(refused.code, ResultCode::kNotFound);
  EXPECT_TRUE(refused.details.is_null());
  EXPECT_EQ(cell.Cancel("j", "skeem").code, ResultCode::kNotFound);
  EXPECT_EQ(cell.machine.FindJob(wire::JobId("j"), wire::OwnerId("skeem")),
            nullptr);
  EXPECT_EQ(cell.Job("j").goal, JobGoal::kRun);
}

TEST(MachineTest, InfeasibleJobsAreRefusedWithResourceAndLimit) {
  Cell cell = CellWithOneWorker();
  const auto refused = [&](JobKind kind, uint32_t tasks, int64_t milli_cpus,
                           const std::string& owner) {
    return cell.Submit(Spec("j", owner, kind, tasks, milli_cpus));
  };
  auto result = refused(JobKind::kBatch, 1, 20001, "akt");
  EXPECT_EQ(result.code, ResultCode::kInfeasible);
  EXPECT_EQ(result.details, nlohmann::json({{"resource", "milli_cpus"},
                                            {"asked", 20001},
                                            {"bound", 20000}}));
  result = refused(JobKind::kBatch, 1, 4001, "skeem");
  EXPECT_EQ(result.details["bound"], 4000);
  result = refused(JobKind::kGang, 5, 1000, "skeem");
  EXPECT_EQ(result.code, ResultCode::kInfeasible);
  EXPECT_EQ(result.details["resource"], "tasks");
  EXPECT_EQ(result.details["bound"], 4);
  EXPECT_EQ(refused(JobKind::kBatch, 50, 4000, "akt").code, ResultCode::kOk);
  result = cell.Submit(Spec("k", "akt", JobKind::kBatch, 51, 1));
  EXPECT_EQ(result.code, ResultCode::kForbidden);
}

TEST(MachineTest, JobIsAcceptedWhileNoWorkerIsRegistered) {
  Cell cell;
  EXPECT_EQ(cell.Submit(Spec("j", "akt", JobKind::kGang, 50, 99000)).code,
            ResultCode::kOk);
}

TEST(MachineTest, AssignmentGroupIsAtomic) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 3, 1500));
  const auto result = cell.Assign({cell.MakeAssignment("j", 0, "w1"),
                                   cell.MakeAssignment("j", 1, "w1"),
                                   cell.MakeAssignment("j", 2, "w1")});
  EXPECT_EQ(result.code, ResultCode::kConflict);
  EXPECT_EQ(result.details["groups"][0]["message"],
            "task \"j/2\": worker \"w1\" has only 1000m cpu, 999998 MiB, "
            "0 accelerators free");
  EXPECT_EQ(cell.Job("j").CountPlaced(), 0u);
  EXPECT_EQ(cell.Assign({cell.MakeAssignment("j", 0, "w1"),
                         cell.MakeAssignment("j", 1, "w1")})
                .code,
            ResultCode::kOk);
  EXPECT_EQ(cell.Assign("j", 2, "w1").code, ResultCode::kConflict);
}

TEST(MachineTest, GangMustBeAssignedInOneGroup) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("g", "skeem", JobKind::kGang, 2, 1000));
  EXPECT_EQ(cell.Assign("g", 0, "w1").code, ResultCode::kConflict);
  EXPECT_EQ(cell.Assign({cell.MakeAssignment("g", 0, "w1"),
                         cell.MakeAssignment("g", 1, "w1")})
                .code,
            ResultCode::kOk);
}

TEST(MachineTest, SameTaskTwiceInAGroupIsRefused) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  EXPECT_EQ(cell.Assign({cell.MakeAssignment("j", 0, "w1"),
                         cell.MakeAssignment("j", 0, "w1")})
                .code,
            ResultCode::kConflict);
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kOk);
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kConflict);
}

TEST(MachineTest, UnavailableWorkersGetNoAssignments) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  wire::PutWorker leaving;
  leaving.worker = wire::WorkerId("w1");
  leaving.incarnation = wire::Incarnation("r1");
  leaving.capacity = {4000, 1000, 0};
  leaving.state = wire::WorkerState::kLeaving;
  cell.ApplyCommand(leaving);
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kConflict);
  cell.PutWorker("w1", "r1", 4000);
  cell.ApplyCommand(
      wire::SetQuarantine{wire::WorkerId("w1"), true, "fails all"});
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kConflict);
  cell.ApplyCommand(wire::SetQuarantine{wire::WorkerId("w1"), false, ""});
  wire::Assignment stale = cell.MakeAssignment("j", 0, "w1");
  stale.incarnation = wire::Incarnation("r0");
  EXPECT_EQ(cell.Assign({stale}).code, ResultCode::kConflict);
  cell.EndWorker("w1", "r1");
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kConflict);
}

TEST(MachineTest, WorkerWithReducedCapacityIsOvercommitted) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 3, 1000));
  cell.Assign(
      {cell.MakeAssignment("j", 0, "w1"), cell.MakeAssignment("j", 1, "w1")});
  cell.PutWorker("w1", "r1", 1000);
  EXPECT_TRUE(cell.machine.FindWorker(wire::WorkerId("w1"))->IsOvercommitted());
  EXPECT_EQ(cell.Assign("j", 2, "w1").code, ResultCode::kConflict);
  EXPECT_EQ(cell.Job("j").CountPlaced(), 2u);
}

TEST(MachineTest, TaskOfLostAttemptIsRequeuedAndItsLateReportIsStale) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  cell.Assign("j", 0, "w1");
  const auto late = cell.Report("j", 0, AttemptState::kDone);
  EXPECT_EQ(cell.EndWorker("w1", "r1").details["lost"], 1);
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kPending);
  EXPECT_EQ(cell.ApplyCommand(late).code, ResultCode::kStale);
  cell.PutWorker("w1", "r2", 4000);
  cell.Assign("j", 0, "w1");
  EXPECT_EQ(cell.Task("j", 0).attempt, wire::AttemptId(2));
  auto old_attempt = late;
  old_attempt.incarnation = wire::Incarnation("r2");
  EXPECT_EQ(cell.ApplyCommand(old_attempt).details["reports"],
            nlohmann::json({"stale"}));
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kAssigned);
}

TEST(MachineTest, NewIncarnationEndsTheAttemptsOfTheOld) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 4000));
  cell.Assign("j", 0, "w1");
  EXPECT_EQ(cell.PutWorker("w1", "r2", 4000).details["lost"], 1);
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kPending);
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kOk);
}

TEST(MachineTest, EndedRunOfAWorkerIsRefused) {
  Cell cell = CellWithOneWorker();
  cell.PutWorker("w1", "r2", 4000);
  EXPECT_EQ(cell.PutWorker("w1", "r1", 4000).code, ResultCode::kStale);
  EXPECT_EQ(cell.EndWorker("w1", "r1").code, ResultCode::kStale);
  cell.EndWorker("w1", "r2");
  EXPECT_EQ(cell.PutWorker("w1", "r2", 4000).code, ResultCode::kStale);
  EXPECT_EQ(cell.PutWorker("w1", "r3", 4000).code, ResultCode::kOk);
}

TEST(MachineTest, GangRestartsAsAWhole) {
  Cell cell = CellWithOneWorker();
  cell.PutWorker("w2", "r1", 4000);
  cell.Submit(Spec("g", "skeem", JobKind::kGang, 3, 1000));
  cell.Assign({cell.MakeAssignment("g", 0, "w1"),
               cell.MakeAssignment("g", 1, "w2"),
               cell.MakeAssignment("g", 2, "w2")});
  cell.ApplyCommand(cell.Report("g", 2, AttemptState::kDone));
  cell.EndWorker("w1", "r1");
  EXPECT_EQ(cell.Task("g", 0).state, TaskState::kPending);
  EXPECT_EQ(cell.Task("g", 1).state, TaskState::kStopping);
  EXPECT_EQ(cell.Task("g", 2).state, TaskState::kPending);
  EXPECT_EQ(cell.Assign({cell.MakeAssignment("g", 0, "w2"),
                         cell.MakeAssignment("g", 1, "w2"),
                         cell.MakeAssignment("g", 2, "w2")})
                .code,
            ResultCode::kConflict);
  cell.ApplyCommand(cell.Report("g", 1, AttemptState::kStopped));
  EXPECT_EQ(cell.Job("g").goal, JobGoal::kRun);
  EXPECT_EQ(cell.Assign({cell.MakeAssignment("g", 0, "w2"),
                         cell.MakeAssignment("g", 1, "w2"),
                         cell.MakeAssignment("g", 2, "w2")})
                .code,
            ResultCode::kOk);
}

TEST(MachineTest, JobFailsAfterMaxAttempts) {
  Cell cell = CellWithOneWorker();
  auto spec = Spec("j", "skeem", JobKind::kBatch, 2, 1000);
  spec.max_attempts = 2;
  cell.Submit(spec);
  cell.Assign(
      {cell.MakeAssignment("j", 0, "w1"), cell.MakeAssignment("j", 1, "w1")});
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kFailed));
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kPending);
  cell.Assign("j", 0, "w1");
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kFailed));
  EXPECT_EQ(cell.Job("j").goal, JobGoal::kFail);
  EXPECT_EQ(cell.Task("j", 1).state, TaskState::kStopping);
  cell.ApplyCommand(cell.Report("j", 1, AttemptState::kStopped));
  EXPECT_EQ(cell.Job("j").state, JobState::kFailed);
  EXPECT_EQ(cell.Job("j").reason, "task 0 failed 2 times, last: reported");
}

// The worker's loss isn't a failure of the task, but the task, alone on it,
// must not take down worker after worker either.
TEST(MachineTest, ATaskThatCrashesEachWorkerIsGivenUp) {
  constexpr int kMaxCrashes = 5;
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  int crashes = 0;
  while (crashes <= kMaxCrashes &&
         cell.Assign("j", 0, "w1").code == ResultCode::kOk) {
    ++crashes;
    cell.PutWorker("w1", "r" + std::to_string(crashes + 1), 4000);
  }
  EXPECT_LE(crashes, kMaxCrashes);
}

TEST(MachineTest, CancellationReportsWhetherTasksMayHaveStarted) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 4, 1000));
  cell.Assign({cell.MakeAssignment("j", 0, "w1"),
               cell.MakeAssignment("j", 1, "w1"),
               cell.MakeAssignment("j", 2, "w1")});
  EXPECT_EQ(cell.Cancel("j", "skeem").code, ResultCode::kOk);
  EXPECT_EQ(cell.Task("j", 3).state, TaskState::kCancelled);
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kStopping);
  EXPECT_EQ(
      cell.machine.CommandsFor(wire::WorkerId("w1"), wire::Incarnation("r1"))
          .front()
          .order,
      wire::AttemptOrder::kStop);
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kStopped, false));
  cell.ApplyCommand(cell.Report("j", 1, AttemptState::kRunning));
  EXPECT_EQ(cell.Task("j", 1).state, TaskState::kStopping);
  cell.ApplyCommand(cell.Report("j", 1, AttemptState::kStopped, false));
  EXPECT_EQ(cell.Job("j").state, JobState::kActive);
  cell.EndWorker("w1", "r1");
  EXPECT_EQ(cell.Job("j").state, JobState::kCancelled);
  const std::string not_started = "cancelled before it started";
  const std::string stopped = "stopped after it may have started";
  EXPECT_EQ(cell.Task("j", 0).reason, not_started);
  EXPECT_EQ(cell.Task("j", 1).reason, stopped);
  EXPECT_EQ(cell.Task("j", 2).reason, stopped);
  EXPECT_EQ(cell.Task("j", 3).reason, not_started);
  EXPECT_EQ(cell.Cancel("j", "skeem").details["jobs"][0]["code"], "duplicate");
}

TEST(MachineTest, PreemptedTaskKeepsItsReservationUntilStopIsConfirmed) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 2, 4000));
  cell.Assign("j", 0, "w1");
  wire::OrderAttempts order;
  const wire::TaskId task{wire::JobId("j"), 0};
  order.items.push_back(
      {task, wire::AttemptId(1), wire::AttemptOrder::kCheckpoint, "preempted"});
  EXPECT_EQ(cell.ApplyCommand(order).details["items"], nlohmann::json({"ok"}));
  EXPECT_EQ(cell.Assign("j", 1, "w1").code, ResultCode::kConflict);
  cell.ApplyCommand(cell.Report("j", 0, AttemptState::kStopped));
  EXPECT_EQ(cell.ApplyCommand(order).details["items"],
            nlohmann::json({"stale"}));
  EXPECT_EQ(cell.Task("j", 0).state, TaskState::kPending);
  EXPECT_EQ(cell.Assign("j", 1, "w1").code, ResultCode::kOk);
}

TEST(MachineTest, ParkedJobGetsNoAssignments) {
  Cell cell = CellWithOneWorker();
  cell.Submit(Spec("j", "skeem", JobKind::kBatch, 1, 1000));
  cell.ApplyCommand(wire::ParkJob{wire::JobId("j"), "its worker is gone", 0});
  EXPECT_EQ(cell.Job("j").state, JobState::kParked);
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kConflict);
  cell.ApplyCommand(wire::ParkJob{wire::JobId("j"), "", 0});
  EXPECT_EQ(cell.Assign("j", 0, "w1").code, ResultCode::kOk);
}

TEST(MachineTest, ServiceTasksAreAlwaysRestarted) {
  Cell cell = CellWithOneWorker();
  cell.PutSection("akt", 0, WebWorkload(1, 1000));
  const std::string job = "service:akt/web";
  for (const AttemptState end :
       {AttemptState::kFailed, AttemptState::kFailed, AttemptState::kFailed,
        AttemptState::kFailed, AttemptState::kDone, AttemptState::kStopped}) {
    ASSERT_EQ(cell.Assign(job, 0, "w1").code, ResultCode::kOk);
    cell.ApplyCommand(cell.Report(job, 0, end));
    EXPECT_EQ(cell.Task(job, 0).state, TaskState::kPending);
  }
}

TEST(MachineTest, ServiceShrinksFromTheHighestIndex) {
  Cell cell = CellWithOneWorker();
  cell.PutSection("akt", 0, WebWorkload(3, 1000));
  const std::string job = "service:akt/web";
  cell.Assign(
      {cell.MakeAssignment(job, 0, "w1"), cell.MakeAssignment(job, 2, "w1")});
  cell.PutSection("akt", 1, WebWorkload(1, 1000));
  EXPECT_EQ(cell.Task(job, 0).state, TaskState::kAssigned);
  EXPECT_EQ(cell.Task(job, 2).state, TaskState::kStopping);
  cell.ApplyCommand(cell.Report(job, 2, AttemptState::kStopped));
  EXPECT_EQ(cell.Job(job).tasks.size(), 1u);
  cell.PutSection("akt", 2, WebWorkload(2, 1000));
  EXPECT_EQ(cell.Task(job, 1).state, TaskState::kPending);
}

TEST(MachineTest, WithdrawnServiceEndsAndMayBeDeclaredAgain) {
  Cell cell = CellWithOneWorker();
  cell.PutSection("akt", 0, WebWorkload(1, 1000));
  const std::string job = "service:akt/web";
  cell.Assign(job, 0, "w1");
  EXPECT_EQ(cell.Cancel(job, "akt").details["jobs"][0]["code"], "forbidden");
  cell.PutSection("akt", 1, "");
  cell.ApplyCommand(cell.Report(job, 0, AttemptState::kStopped));
  EXPECT_EQ(cell.Job(job).state, JobState::kCancelled);
  cell.PutSection("akt", 2, WebWorkload(2, 1000));
  EXPECT_EQ(cell.Job(job).Count(TaskState::kPending), 2u);
}

TEST(MachineTest, ChangedServiceIsReplacedOneInstanceAtATime) {
  Cell cell = CellWithOneWorker();
  cell.PutSection("akt", 0, WebWorkload(2, 1000));
  const std::string job = "service:akt/web";
  cell.Assign(
      {cell.MakeAssignment(job, 0, "w1"), cell.MakeAssignment(job, 1, "w1")});
  cell.ApplyCommand(cell.Report(job, 0, AttemptState::kRunning));
  cell.ApplyCommand(cell.Report(job, 1, AttemptState::kRunning));
  cell.PutSection("akt", 1, WebWorkload(2, 1500));
  EXPECT_EQ(cell.Job(job).Count(TaskState::kStopping), 1u);
  cell.ApplyCommand(cell.Report(job, 0, AttemptState::kStopped));
  EXPECT_EQ(cell.Job(job).Count(TaskState::kRunning), 1u);
  cell.Assign(job, 0, "w1");
  cell.ApplyCommand(cell.Report(job, 0, AttemptState::kRunning));
  EXPECT_EQ(cell.Task(job, 1).state, TaskState::kStopping);
}

TEST(MachineTest, EndedJobsAndWorkersAreRemovedAfterRetention) {
  Cell cell = CellWithOneWorker();
  const auto spec = Spec("j", "skeem", JobKind::kBatch, 1, 1000);
  cell.Submit(spec);
  cell.Cancel("j", "skeem");
  cell.EndWorker("w1", "r1");
  cell.ApplyCommand(wire::Expire{cell.at_ms + 4999});
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kDuplicate);
  EXPECT_EQ(cell.ApplyCommand(wire::Expire{cell.at_ms + 5000}).details["jobs"],
            1);
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kOk);
  EXPECT_EQ(
      cell.ApplyCommand(wire::Expire{cell.at_ms + 9000}).details["workers"], 1);
  EXPECT_EQ(cell.Job("j").state, JobState::kActive);
}

TEST(MachineTest, EndedJobsPerOwnerAreLimited) {
  Cell cell;
  cell.PutSection("platform", 0,
                  std::string(kTwoOwners) +
                      "max_ended_tasks_per_owner = 4\n"
                      "max_ended_jobs_per_owner = 3\n");
  auto spec = Spec("j", "skeem", JobKind::kBatch, 2, 1000);
  spec.payload = "render";
  for (int n = 0; n < 4; ++n) {
    ++cell.at_ms;
    spec.id = wire::JobId("j" + std::to_string(n));
    ASSERT_EQ(cell.Submit(spec).code, ResultCode::kOk);
    cell.Cancel(spec.id.str(), "skeem");
  }
  EXPECT_EQ(cell.machine.FindJob(wire::JobId("j0")), nullptr);
  EXPECT_TRUE(cell.Job("j1").is_compacted);
  EXPECT_TRUE(cell.Job("j1").tasks.empty());
  EXPECT_EQ(cell.Job("j2").tasks.size(), 2u);
  cell.PutWorker("w1", "r1", 4000);
  EXPECT_EQ(cell.Assign("j1", 1, "w1").details["groups"][0]["message"],
            "task \"j1/1\": the job has ended");
  spec.id = wire::JobId("j1");
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kDuplicate);
  EXPECT_EQ(cell.Job("j1").state, JobState::kCancelled);
  StateReason why;
  const auto copy = Machine::FromSnapshot(cell.machine.Snapshot(), why);
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->Snapshot(), cell.machine.Snapshot());
}

TEST(MachineTest, EndedTasksDoNotCountTowardsTheOwnersLimit) {
  Cell cell = CellWithOneWorker();
  for (int n = 0; n < 3; ++n) {
    const std::string id = "j" + std::to_string(n);
    ASSERT_EQ(cell.Submit(Spec(id, "skeem", JobKind::kBatch, 60, 1)).code,
              ResultCode::kOk);
    cell.Cancel(id, "skeem");
  }
}

TEST(MachineTest, LogIndexMustIncrease) {
  Cell cell = CellWithOneWorker();
  const auto spec = Spec("j", "skeem", JobKind::kBatch, 1, 1000);
  EXPECT_EQ(cell.machine.Apply(cell.index, wire::SubmitJob{spec, 0}).code,
            ResultCode::kStale);
  EXPECT_TRUE(cell.machine.jobs().empty());
}

TEST(MachineTest, TruncatedSnapshotsAreRefused) {
  Cell cell = CellWithOneWorker();
  const std::string bytes = cell.machine.Snapshot();
  StateReason why;
  for (size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(Machine::FromSnapshot(bytes.substr(0, n), why)) << n;
  }
  EXPECT_EQ(why.code, StateError::kBadSnapshot);
  EXPECT_TRUE(Machine::FromSnapshot(bytes, why));
}

}  // namespace
}  // namespace sassafras::state
