// Fuzz tests of the state machine: corrupt snapshots, and commands with
// arbitrary field values.

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell.h"

namespace sassafras::state {
namespace {

// Returns a cell whose state has at least one record of each kind.
Cell FilledCell() {
  Cell cell;
  cell.PutSection("platform", 0, kTwoOwners);
  cell.PutWorker("w1", "r1", 4000);
  cell.Submit({.id = wire::JobId("job"),
               .owner = wire::OwnerId("akt"),
               .tasks = 3,
               .per_task = {1000, 10, 0}});
  cell.Assign("job", 0, "w1");
  cell.ApplyCommand(
      wire::BeginEntry{wire::EntryId("e1"), wire::Incarnation("i1")});
  cell.ApplyCommand(wire::Admit{.key = wire::RequestKey("k"),
                                .owner = wire::OwnerId("akt"),
                                .entry = wire::EntryId("e1"),
                                .incarnation = wire::Incarnation("i1")});
  return cell;
}

// Exercises a machine restored from a snapshot in the ways that a leader does.
void ExerciseMachine(Machine& machine) {
  const uint64_t index = machine.applied_index();
  if (index > UINT64_MAX - 3) {
    return;
  }
  const std::string bytes = machine.Snapshot();
  machine.Apply(index + 1, wire::EndWorker{wire::WorkerId("w1"),
                                           wire::Incarnation("r1"), 10});
  machine.Apply(index + 2, wire::CancelJobs{.jobs = {wire::JobId("job")},
                                            .is_platform = true});
  machine.Apply(index + 3, wire::Expire{1'000'000'000'000});
  for (const auto& [id, worker] : machine.workers()) {
    machine.CommandsFor(id, worker.incarnation);
  }
  machine.Snapshot();
}

void CheckRestoresOrSetsReason(const std::string& bytes) {
  StateReason why;
  auto machine = Machine::FromSnapshot(bytes, why);
  RC_ASSERT(machine || !why.message.empty());
  RC_ASSERT(machine || why.code == StateError::kBadSnapshot);
  if (machine) {
    ExerciseMachine(*machine);
  }
}

RC_GTEST_PROP(SnapshotFuzz, CorruptBytesAreRestoredOrRefused, ()) {
  static const std::string bytes = FilledCell().machine.Snapshot();
  CheckRestoresOrSetsReason(fuzz::Broken(bytes));
  CheckRestoresOrSetsReason(fuzz::Bytes());
}

// Well-formed CBOR in which a field has a wrong value.
RC_GTEST_PROP(SnapshotFuzz, WrongValuesAreRestoredOrRefused, ()) {
  static const std::string bytes = FilledCell().machine.Snapshot();
  wire::CodecReason why;
  const fuzz::Json value = *wire::ParseCbor(bytes, why);
  CheckRestoresOrSetsReason(wire::ToCborBytes(fuzz::WithWrongLeaf(value)));
}

// The fields of a committed command may have any value that a caller sent.
RC_GTEST_PROP(CommandFuzz, ArbitraryFieldsKeepTheStateValid, ()) {
  Cell cell = FilledCell();
  const wire::TaskId task{wire::JobId("job"), 0};
  const wire::TaskId out_of_range{wire::JobId("job"), UINT32_MAX};
  const wire::Assignment assignment{out_of_range,
                                    wire::WorkerId("w1"),
                                    wire::Incarnation("r1"),
                                    {INT64_MIN, INT64_MAX, -1}};
  for (const wire::TaskId& it : {task, out_of_range}) {
    const auto attempt = wire::AttemptId(fuzz::Pick(0, 4));
    cell.ApplyCommand(wire::ReportAttempts{wire::WorkerId("w1"),
                                           wire::Incarnation("r1"),
                                           {{.task = it, .attempt = attempt}}});
    cell.ApplyCommand(wire::OrderAttempts{{{.task = it, .attempt = attempt}}});
  }
  cell.ApplyCommand(wire::AssignTasks{{{assignment}, {}}});
  wire::CodecReason why;
  const auto spec = wire::FromValue<wire::JobSpec>(
      fuzz::Like(fuzz::Json(wire::JobSpec{})), why);
  RC_ASSERT(spec);
  cell.ApplyCommand(wire::SubmitJob{*spec});
  const std::string bytes = cell.machine.Snapshot();
  StateReason state_why;
  const auto copy = Machine::FromSnapshot(bytes, state_why);
  RC_ASSERT(copy);
  RC_ASSERT(copy->Snapshot() == bytes);
}

}  // namespace
}  // namespace sassafras::state
