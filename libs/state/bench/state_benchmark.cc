// Measures the throughput of commands and the size and time of snapshots of the
// state machine at the size of one cell, and naive implementations for
// comparison.

#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "state/machine.h"
#include "wire/commands.h"

namespace sassafras::state {
namespace {

constexpr uint32_t kWorkers = 2'833;
constexpr uint32_t kTasksPerJob = 20;
constexpr wire::Resources kCapacity = {64'000, 131'072, 8};
constexpr wire::Resources kPerTask = {1'000, 2'048, 0};

wire::WorkerId WorkerIdOf(uint32_t n) {
  return wire::WorkerId("worker-" + std::to_string(n % kWorkers));
}

wire::JobId JobIdOf(uint32_t n) {
  return wire::JobId("job-" + std::to_string(n));
}

const wire::Incarnation& Run() {
  static const wire::Incarnation run("0123456789abcdef0123456789abcdef");
  return run;
}

// A cell whose jobs have `tasks` tasks in total.
class BenchmarkCell {
 public:
  explicit BenchmarkCell(uint32_t tasks) : tasks_(tasks) {
    for (uint32_t n = 0; n < kWorkers; ++n) {
      wire::PutWorker put;
      put.worker = WorkerIdOf(n);
      put.incarnation = Run();
      put.zone = wire::ZoneId("zone-" + std::to_string(n % 3));
      put.rack = wire::RackId("rack-" + std::to_string(n / 5));
      put.capacity = kCapacity;
      Apply(put);
    }
    for (uint32_t n = 0; n < tasks / kTasksPerJob; ++n) {
      Submit(JobIdOf(n));
    }
  }

  void Submit(const wire::JobId& id) {
    wire::JobSpec spec;
    spec.id = id;
    spec.owner = wire::OwnerId("owner-" + std::to_string(next_index_ % 8));
    spec.tasks = kTasksPerJob;
    spec.per_task = kPerTask;
    spec.payload = "render --tile 17";
    Apply(wire::SubmitJob{spec, 1});
  }

  wire::AssignTasks AssignmentOf(uint32_t task, uint32_t count) const {
    wire::AssignTasks assign;
    for (uint32_t n = task; n < task + count; ++n) {
      assign.groups.push_back({{TaskIdOf(n), WorkerIdOf(n), Run(), kPerTask}});
    }
    return assign;
  }

  wire::ReportAttempts ReportOf(uint32_t task, wire::AttemptState state) const {
    wire::AttemptReport report;
    report.task = TaskIdOf(task);
    report.attempt = machine_.FindTask(report.task)->attempt;
    report.state = state;
    return {WorkerIdOf(task), Run(), {report}, 1};
  }

  void AssignAll() {
    for (uint32_t n = 0; n < tasks_; n += kTasksPerJob) {
      Apply(AssignmentOf(n, kTasksPerJob));
    }
    machine_.TakeChanges();
  }

  wire::CommandResult Apply(const wire::Command& command) {
    return machine_.Apply(++next_index_, command);
  }

  static wire::TaskId TaskIdOf(uint32_t task) {
    return {JobIdOf(task / kTasksPerJob), task % kTasksPerJob};
  }
  Machine& machine() { return machine_; }
  uint32_t tasks() const { return tasks_; }

 private:
  uint32_t tasks_;
  uint64_t next_index_ = 0;
  Machine machine_;
};

uint32_t TasksOf(const benchmark::State& state) {
  return static_cast<uint32_t>(state.range(0));
}

// Assigns all tasks, `range(1)` groups per command.
void AssignTasks(benchmark::State& state) {
  const auto groups = static_cast<uint32_t>(state.range(1));
  uint64_t placed = 0;
  for (auto it : state) {
    state.PauseTiming();
    BenchmarkCell cell(TasksOf(state));
    state.ResumeTiming();
    for (uint32_t n = 0; n + groups <= cell.tasks(); n += groups) {
      const auto result = cell.Apply(cell.AssignmentOf(n, groups));
      placed += result.code == wire::ResultCode::kOk ? groups : 0;
    }
    state.PauseTiming();
    { const BenchmarkCell destroyed = std::move(cell); }
    state.ResumeTiming();
  }
  state.SetItemsProcessed(static_cast<int64_t>(placed));
}
BENCHMARK(AssignTasks)
    ->ArgsProduct({{6'000, 60'000}, {1, 20}})
    ->Unit(benchmark::kMillisecond);

// The capacity check without derived sums: scans all tasks for those of the
// worker.
void AssignByScan(benchmark::State& state) {
  struct Task {
    wire::WorkerId worker;
    wire::Resources reserved;
  };
  std::vector<Task> tasks(TasksOf(state));
  for (uint32_t n = 0; n < tasks.size(); ++n) {
    tasks[n] = {WorkerIdOf(n), kPerTask};
  }
  uint32_t next = 0;
  for (auto it : state) {
    const wire::WorkerId worker = WorkerIdOf(next++);
    wire::Resources used;
    for (const Task& task : tasks) {
      if (task.worker == worker) {
        used += task.reserved;
      }
    }
    benchmark::DoNotOptimize(kPerTask.FitsIn(kCapacity - used));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(AssignByScan)->Arg(6'000)->Arg(60'000);

// One report per command: first each task is running, then each is done.
void ReportAttempts(benchmark::State& state) {
  uint64_t reports = 0;
  for (auto it : state) {
    state.PauseTiming();
    BenchmarkCell cell(TasksOf(state));
    cell.AssignAll();
    state.ResumeTiming();
    for (const auto end :
         {wire::AttemptState::kRunning, wire::AttemptState::kDone}) {
      for (uint32_t n = 0; n < cell.tasks(); ++n) {
        cell.Apply(cell.ReportOf(n, end));
        ++reports;
      }
    }
    state.PauseTiming();
    { const BenchmarkCell destroyed = std::move(cell); }
    state.ResumeTiming();
  }
  state.SetItemsProcessed(static_cast<int64_t>(reports));
}
BENCHMARK(ReportAttempts)
    ->Arg(6'000)
    ->Arg(60'000)
    ->Unit(benchmark::kMillisecond);

// Decodes a log record that has one assignment.
void DecodeCommand(benchmark::State& state) {
  const BenchmarkCell cell(kTasksPerJob);
  const std::string bytes = wire::EncodeCommand(cell.AssignmentOf(0, 1));
  for (auto it : state) {
    wire::CodecReason why;
    benchmark::DoNotOptimize(wire::DecodeCommand(bytes, why));
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(DecodeCommand);

void SubmitJob(benchmark::State& state) {
  BenchmarkCell cell(TasksOf(state));
  uint32_t next = 1'000'000;
  for (auto it : state) {
    cell.Submit(JobIdOf(next++));
    if (next % 1'000 == 0) {
      cell.machine().TakeChanges();
    }
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SubmitJob)->Arg(60'000)->Iterations(10'000);

// Admits requests and closes them with an answer of 1 KiB.
void AdmitAndClose(benchmark::State& state) {
  BenchmarkCell cell(kTasksPerJob);
  const wire::EntryId entry("entry-1");
  cell.Apply(wire::BeginEntry{entry, Run(), wire::ZoneId("zone-1"), 1});
  wire::CloseAdmission close;
  close.entry = entry;
  close.incarnation = Run();
  close.outcome = wire::AdmissionState::kCompleted;
  close.answer.body.resize(1'024, 'x');
  close.at_ms = 1;
  uint64_t next = 0;
  for (auto it : state) {
    const wire::RequestKey key("key-" + std::to_string(next));
    const wire::OwnerId owner("owner-" + std::to_string(next++ % 8));
    cell.Apply(wire::Admit{key, owner, wire::ServiceId("hold"), "digest", entry,
                           Run(), 1, 1'000});
    close.key = key;
    close.owner = owner;
    cell.Apply(close);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(AdmitAndClose)->Iterations(50'000);

void Snapshot(benchmark::State& state) {
  const size_t before = mallinfo2().uordblks;
  BenchmarkCell cell(TasksOf(state));
  cell.AssignAll();
  const size_t heap_bytes = mallinfo2().uordblks - before;
  size_t bytes = 0;
  for (auto it : state) {
    bytes = cell.machine().Snapshot().size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.counters["memory"] = static_cast<double>(heap_bytes);
}
BENCHMARK(Snapshot)->Arg(20)->Arg(6'000)->Arg(60'000)->Unit(
    benchmark::kMillisecond);

// Encodes only the tasks, each as an object with field names.
void SnapshotByFieldNames(benchmark::State& state) {
  BenchmarkCell cell(TasksOf(state));
  cell.AssignAll();
  size_t bytes = 0;
  for (auto it : state) {
    nlohmann::json tasks = nlohmann::json::array();
    for (uint32_t n = 0; n < cell.tasks(); ++n) {
      const wire::TaskId id = BenchmarkCell::TaskIdOf(n);
      const TaskRecord& task = *cell.machine().FindTask(id);
      tasks.push_back({{"task", id},
                       {"state", task.state},
                       {"attempt", task.attempt},
                       {"worker", task.worker},
                       {"incarnation", task.incarnation},
                       {"order", task.order},
                       {"reserved", task.reserved},
                       {"failures", task.failures},
                       {"has_started", task.has_started},
                       {"reason", task.reason}});
    }
    bytes = wire::ToCborBytes(tasks).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SnapshotByFieldNames)->Arg(60'000)->Unit(benchmark::kMillisecond);

void Restore(benchmark::State& state) {
  BenchmarkCell cell(TasksOf(state));
  cell.AssignAll();
  const std::string bytes = cell.machine().Snapshot();
  for (auto it : state) {
    StateReason why;
    benchmark::DoNotOptimize(Machine::FromSnapshot(bytes, why));
  }
}
BENCHMARK(Restore)->Arg(6'000)->Arg(60'000)->Unit(benchmark::kMillisecond);

void CommandsFor(benchmark::State& state) {
  BenchmarkCell cell(TasksOf(state));
  cell.AssignAll();
  uint32_t next = 0;
  for (auto it : state) {
    benchmark::DoNotOptimize(
        cell.machine().CommandsFor(WorkerIdOf(next++), Run()));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(CommandsFor)->Arg(60'000);

// Ends one worker at a time in a cell with `range(0)` tasks.
void EndWorker(benchmark::State& state) {
  BenchmarkCell cell(TasksOf(state));
  cell.AssignAll();
  uint32_t next = 0;
  for (auto it : state) {
    cell.Apply(wire::EndWorker{WorkerIdOf(next++), Run(), 1});
  }
}
BENCHMARK(EndWorker)->Arg(60'000)->Iterations(2'000);

}  // namespace
}  // namespace sassafras::state

BENCHMARK_MAIN();
