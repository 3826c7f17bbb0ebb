// Measures the time of one placement decision by number of workers, owners and
// queued jobs, compared with a scan of all workers for each task.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "placement/scheduler.h"

namespace sassafras::placement {
namespace {

using Clock = std::chrono::steady_clock;

constexpr wire::Resources kPlainCapacity{16'000, 32'768, 0};
constexpr wire::Resources kGpuCapacity{64'000, 131'072, 8};
constexpr uint32_t kTasksPerPlan = 64;

wire::Resources WorkerCapacity(uint32_t n) {
  return n % 4 == 3 ? kGpuCapacity : kPlainCapacity;
}

wire::Resources RandomNeed(base::Random& random) {
  const bool is_gpu = random.Below(8) == 0;
  return {static_cast<int64_t>(250 * (1 + random.Below(16))),
          static_cast<int64_t>(256 * (1 + random.Below(16))), is_gpu ? 1 : 0};
}

// Keeps a cell about 90% full: tasks end some plans after they were placed.
class LoadGenerator {
 public:
  LoadGenerator(uint32_t workers, uint32_t owners) : owners_(owners) {
    PlacementReason why;
    scheduler_ = Scheduler::Create({}, 1, why);
    for (uint32_t n = 0; n < owners; ++n) {
      Apply(PutOwner{wire::OwnerId("o" + std::to_string(n)), 1 + n % 3, {}});
    }
    for (uint32_t n = 0; n < workers; ++n) {
      Apply(PutWorker{wire::WorkerId("w" + std::to_string(n)),
                      wire::Incarnation("1"),
                      wire::ZoneId("z" + std::to_string(n % 3)),
                      wire::RackId("r" + std::to_string(n / 15)),
                      wire::WorkerState::kReady, WorkerCapacity(n)});
      total_cpus_ += WorkerCapacity(n).milli_cpus;
    }
    while (reserved_cpus_ < total_cpus_ * 9 / 10 &&
           PlaceTasks(1024, nullptr) > 0) {
    }
  }

  // Submits and places `tasks` tasks and appends the mean time of a decision to
  // `decision_times_us` unless it is null. Returns the number of placed groups.
  uint64_t PlaceTasks(uint32_t tasks, std::vector<double>* decision_times_us) {
    for (uint32_t n = 0; n < tasks; ++n) {
      Submit();
    }
    now_ += std::chrono::milliseconds(5);
    const auto start = Clock::now();
    const Plan plan = scheduler_->MakePlan(now_, {tasks, 512});
    const std::chrono::duration<double, std::micro> duration_us =
        Clock::now() - start;
    for (const auto& group : plan.groups) {
      for (const wire::Assignment& it : group) {
        Apply(TaskAssigned{it.task, wire::AttemptId(++last_attempt_), it.worker,
                           it.reserved});
        running_tasks_.push_back(
            {it.task, last_attempt_, it.reserved.milli_cpus});
        reserved_cpus_ += it.reserved.milli_cpus;
      }
    }
    if (decision_times_us != nullptr && !plan.groups.empty()) {
      decision_times_us->push_back(duration_us.count() /
                                   static_cast<double>(plan.groups.size()));
    }
    return plan.groups.size();
  }

  // Ends random tasks until the cell is 90% full again.
  void EndTasks() {
    while (reserved_cpus_ > total_cpus_ * 9 / 10 && !running_tasks_.empty()) {
      std::swap(running_tasks_[random_.Below(running_tasks_.size())],
                running_tasks_.back());
      const RunningTask finished = running_tasks_.back();
      running_tasks_.pop_back();
      reserved_cpus_ -= finished.milli_cpus;
      Apply(TaskEnded{finished.task, wire::AttemptId(finished.attempt),
                      TaskOutcome::kDone, 1000, ""});
      Apply(RemoveJob{finished.task.job});
    }
  }

  // Queues jobs of `distinct_sizes` sizes that fit on no worker now.
  void QueueUnplaceableJobs(uint32_t jobs, uint32_t distinct_sizes) {
    for (uint32_t n = 0; n < jobs; ++n) {
      Submit(wire::Resources{60'000 + n % distinct_sizes, 120'000, 8});
    }
    for (int n = 0; n < 200; ++n) {
      PlaceTasks(0, nullptr);
    }
  }

 private:
  struct RunningTask {
    wire::TaskId task;
    uint64_t attempt = 0;
    int64_t milli_cpus = 0;
  };

  void Apply(const Event& event) { scheduler_->Apply(now_, event); }

  void Submit(std::optional<wire::Resources> need = std::nullopt) {
    wire::JobSpec spec;
    spec.id = wire::JobId("j" + std::to_string(++last_job_));
    spec.owner = wire::OwnerId("o" + std::to_string(last_job_ % owners_));
    spec.per_task = need.value_or(RandomNeed(random_));
    Apply(PutJob{spec, now_});
    Apply(TaskPending{{spec.id, 0}});
  }

  uint32_t owners_;
  std::optional<Scheduler> scheduler_;
  base::Random random_{7};
  base::Instant now_{std::chrono::hours(1)};
  std::vector<RunningTask> running_tasks_;
  int64_t total_cpus_ = 0;
  int64_t reserved_cpus_ = 0;
  uint64_t last_job_ = 0;
  uint64_t last_attempt_ = 0;
};

void ReportPercentiles(benchmark::State& state,
                       std::vector<double> decision_times_us) {
  if (decision_times_us.empty()) {
    return;
  }
  std::ranges::sort(decision_times_us);
  state.counters["p50_us"] = decision_times_us[decision_times_us.size() / 2];
  state.counters["p99_us"] =
      decision_times_us[decision_times_us.size() * 99 / 100];
}

// Plans up to kTasksPerPlan tasks at a time. The reported rate includes
// submitting, committing and ending tasks; the decision time covers only
// MakePlan.
void PlacementDecision(benchmark::State& state) {
  LoadGenerator load_generator(static_cast<uint32_t>(state.range(0)),
                               static_cast<uint32_t>(state.range(1)));
  if (state.range(2) > 0) {
    load_generator.QueueUnplaceableJobs(static_cast<uint32_t>(state.range(2)),
                                        100);
  }
  const uint32_t tasks_per_plan = state.range(0) < 100 ? 4 : kTasksPerPlan;
  std::vector<double> decision_times_us;
  uint64_t placed = 0;
  for (auto _ : state) {
    placed += load_generator.PlaceTasks(tasks_per_plan, &decision_times_us);
    load_generator.EndTasks();
  }
  state.counters["placements"] = benchmark::Counter(
      static_cast<double>(placed), benchmark::Counter::kIsRate);
  ReportPercentiles(state, decision_times_us);
}
BENCHMARK(PlacementDecision)
    ->ArgNames({"workers", "owners", "queue"})
    ->Args({48, 3, 0})
    ->Args({1000, 3, 0})
    ->Args({17'000, 3, 0})
    ->Args({17'000, 100, 0})
    ->Args({17'000, 1000, 0})
    ->Args({17'000, 3, 1000})
    ->Args({17'000, 3, 10'000})
    ->Args({17'000, 3, 100'000})
    ->MinTime(1.0);

// Places each task by a best-fit scan of all workers, without other policies.
void NaiveScan(benchmark::State& state) {
  base::Random random(7);
  const auto workers = static_cast<uint32_t>(state.range(0));
  std::vector<wire::Resources> free;
  for (uint32_t n = 0; n < workers; ++n) {
    free.push_back(WorkerCapacity(n));
  }
  struct RunningTask {
    uint32_t worker = 0;
    wire::Resources need;
  };
  std::vector<RunningTask> running;
  int64_t total_cpus = 0;
  for (const wire::Resources& it : free) {
    total_cpus += it.milli_cpus;
  }
  int64_t reserved_cpus = 0;
  const auto place_task = [&] {
    const wire::Resources need = RandomNeed(random);
    std::optional<uint32_t> best;
    int64_t best_score = 0;
    for (uint32_t n = 0; n < workers; ++n) {
      const wire::Resources capacity = WorkerCapacity(n);
      const wire::Resources remaining = free[n] - need;
      const int64_t score =
          remaining.accelerators * 10'000'000 +
          remaining.milli_cpus * 1'000'000 / capacity.milli_cpus +
          remaining.memory_mib * 1'000'000 / capacity.memory_mib;
      if (need.FitsIn(free[n]) && (!best || score < best_score)) {
        best = n;
        best_score = score;
      }
    }
    if (best) {
      free[*best] -= need;
      reserved_cpus += need.milli_cpus;
      running.push_back({*best, need});
    }
    return best.has_value();
  };
  while (reserved_cpus < total_cpus * 9 / 10 && place_task()) {
  }
  std::vector<double> decision_times_us;
  uint64_t placed = 0;
  for (auto _ : state) {
    const auto start = Clock::now();
    placed += place_task() ? 1 : 0;
    const std::chrono::duration<double, std::micro> duration_us =
        Clock::now() - start;
    decision_times_us.push_back(duration_us.count());
    while (reserved_cpus > total_cpus * 9 / 10) {
      std::swap(running[random.Below(running.size())], running.back());
      free[running.back().worker] += running.back().need;
      reserved_cpus -= running.back().need.milli_cpus;
      running.pop_back();
    }
  }
  state.counters["placements"] = benchmark::Counter(
      static_cast<double>(placed), benchmark::Counter::kIsRate);
  ReportPercentiles(state, decision_times_us);
}
BENCHMARK(NaiveScan)->ArgName("workers")->Arg(48)->Arg(1000)->Arg(17'000);

}  // namespace
}  // namespace sassafras::placement

BENCHMARK_MAIN();
