// Property tests with random commands and simulated workers: lost leases,
// worker restarts, delayed and duplicate reports. The workers track what runs
// where independently of the state machine.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell.h"

namespace sassafras::state {
namespace {

using wire::AttemptOrder;
using wire::AttemptState;
using wire::CommandResult;
using wire::JobKind;
using wire::TaskId;
using wire::TaskState;

// One worker process. `running` has the tasks it actually runs. `ended` has the
// final states of ended attempts; the worker repeats these reports until its
// heartbeat reply no longer lists the attempt.
struct FakeWorker {
  int run = 1;
  bool is_live = true;
  std::map<TaskId, wire::AttemptCommand> running;
  std::map<wire::AttemptId, AttemptState> ended;
};

struct ClusterSimulation {
  Cell cell;
  std::map<std::string, FakeWorker> workers;
  std::vector<wire::ReportAttempts> sent_reports;
  std::set<TaskId> started;  // tasks that any worker ever ran
  std::set<uint64_t> attempts;
  uint64_t last_attempt = 0;
  int next_job = 0;
  int version = 0;

  ClusterSimulation() {
    cell.PutSection("platform", 0, kTwoOwners);
    for (const std::string name : {"w1", "w2", "w3"}) {
      workers[name];
      Register(name, 4000);
    }
  }

  static std::string RunOf(const FakeWorker& worker) {
    return "r" + std::to_string(worker.run);
  }

  CommandResult Register(const std::string& name, int64_t milli_cpus) {
    return cell.PutWorker(name, RunOf(workers[name]), milli_cpus);
  }

  // Receives the list of attempts and runs or stops tasks accordingly.
  void Heartbeat(const std::string& name) {
    FakeWorker& worker = workers[name];
    if (!worker.is_live) {
      return;
    }
    std::map<TaskId, wire::AttemptCommand> wanted;
    for (const auto& it : cell.machine.CommandsFor(
             wire::WorkerId(name), wire::Incarnation(RunOf(worker)))) {
      wanted[it.task] = it;
    }
    std::erase_if(worker.running, [&](const auto& it) {
      return !wanted.contains(it.first) ||
             wanted[it.first].attempt != it.second.attempt;
    });
    for (const auto& [task, command] : wanted) {
      Execute(name, worker, command);
    }
  }

  void Execute(const std::string& name,
               FakeWorker& worker,
               const wire::AttemptCommand& command) {
    const auto ended = worker.ended.find(command.attempt);
    if (ended != worker.ended.end()) {
      Send(name, command, ended->second, true);
      return;
    }
    const bool is_stop = command.order == AttemptOrder::kStop ||
                         command.order == AttemptOrder::kCheckpoint;
    const bool is_running = worker.running.contains(command.task);
    if (is_stop) {
      if (worker.running.erase(command.task) > 0) {
        worker.ended[command.attempt] = AttemptState::kStopped;
      }
      Send(name, command, AttemptState::kStopped, is_running);
    } else if (!is_running) {
      worker.running[command.task] = command;
      started.insert(command.task);
      Send(name, command, AttemptState::kRunning, true);
    }
  }

  // Ends one running attempt of the worker with this state.
  void EndOneAttempt(const std::string& name, AttemptState state) {
    FakeWorker& worker = workers[name];
    if (!worker.running.empty()) {
      const wire::AttemptCommand command = worker.running.begin()->second;
      worker.running.erase(worker.running.begin());
      worker.ended[command.attempt] = state;
      Send(name, command, state, true);
    }
  }

  void Send(const std::string& name,
            const wire::AttemptCommand& command,
            AttemptState state,
            bool has_started) {
    wire::AttemptReport report;
    report.task = command.task;
    report.attempt = command.attempt;
    report.state = state;
    report.has_started = has_started;
    const wire::ReportAttempts reports = {
        wire::WorkerId(name),
        wire::Incarnation(RunOf(workers[name])),
        {report},
        cell.at_ms};
    sent_reports.push_back(reports);
    if (*rc::gen::inRange(0, 4) != 0) {
      cell.ApplyCommand(reports);
    }
  }

  // The worker's lease expires: it stops all tasks before the leader commits
  // the end of its run.
  void LoseLease(const std::string& name) {
    FakeWorker& worker = workers[name];
    worker.running.clear();
    if (worker.is_live) {
      cell.EndWorker(name, RunOf(worker));
      worker.is_live = false;
    }
  }

  void Restart(const std::string& name) {
    FakeWorker& worker = workers[name];
    worker.running.clear();
    worker.is_live = true;
    ++worker.run;
    Register(name, 4000);
  }

  std::vector<TaskId> PendingTasks() const {
    std::vector<TaskId> pending;
    for (const auto& [id, job] : cell.machine.jobs()) {
      for (uint32_t n = 0; n < job.tasks.size(); ++n) {
        if (job.tasks[n].state == TaskState::kPending) {
          pending.push_back({id, n});
        }
      }
    }
    return pending;
  }

  void AssignOne() {
    std::vector<wire::Assignment> group;
    const auto pending = PendingTasks();
    if (pending.empty()) {
      return;
    }
    const auto chosen = pending[*rc::gen::inRange<size_t>(0, pending.size())];
    const JobRecord& job = *cell.machine.FindJob(chosen.job);
    const bool is_gang = job.spec.kind == JobKind::kGang;
    for (uint32_t n = 0; n < (is_gang ? job.spec.tasks : 1); ++n) {
      const auto worker = *rc::gen::element<std::string>("w1", "w2", "w3");
      group.push_back(cell.MakeAssignment(chosen.job.str(),
                                          is_gang ? n : chosen.index, worker));
    }
    const CommandResult result = cell.Assign(group);
    for (const auto& it : result.details["groups"][0]["attempts"]) {
      const auto attempt = it.get<uint64_t>();
      RC_ASSERT(attempt > last_attempt);
      last_attempt = attempt;
    }
  }

  void SubmitOne() {
    auto spec = Spec("j" + std::to_string(next_job++), "skeem",
                     *rc::gen::element(JobKind::kBatch, JobKind::kGang), 1, 1);
    spec.tasks = *rc::gen::inRange<uint32_t>(1, 4);
    spec.per_task.milli_cpus = *rc::gen::inRange(500, 2000);
    cell.Submit(spec);
  }

  void CancelOne() {
    if (next_job > 0) {
      cell.Cancel("j" + std::to_string(*rc::gen::inRange(0, next_job)),
                  "skeem");
    }
  }

  void ParkOne() {
    if (next_job > 0) {
      const auto id = "j" + std::to_string(*rc::gen::inRange(0, next_job));
      cell.ApplyCommand(wire::ParkJob{
          wire::JobId(id),
          *rc::gen::element<std::string>("", "no free capacity"), cell.at_ms});
    }
  }

  void PreemptOne(const std::string& name) {
    const auto& running = workers[name].running;
    if (!running.empty()) {
      const auto& [task, command] = *running.begin();
      wire::OrderAttempts order;
      order.items = {
          {task, command.attempt,
           *rc::gen::element(AttemptOrder::kStop, AttemptOrder::kCheckpoint,
                             AttemptOrder::kThrottle),
           "preempted"}};
      cell.ApplyCommand(order);
    }
  }

  void PutServices() {
    cell.PutSection(
        "akt", version++,
        WebWorkload(*rc::gen::inRange(0, 4), *rc::gen::element(500, 1000)));
  }

  void ResendReport() {
    if (!sent_reports.empty()) {
      cell.ApplyCommand(
          sent_reports[*rc::gen::inRange<size_t>(0, sent_reports.size())]);
    }
  }

  void Step() {
    const auto name = *rc::gen::element<std::string>("w1", "w2", "w3");
    cell.at_ms += *rc::gen::inRange(0, 300);
    switch (*rc::gen::inRange(0, 20)) {
      case 0:
        return LoseLease(name);
      case 1:
        return Restart(name);
      case 2:
        return EndOneAttempt(name, AttemptState::kFailed);
      case 3:
        return EndOneAttempt(name, AttemptState::kDone);
      case 4:
        return CancelOne();
      case 5:
        return PreemptOne(name);
      case 6:
        return PutServices();
      case 7:
      case 8:
        return ResendReport();
      case 9:
      case 10:
        return SubmitOne();
      case 18:
        return ParkOne();
      case 11:
        cell.ApplyCommand(wire::Expire{cell.at_ms});
        return;
      case 12:
      case 13:
      case 14:
      case 15:
        return Heartbeat(name);
      default:
        return AssignOne();
    }
  }

  // No task runs twice at a time and no worker runs more than its capacity.
  void CheckWorkers() const {
    std::set<TaskId> seen;
    for (const auto& [name, worker] : workers) {
      wire::Resources used;
      for (const auto& [task, command] : worker.running) {
        RC_ASSERT(seen.insert(task).second);
        used += command.limit;
      }
      const WorkerRecord* record =
          cell.machine.FindWorker(wire::WorkerId(name));
      if (record != nullptr) {
        RC_ASSERT(used.FitsIn(record->capacity));
      }
    }
  }

  // The derived sums of the machine equal those computed from the tasks.
  void CheckSums() const {
    std::map<wire::WorkerId, wire::Resources> reserved;
    std::set<wire::AttemptId> seen;
    for (const auto& [id, job] : cell.machine.jobs()) {
      std::array<uint32_t, kTaskStates> counts = {};
      for (const TaskRecord& it : job.tasks) {
        ++counts[static_cast<size_t>(it.state)];
        reserved[it.worker] += it.reserved;
        if (it.IsPlaced()) {
          RC_ASSERT(seen.insert(it.attempt).second);
        }
      }
      RC_ASSERT((counts == job.counts));
      RC_ASSERT(!job.IsEnded() || job.CountEnded() == job.tasks.size());
    }
    for (const auto& [id, worker] : cell.machine.workers()) {
      RC_ASSERT(worker.reserved == reserved[id]);
      RC_ASSERT(!worker.IsOvercommitted());
    }
  }

  // Either all tasks of a running gang wait for an attempt or none does.
  void CheckGangs() const {
    for (const auto& [id, job] : cell.machine.jobs()) {
      const bool is_running_gang = job.spec.kind == JobKind::kGang &&
                                   job.goal == JobGoal::kRun && !job.IsEnded();
      const uint32_t waiting =
          job.Count(TaskState::kPending) + job.Count(TaskState::kParked);
      RC_ASSERT(!is_running_gang || waiting == 0 || waiting == job.spec.tasks);
    }
  }

  // A cancelled task whose has_started is false never ran.
  void CheckHasStarted() const {
    for (const auto& [id, job] : cell.machine.jobs()) {
      for (uint32_t n = 0; n < job.tasks.size(); ++n) {
        const bool is_never_started =
            job.tasks[n].state == TaskState::kCancelled &&
            !job.tasks[n].has_started;
        RC_ASSERT(!is_never_started || job.spec.kind == JobKind::kService ||
                  !started.contains({id, n}));
      }
    }
  }
};

RC_GTEST_PROP(MachineProperty, TasksNeverRunTwiceNorOvercommitWorkers, ()) {
  ClusterSimulation simulation;
  const int steps = *rc::gen::inRange(1, 150);
  for (int n = 0; n < steps; ++n) {
    simulation.Step();
    simulation.CheckWorkers();
    simulation.CheckSums();
    simulation.CheckGangs();
    simulation.CheckHasStarted();
  }
}

// A replica that is restored from a snapshot at any log index reaches the same
// state.
RC_GTEST_PROP(MachineProperty, ReplicasOfOneLogHaveEqualStates, ()) {
  ClusterSimulation simulation;
  const int steps = *rc::gen::inRange(1, 100);
  for (int n = 0; n < steps; ++n) {
    simulation.Step();
  }
  const auto& log = simulation.cell.log;
  const auto restart = *rc::gen::inRange<size_t>(0, log.size());
  Machine replica;
  for (size_t n = 0; n < log.size(); ++n) {
    wire::CodecReason codec_why;
    const auto command = wire::DecodeCommand(log[n], codec_why);
    RC_ASSERT(command.has_value());
    replica.Apply(n + 1, *command);
    if (n == restart) {
      StateReason why;
      auto restored = Machine::FromSnapshot(replica.Snapshot(), why);
      RC_ASSERT(restored.has_value());
      replica = std::move(*restored);
    }
  }
  RC_ASSERT(replica.Snapshot() == simulation.cell.machine.Snapshot());
}

RC_GTEST_PROP(MachineProperty, RestoredSnapshotBehavesLikeTheOriginal, ()) {
  ClusterSimulation simulation;
  const int steps = *rc::gen::inRange(1, 100);
  for (int n = 0; n < steps; ++n) {
    simulation.Step();
  }
  const std::string bytes = simulation.cell.machine.Snapshot();
  StateReason why;
  auto copy = Machine::FromSnapshot(bytes, why);
  RC_ASSERT(copy.has_value());
  RC_ASSERT(copy->Snapshot() == bytes);
  // The same commands give the same results on the copy and on the original.
  ClusterSimulation& original = simulation;
  Cell restored_cell;
  restored_cell.machine = std::move(*copy);
  restored_cell.index = original.cell.index;
  for (const auto& it : original.sent_reports) {
    RC_ASSERT(nlohmann::json(original.cell.ApplyCommand(it)) ==
              nlohmann::json(restored_cell.ApplyCommand(it)));
  }
  for (const auto& [name, worker] : original.workers) {
    RC_ASSERT(nlohmann::json(original.cell.EndWorker(
                  name, ClusterSimulation::RunOf(worker))) ==
              nlohmann::json(restored_cell.ApplyCommand(wire::EndWorker{
                  wire::WorkerId(name),
                  wire::Incarnation(ClusterSimulation::RunOf(worker)),
                  original.cell.at_ms})));
  }
  RC_ASSERT(original.cell.machine.Snapshot() ==
            restored_cell.machine.Snapshot());
}

}  // namespace
}  // namespace sassafras::state
