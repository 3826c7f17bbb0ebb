// Tests the limits on what an assignment reserves relative to what its job
// declares.

#include <gtest/gtest.h>

#include "cell.h"

namespace sassafras::state {
namespace {

using wire::JobKind;
using wire::ResultCode;

// Returns the result code of an assignment that reserves `reserved` for a task
// that declares 1000 milli-CPUs and 100 MiB.
ResultCode AssignWithReservation(JobKind kind,
                                 const wire::Resources& reserved) {
  Cell cell;
  cell.PutSection("platform", 0, kTwoOwners);
  cell.PutWorker("w1", "r1", 4000);
  auto spec = Spec("j", "akt", kind, 1, 1000);
  spec.per_task.memory_mib = 100;
  EXPECT_EQ(cell.Submit(spec).code, ResultCode::kOk);
  auto assignment = cell.MakeAssignment("j", 0, "w1");
  assignment.reserved = reserved;
  const auto result = cell.Assign({assignment});
  return result.details["groups"][0]["code"].get<ResultCode>();
}

TEST(ReservationTest, MayExceedDeclaration) {
  EXPECT_EQ(AssignWithReservation(JobKind::kBatch, {4000, 200, 0}),
            ResultCode::kOk);
  EXPECT_EQ(AssignWithReservation(JobKind::kBatch, {4001, 200, 0}),
            ResultCode::kConflict);
}

TEST(ReservationTest, BatchAndGangTasksMayReserveAQuarterOfDeclaredCpu) {
  EXPECT_EQ(AssignWithReservation(JobKind::kBatch, {250, 100, 0}),
            ResultCode::kOk);
  EXPECT_EQ(AssignWithReservation(JobKind::kGang, {250, 100, 0}),
            ResultCode::kOk);
  EXPECT_EQ(AssignWithReservation(JobKind::kBatch, {249, 100, 0}),
            ResultCode::kConflict);
}

TEST(ReservationTest, AttemptWithLessCpuThanDeclaredStartsThrottled) {
  for (const int64_t milli_cpus : {500, 1000}) {
    Cell cell;
    cell.PutSection("platform", 0, kTwoOwners);
    cell.PutWorker("w1", "r1", 4000);
    cell.Submit(Spec("j", "akt", JobKind::kBatch, 1, 1000));
    auto assignment = cell.MakeAssignment("j", 0, "w1");
    assignment.reserved.milli_cpus = milli_cpus;
    cell.Assign({assignment});
    const auto commands =
        cell.machine.CommandsFor(wire::WorkerId("w1"), wire::Incarnation("r1"));
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].order, milli_cpus < 1000
                                     ? wire::AttemptOrder::kThrottle
                                     : wire::AttemptOrder::kRun);
    EXPECT_EQ(commands[0].limit.milli_cpus, milli_cpus);
  }
}

TEST(ReservationTest, MemoryIsNeverBelowDeclaration) {
  EXPECT_EQ(AssignWithReservation(JobKind::kBatch, {1000, 99, 0}),
            ResultCode::kConflict);
}

TEST(ReservationTest, ServicesReserveAtLeastTheirDeclaration) {
  Cell cell;
  cell.PutSection("platform", 0, kTwoOwners);
  cell.PutWorker("w1", "r1", 4000);
  cell.PutSection("akt", 0, WebWorkload(1, 1000));
  auto assignment = cell.MakeAssignment("service:akt/web", 0, "w1");
  assignment.reserved.milli_cpus = 999;
  const auto result = cell.Assign({assignment});
  EXPECT_EQ(result.details["groups"][0]["code"].get<ResultCode>(),
            ResultCode::kConflict);
}

}  // namespace
}  // namespace sassafras::state
