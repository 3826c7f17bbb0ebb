// Measures how much 10,000 cancellations delay the next plan and the start of
// an urgent task, compared with the same run without cancellations.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "fake_cell.h"

namespace sassafras::placement {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobs = 10'000;
constexpr int kRounds = 9;

struct RoundResult {
  double apply_ms = 0;  // applying the first batch of cancellations
  double plan_ms = 0;   // the plan after it, which includes the urgent task
  double wait_s = 0;    // wait of the urgent task to its start, simulated time
};

// Fills a cell of 1,000 workers; half of the jobs run and half are pending.
// Then cancels all jobs in batches of `batch_size`, with one plan after each
// batch. A batch size of 0 cancels nothing.
RoundResult RunOnce(int batch_size) {
  FakeCell cell;
  cell.PutOwner("x", 1);
  cell.PutOwner("y", 1);
  for (int n = 0; n < 1000; ++n) {
    cell.AddWorker("w" + std::to_string(n), "zone-" + std::to_string(n % 3),
                   "rack-" + std::to_string(n / 5), kPlainCapacity);
  }
  const auto job_id = [](int n) { return "j" + std::to_string(n); };
  for (int n = 0; n < kJobs; ++n) {
    cell.Submit(MakeBatchJob(job_id(n), "x", {3200, 1024, 0}));
  }
  // This job isn't cancelled and keeps the cell full.
  cell.Submit(MakeBatchJob("rest", "x", {3200, 1024, 0}, kJobs));
  cell.Run(seconds(1));
  RoundResult result;
  auto urgent = MakeBatchJob("urgent", "y", {3200, 1024, 0});
  urgent.priority = wire::Priority::kUrgent;
  cell.on_task_start = [&](const wire::TaskId& task, base::Duration task_wait) {
    if (task.job == urgent.id) {
      result.wait_s = static_cast<double>(task_wait.count()) / 1e6;
    }
  };
  const auto start = Clock::now();
  for (int n = 0; batch_size > 0 && n < std::min(batch_size, kJobs); ++n) {
    cell.Cancel(wire::JobId(job_id(n)));
  }
  const auto applied = Clock::now();
  cell.Submit(urgent);
  const Plan next_plan = cell.scheduler.MakePlan(cell.now, {});
  const auto planned = Clock::now();
  cell.Commit(next_plan);
  for (int n = batch_size; batch_size > 0 && n < kJobs; ++n) {
    cell.Cancel(wire::JobId(job_id(n)));
    if ((n + 1) % batch_size == 0) {
      cell.PlanOnce();
    }
  }
  cell.Run(seconds(3));
  using Milliseconds = std::chrono::duration<double, std::milli>;
  result.apply_ms = Milliseconds(applied - start).count();
  result.plan_ms = Milliseconds(planned - applied).count();
  return result;
}

// Prints the median and the maximum of the times, and the longest wait.
void MeasureBatchSize(int batch_size) {
  std::vector<double> apply_times;
  std::vector<double> plan_times;
  double wait_s_max = 0;
  for (int n = 0; n < kRounds; ++n) {
    const RoundResult it = RunOnce(batch_size);
    apply_times.push_back(it.apply_ms);
    plan_times.push_back(it.plan_ms);
    wait_s_max = std::max(wait_s_max, it.wait_s);
  }
  std::ranges::sort(apply_times);
  std::ranges::sort(plan_times);
  std::printf(
      "batch %5d: %3d commits, applying one p50 %6.2f max %6.2f ms, next plan "
      "p50 %6.2f max %6.2f ms, urgent task waits at most %.1f s\n",
      batch_size, batch_size == 0 ? 0 : kJobs / batch_size,
      apply_times[kRounds / 2], apply_times.back(), plan_times[kRounds / 2],
      plan_times.back(), wait_s_max);
}

}  // namespace
}  // namespace sassafras::placement

int main() {
  for (int batch_size : {0, 100, 1000, 10'000}) {
    sassafras::placement::MeasureBatchSize(batch_size);
  }
}
