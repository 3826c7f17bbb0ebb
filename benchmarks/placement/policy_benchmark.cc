// Measures packing, reclaiming of lent shares, and recovery from lost workers
// on models of the two existing deployments, in simulated time.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "deployments.h"

namespace sassafras::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::JobSpec RandomJob(base::Random& random, int n) {
  const auto kind = random.Below(10);
  auto spec = MakeBatchJob("j" + std::to_string(n), "o" + std::to_string(n % 3),
                           {RandomBetween(random, 500, 6000),
                            RandomBetween(random, 512, 12'288), 0});
  if (kind < 2) {
    spec.kind = wire::JobKind::kService;
    spec.tasks = 3;
  } else if (kind < 4) {
    spec.per_task.accelerators = RandomBetween(random, 1, 2);
  } else if (kind < 5) {
    spec.kind = wire::JobKind::kGang;
    spec.tasks = static_cast<uint32_t>(RandomBetween(random, 2, 8));
    spec.per_task.accelerators = RandomBetween(random, 0, 1);
  } else {
    spec.tasks = static_cast<uint32_t>(RandomBetween(random, 1, 6));
  }
  return spec;
}

// --- Packing ---

// Places each task, in order of submission, on the first worker that it fits.
// Returns the resources used.
wire::Resources PackFirstFit(const std::vector<PutWorker>& workers,
                             const std::vector<wire::JobSpec>& jobs) {
  std::vector<wire::Resources> free;
  for (const PutWorker& it : workers) {
    free.push_back(it.capacity);
  }
  wire::Resources used;
  for (const wire::JobSpec& job : jobs) {
    const auto free_before_job = free;
    uint32_t placed = 0;
    for (; placed < job.tasks; ++placed) {
      const auto it = std::ranges::find_if(free, [&](const auto& capacity) {
        return job.per_task.FitsIn(capacity);
      });
      if (it == free.end()) {
        break;
      }
      *it -= job.per_task;
    }
    if (job.kind == wire::JobKind::kGang && placed < job.tasks) {
      free = free_before_job;
      placed = 0;
    }
    used += Multiply(job.per_task, placed);
  }
  return used;
}

struct UtilizationSum {
  double cpus = 0;
  double memory = 0;
  double accelerators = 0;

  void Add(const wire::Resources& used, const wire::Resources& total) {
    cpus += 100.0 * static_cast<double>(used.milli_cpus) /
            static_cast<double>(total.milli_cpus);
    memory += 100.0 * static_cast<double>(used.memory_mib) /
              static_cast<double>(total.memory_mib);
    accelerators += 100.0 * static_cast<double>(used.accelerators) /
                    static_cast<double>(total.accelerators);
  }
  void Print(const char* name, int runs) const {
    std::printf("  %-22s cpu %5.1f%%  memory %5.1f%%  accelerators %5.1f%%\n",
                name, cpus / runs, memory / runs, accelerators / runs);
  }
};

void MeasurePacking(const Deployment& deployment) {
  constexpr int kRuns = 20;
  constexpr int kJobs = 300;
  UtilizationSum scheduler_sum;
  UtilizationSum first_fit_sum;
  UtilizationSum demand_limit_sum;
  for (int run = 0; run < kRuns; ++run) {
    base::Random random(run + 1);
    const auto workers = MakeWorkers(deployment);
    const auto total = TotalCapacity(workers);
    FakeCell cell;
    std::ranges::for_each(workers, [&](const auto& it) { cell.PutWorker(it); });
    std::vector<wire::JobSpec> jobs;
    wire::Resources demand;
    for (int n = 0; n < kJobs; ++n) {
      jobs.push_back(RandomJob(random, n));
      demand += Multiply(jobs.back().per_task, jobs.back().tasks);
      cell.Submit(jobs.back());
    }
    cell.PlanUntilEmpty();
    wire::Resources used;
    for (const auto& [id, worker] : cell.workers) {
      used += worker.reserved;
    }
    scheduler_sum.Add(used, total);
    first_fit_sum.Add(PackFirstFit(workers, jobs), total);
    demand_limit_sum.Add({std::min(demand.milli_cpus, total.milli_cpus),
                          std::min(demand.memory_mib, total.memory_mib),
                          std::min(demand.accelerators, total.accelerators)},
                         total);
  }
  std::printf("packing, %s, backlog of %d mixed jobs, mean of %d runs\n",
              deployment.name, kJobs, kRuns);
  scheduler_sum.Print("scheduler", kRuns);
  first_fit_sum.Print("first fit", kRuns);
  demand_limit_sum.Print("bound by total demand", kRuns);
}

// --- Reclaiming and recovery ---

void MeasureReclaim() {
  FakeCell cell;
  cell.PutOwner("idle", 1);
  cell.PutOwner("busy", 2);
  std::ranges::for_each(MakeWorkers(kDeployments[1]),
                        [&](const auto& it) { cell.PutWorker(it); });
  cell.Submit(MakeBatchJob("busy", "busy", {2000, 2048, 0}, 2000));
  cell.PlanUntilEmpty();
  const auto owners_before = cell.scheduler.ReportOwners(cell.now);
  cell.Submit(MakeBatchJob("back", "idle", {2000, 2048, 0}, 2000));
  const base::Instant start = cell.now;
  double owner_share = 0;
  double owner_fair_share = 0;
  while (cell.now - start < seconds(60)) {
    cell.Run(milliseconds(100));
    for (const OwnerReport& it : cell.scheduler.ReportOwners(cell.now)) {
      if (it.owner.str() == "idle") {
        owner_share = it.dominant_share;
        owner_fair_share = it.fair_share;
      }
    }
    if (owner_share >= owner_fair_share * 0.99) {
      break;
    }
  }
  std::printf(
      "reclaim, Liiklusakt: borrower above its fair share by %.1f%% of the "
      "cell; lender's share is %.1f%%, of a fair %.1f%%, after %.1f s, %lu "
      "attempts preempted\n",
      owners_before[1].borrowed * 100, owner_share * 100,
      owner_fair_share * 100,
      static_cast<double>((cell.now - start).count()) / 1e6,
      static_cast<unsigned long>(cell.preemptions));
}

template <typename Predicate>
void MeasureRecovery(const char* lost_domain, Predicate&& is_lost) {
  FakeCell cell;
  cell.PutOwner("guests", 1);
  cell.PutOwner("night", 1);
  std::ranges::for_each(MakeWorkers(kDeployments[0]),
                        [&](const auto& it) { cell.PutWorker(it); });
  auto service = MakeBatchJob("booking", "guests", {6000, 12'288, 0}, 35);
  service.kind = wire::JobKind::kService;
  cell.Submit(service);
  cell.Submit(MakeBatchJob("maps", "night", {2000, 2048, 0}, 1000));
  cell.Run(seconds(1));
  std::vector<wire::WorkerId> lost;
  for (const auto& [id, worker] : cell.workers) {
    if (is_lost(worker.registration)) {
      lost.push_back(id);
    }
  }
  std::ranges::for_each(lost, [&](const auto& id) { cell.RemoveWorker(id); });
  const auto running = cell.CountTasks("booking", wire::TaskState::kRunning);
  const base::Instant start = cell.now;
  while (cell.CountTasks("booking", wire::TaskState::kRunning) < 35 &&
         cell.now - start < seconds(60)) {
    cell.Run(milliseconds(100));
  }
  std::printf(
      "%s lost, Kazbegi full of batch tasks: service of 35 tasks dropped to "
      "%u running, recovered to %u after %.1f s\n",
      lost_domain, running,
      cell.CountTasks("booking", wire::TaskState::kRunning),
      static_cast<double>((cell.now - start).count()) / 1e6);
}

}  // namespace
}  // namespace sassafras::placement

int main() {
  using namespace sassafras::placement;  // NOLINT(google-build-using-namespace)
  for (const Deployment& it : kDeployments) {
    MeasurePacking(it);
  }
  MeasureReclaim();
  MeasureRecovery(
      "a rack", [](const PutWorker& it) { return it.rack.str() == "plain-0"; });
  MeasureRecovery(
      "a zone", [](const PutWorker& it) { return it.zone.str() == "zone-0"; });
}
