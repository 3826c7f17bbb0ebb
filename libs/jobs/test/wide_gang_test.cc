// Tests that gangs of any width get the room that they need in pools that
// narrower work keeps nearly full.

#include <algorithm>
#include <cstdint>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "pool_simulation.h"

namespace sassafras::jobs {
namespace {

constexpr int64_t kTrafficMs = 120'000;
constexpr uint32_t kWorkers = 60;
constexpr int64_t kAccelerators = 8;  // of a worker
// Some 30 workers are permitted for each gang; a wider one may never fit.
constexpr size_t kWidestGang = 20;

// Tasks of one accelerator that keep `load` of the pool busy.
SimulatedQueue NarrowTasks(double load) {
  SimulatedQueue queue;
  queue.name = "narrow";
  queue.priority = 1;
  queue.stretch = 4;
  queue.target_latency_ms = 3000;
  queue.advice = {true, 100, 1, 2000};
  queue.permitted_share = 0.45;
  queue.tasks = 8;
  queue.task_ms = 2400;
  queue.cpu_milli = 2800;
  queue.accelerators = 1;
  queue.jobs_per_s =
      load * kWorkers * kAccelerators / (queue.tasks * queue.task_ms / 1000);
  return queue;
}

// Gangs of two or three tasks of a whole worker each.
SimulatedQueue NarrowGangs(double load) {
  SimulatedQueue queue;
  queue.name = "narrow";
  queue.priority = 1;
  queue.stretch = 2.2;
  queue.target_latency_ms = 1000;
  queue.advice = {true, 300, 4, 2000};
  queue.permitted_share = 0.3;
  queue.tasks = 2.5;
  queue.task_ms = 2400;
  queue.cpu_milli = 15'000;
  queue.accelerators = kAccelerators;
  queue.is_gang = true;
  queue.jobs_per_s = load * kWorkers / (queue.tasks * queue.task_ms / 1000);
  return queue;
}

// A gang of some 12 whole workers every 20 seconds.
SimulatedQueue WideGangs() {
  SimulatedQueue queue = NarrowGangs(0);
  queue.name = "wide";
  queue.permitted_share = 0.5;
  queue.tasks = 12;
  queue.task_ms = 2000;
  queue.jobs_per_s = 0.05;
  return queue;
}

SimulationOptions Options(uint32_t seed) {
  SimulationOptions options;
  options.seed = seed;
  options.pools = {{"batch", kWorkers, {32'000, 128'000, kAccelerators}}};
  return options;
}

int64_t LongestTask(const PoolSimulation& simulation) {
  int64_t longest = 0;
  for (const SimulatedJob& it : simulation.jobs() | std::views::values) {
    longest = std::max(longest, it.chain_ms);
  }
  return longest;
}

// What a wide gang may wait for: two queries about the whole pool, one more
// that renews its tickets, the end of the tasks that run on its workers, and
// one wide gang before it.
int64_t LongestWait(const PoolSimulation& simulation) {
  const AdvicePolicy policy = WideGangs().advice;
  const SimulationOptions options;
  const auto query_ms =
      static_cast<int64_t>(policy.decide_ms + policy.each_ms * kWorkers) +
      options.query_overhead_ms + options.plan_period_ms;
  return 3 * query_ms + 2 * LongestTask(simulation);
}

void ExpectWideGangsStartInTime(const SimulatedQueue& narrow) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    PoolSimulation simulation(Options(seed), {narrow, WideGangs()}, {});
    simulation.RunUntil(kTrafficMs);
    const int64_t bound = LongestWait(simulation);
    const int64_t longest =
        simulation.WaitQuantile(1, [&](const SimulatedJob& job) {
          return job.queue == "wide" && job.tasks <= kWidestGang &&
                 job.accepted_ms + bound < kTrafficMs;
        });
    EXPECT_LE(longest, bound) << "seed " << seed;
  }
}

TEST(WideGangTest, StartsWithinTheTimeOfATaskBesideNarrowTasks) {
  ExpectWideGangsStartInTime(NarrowTasks(0.9));
}

TEST(WideGangTest, StartsWithinTheTimeOfATaskBesideTooManyNarrowTasks) {
  ExpectWideGangsStartInTime(NarrowTasks(2));
}

TEST(WideGangTest, StartsWithinTheTimeOfATaskBesideNarrowGangs) {
  ExpectWideGangsStartInTime(NarrowGangs(0.75));
}

}  // namespace
}  // namespace sassafras::jobs
