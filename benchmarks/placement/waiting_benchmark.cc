// Measures the wait until placement by priority and owner in simulated time,
// compared with strict FIFO, for correct and wrong resource declarations. Also
// measures how the scheduler handles a sudden rise of usage.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "deployments.h"

namespace sassafras::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Arrival {
  base::Duration at{};
  wire::JobSpec spec;
  wire::Resources usage;
  base::Duration run_duration{};
};

// Range of what tasks declare, as a multiple of what they use. The workloads
// are spread over the range.
struct DeclarationRange {
  const char* name;
  double minimum;
  double maximum;
};

constexpr DeclarationRange kExact{"exactly", 1, 1};
constexpr DeclarationRange kTooLowOrTooHigh{"0.3x to 3x", 0.3, 3};
constexpr DeclarationRange kTooLow{"0.3x to 1x", 0.3, 1};
constexpr DeclarationRange kTooHigh{"1x to 3x", 1, 3};

// Returns batch jobs of one task each, of three owners: 10% urgent, 60% normal,
// 30% low. Their actual usage times their run time amounts to the fraction
// `load` of the cell.
std::vector<Arrival> MakeArrivals(const wire::Resources& total,
                                  double load,
                                  const DeclarationRange& declared,
                                  base::Duration duration) {
  base::Random random(11);
  std::vector<Arrival> arrivals;
  // The mean task uses 3000 milli-CPUs for 30 s.
  const double rate =
      load * static_cast<double>(total.milli_cpus) / (3000.0 * 30.0);
  double at = 0;
  for (int n = 0;; ++n) {
    at += -std::log(1.0 - random.Fraction()) / rate;
    Arrival it;
    it.at = base::Duration(static_cast<int64_t>(at * 1e6));
    if (it.at >= duration) {
      return arrivals;
    }
    it.spec = MakeBatchJob("j" + std::to_string(n), "o" + std::to_string(n % 3),
                           {RandomBetween(random, 1000, 5000),
                            RandomBetween(random, 1024, 5120), 0});
    it.spec.workload = wire::WorkloadId("kind-" + std::to_string(n % 20));
    const auto priority_roll = random.Below(10);
    it.spec.priority = priority_roll == 0  ? wire::Priority::kUrgent
                       : priority_roll < 7 ? wire::Priority::kNormal
                                           : wire::Priority::kLow;
    it.run_duration = milliseconds(RandomBetween(random, 10'000, 50'000));
    it.usage = it.spec.per_task;
    const double factor =
        declared.minimum *
        std::pow(declared.maximum / declared.minimum, (n % 20) / 19.0);
    it.spec.per_task = {static_cast<int64_t>(it.usage.milli_cpus * factor),
                        static_cast<int64_t>(it.usage.memory_mib * factor), 0};
    arrivals.push_back(it);
  }
}

class WaitTimes {
 public:
  void Add(const std::string& name, base::Duration wait) {
    waits_by_group_[name].push_back(static_cast<double>(wait.count()) / 1e6);
  }
  void Print(const char* policy) {
    for (auto& [name, group_waits] : waits_by_group_) {
      std::ranges::sort(group_waits);
      std::printf(
          "  %-12s %-8s n %5zu  p50 %6.1f s  p99 %6.1f s  max %6.1f s\n",
          policy, name.c_str(), group_waits.size(),
          group_waits[group_waits.size() / 2],
          group_waits[group_waits.size() * 99 / 100], group_waits.back());
    }
  }

 private:
  std::map<std::string, std::vector<double>> waits_by_group_;
};

const char* NameOf(wire::Priority priority) {
  constexpr const char* kNames[] = {"urgent", "normal", "low"};
  return kNames[static_cast<size_t>(priority)];
}

// Places tasks in order of arrival on the first worker that fits. A task that
// fits nowhere blocks all later ones.
WaitTimes SimulateStrictFifo(const std::vector<PutWorker>& workers,
                             const std::vector<Arrival>& arrivals,
                             base::Duration duration) {
  struct ScheduledEnd {
    base::Duration at{};
    size_t worker = 0;
    wire::Resources need;
    wire::Resources usage;
    bool operator<(const ScheduledEnd& other) const { return at > other.at; }
  };
  std::vector<wire::Resources> free;
  for (const PutWorker& it : workers) {
    free.push_back(it.capacity);
  }
  std::vector<wire::Resources> used(workers.size());
  uint64_t over_capacity_reports = 0;
  std::priority_queue<ScheduledEnd> scheduled_ends;
  WaitTimes waits;
  size_t next_arrival = 0;
  for (base::Duration now{}; now < duration; now += milliseconds(100)) {
    while (!scheduled_ends.empty() && scheduled_ends.top().at <= now) {
      free[scheduled_ends.top().worker] += scheduled_ends.top().need;
      used[scheduled_ends.top().worker] -= scheduled_ends.top().usage;
      scheduled_ends.pop();
    }
    for (size_t n = 0; n < used.size() && now % seconds(2) == seconds(0); ++n) {
      over_capacity_reports += used[n].FitsIn(workers[n].capacity) ? 0 : 1;
    }
    for (; next_arrival < arrivals.size() && arrivals[next_arrival].at <= now;
         ++next_arrival) {
      const Arrival& it = arrivals[next_arrival];
      const auto worker_free = std::ranges::find_if(
          free, [&](const auto& at) { return it.spec.per_task.FitsIn(at); });
      if (worker_free == free.end()) {
        break;
      }
      *worker_free -= it.spec.per_task;
      scheduled_ends.push({now + it.run_duration,
                           static_cast<size_t>(worker_free - free.begin()),
                           it.spec.per_task, it.usage});
      used[worker_free - free.begin()] += it.usage;
      waits.Add(NameOf(it.spec.priority), now - it.at);
      waits.Add(it.spec.owner.str(), now - it.at);
    }
  }
  std::printf("  strict FIFO: %lu reports of a worker over its capacity\n",
              static_cast<unsigned long>(over_capacity_reports));
  // Tasks that never started have waited until the end.
  for (; next_arrival < arrivals.size(); ++next_arrival) {
    const Arrival& it = arrivals[next_arrival];
    waits.Add(NameOf(it.spec.priority), duration - it.at);
    waits.Add(it.spec.owner.str(), duration - it.at);
  }
  return waits;
}

void MeasureWaitTimes(double load, const DeclarationRange& declared) {
  constexpr base::Duration kDuration = seconds(300);
  const auto workers = MakeWorkers(kDeployments[1]);
  const auto arrivals =
      MakeArrivals(TotalCapacity(workers), load, declared, kDuration);
  std::map<wire::JobId, const Arrival*> arrivals_by_job;
  for (const Arrival& it : arrivals) {
    arrivals_by_job[it.spec.id] = &it;
  }
  FakeCell cell;
  for (int n = 0; n < 3; ++n) {
    cell.PutOwner("o" + std::to_string(n), 1);
  }
  std::ranges::for_each(workers, [&](const auto& it) { cell.PutWorker(it); });
  cell.actual_run_time = [&](const wire::JobSpec& spec) {
    return std::optional(arrivals_by_job.at(spec.id)->run_duration);
  };
  cell.actual_usage = [&](const FakeJob& job, const FakeTask& task) {
    auto usage = arrivals_by_job.at(job.spec.id)->usage;
    if (task.order != wire::AttemptOrder::kRun) {
      usage.milli_cpus = std::min(usage.milli_cpus, task.reserved.milli_cpus);
    }
    return usage;
  };
  WaitTimes waits;
  std::map<wire::JobId, bool> started_jobs;
  cell.on_task_start = [&](const wire::TaskId& id, base::Duration wait) {
    if (!std::exchange(started_jobs[id.job], true)) {
      const auto& spec = arrivals_by_job.at(id.job)->spec;
      waits.Add(NameOf(spec.priority), wait);
      waits.Add(spec.owner.str(), wait);
    }
  };
  const base::Instant start = cell.now;
  auto next = arrivals.begin();
  uint64_t over_capacity_reports = 0;
  for (int step = 0; cell.now - start < kDuration; ++step) {
    for (; next != arrivals.end() && next->at <= cell.now - start; ++next) {
      cell.Submit(next->spec);
    }
    cell.Run(milliseconds(100));
    if (step % 20 == 0) {
      cell.ReportUsage();
      for (const WorkerReport& it : cell.scheduler.ReportWorkers()) {
        over_capacity_reports += it.observed.FitsIn(it.capacity) ? 0 : 1;
      }
    }
  }
  for (const Arrival& it : arrivals) {
    if (!started_jobs[it.spec.id]) {
      waits.Add(NameOf(it.spec.priority), kDuration - it.at);
      waits.Add(it.spec.owner.str(), kDuration - it.at);
    }
  }
  std::printf(
      "wait until placement, Liiklusakt, actual load %.0f%%, declared %s: %zu "
      "tasks, %lu attempts preempted, %lu reports of a worker over its "
      "capacity\n",
      load * 100, declared.name, arrivals.size(),
      static_cast<unsigned long>(cell.preemptions),
      static_cast<unsigned long>(over_capacity_reports));
  waits.Print("scheduler");
  SimulateStrictFifo(workers, arrivals, kDuration).Print("strict FIFO");
}

// --- Sudden rise of usage ---

// The number of workers whose usage exceeds their capacity, and the highest
// usage of a worker in percent of its processors.
struct Overload {
  size_t workers = 0;
  int64_t max_cpu_percent = 0;
};

Overload FindOverload(FakeCell& cell) {
  Overload overload;
  for (const auto& [id, worker] : cell.workers) {
    wire::Resources used;
    for (const wire::TaskId& it : worker.tasks) {
      used += cell.actual_usage(cell.jobs.at(it.job), cell.task(it));
    }
    const auto& capacity = worker.registration.capacity;
    overload.workers += used.FitsIn(capacity) ? 0 : 1;
    overload.max_cpu_percent = std::max(
        overload.max_cpu_percent, used.milli_cpus * 100 / capacity.milli_cpus);
  }
  return overload;
}

// Fills a cell with batch tasks that use a third of their declared processors.
// Then the tasks of `surging_workloads` of the 20 workloads use all of them at
// once.
void MeasureUsageSurge(int surging_workloads) {
  constexpr int kWorkloads = 20;
  FakeCell cell;
  std::ranges::for_each(MakeWorkers(kDeployments[1]),
                        [&](const auto& it) { cell.PutWorker(it); });
  bool has_surged = false;
  cell.actual_run_time = [](const wire::JobSpec&) {
    return std::optional<base::Duration>(seconds(30));
  };
  cell.actual_usage = [&](const FakeJob& job, const FakeTask& task) {
    const bool is_surging =
        has_surged && std::stoi(job.spec.workload.str()) < surging_workloads;
    auto used = job.spec.per_task;
    used.milli_cpus /= is_surging ? 1 : 3;
    if (task.order != wire::AttemptOrder::kRun) {
      used.milli_cpus = std::min(used.milli_cpus, task.reserved.milli_cpus);
    }
    return used;
  };
  for (int n = 0; n < kWorkloads; ++n) {
    auto spec = MakeBatchJob(std::to_string(n), "o" + std::to_string(n % 3),
                             {3000, 1024, 0}, 2000);
    spec.workload = wire::WorkloadId(std::to_string(n));
    cell.Submit(spec);
  }
  const auto run_and_report = [&] {
    cell.Run(seconds(2));
    cell.ReportUsage();
    cell.PlanUntilEmpty();
  };
  for (int n = 0; n < 60; ++n) {
    run_and_report();
  }
  has_surged = true;
  const Overload initial_overload = FindOverload(cell);
  const auto preemptions_before = cell.preemptions;
  int reports = 0;
  for (; reports < 60 && FindOverload(cell).workers > 0; ++reports) {
    run_and_report();
  }
  std::printf(
      "%d of %d workloads rise from a third to all of what they declare: %zu "
      "of 48 workers over capacity at once, the highest at %ld%%; none over "
      "capacity after %d reports, %lu attempts preempted\n",
      surging_workloads, kWorkloads, initial_overload.workers,
      static_cast<long>(initial_overload.max_cpu_percent), reports,
      static_cast<unsigned long>(cell.preemptions - preemptions_before));
}

}  // namespace
}  // namespace sassafras::placement

int main() {
  using namespace sassafras::placement;  // NOLINT(google-build-using-namespace)
  for (double load : {0.7, 0.9, 1.1}) {
    for (const DeclarationRange& it :
         {kExact, kTooLowOrTooHigh, kTooLow, kTooHigh}) {
      MeasureWaitTimes(load, it);
    }
  }
  for (int surging_workloads : {1, 5, 20}) {
    MeasureUsageSurge(surging_workloads);
  }
}
