// The simulated pool: arrivals, answers of the placement service and ends of
// runs.

#include "pool_simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <ranges>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

constexpr int64_t kStepMs = 5;
// From a start's decision to the beginning of its work.
constexpr int64_t kStartMs = 25;
constexpr double kJobSpread = 0.4;   // of the durations of jobs, log-normal
constexpr double kTaskSpread = 0.2;  // of the tasks of one job
constexpr double kEstimateSpread = 0.4;
constexpr double kAdvisedWorkers = 30;  // that an objective allows for

}  // namespace

PoolSimulation::PoolSimulation(const SimulationOptions& options,
                               std::vector<SimulatedQueue> queues,
                               std::vector<SimulatedBurst> bursts)
    : options_(options),
      queues_(std::move(queues)),
      bursts_(std::move(bursts)),
      random_(options.seed) {
  Batch batch;
  Manifest manifest;
  manifest.version = 1;
  for (const SimulatedQueue& it : queues_) {
    Queue queue;
    queue.id = QueueId(it.name);
    queue.service = wire::ServiceId("batch");
    queue.priority = it.priority;
    queue.stretch = it.stretch;
    queue.target_latency_ms = it.target_latency_ms;
    queue.max_attempts = 4;
    queue.advice = it.advice;
    manifest.queues.push_back(queue);
  }
  batch.manifests = {manifest};
  for (uint32_t n = 0; n < options.workers; ++n) {
    batch.workers.push_back(Worker("w" + std::to_string(1000 + n)));
    batch.workers.back().capacity = {16'000, 64'000, 0};
  }
  table_.Apply(batch);
  for (uint32_t n = 0; n < options.advice_hosts; ++n) {
    hosts_.emplace_back("h" + std::to_string(n));
  }
}

void PoolSimulation::RunUntil(int64_t until_ms) {
  for (; now_ms_ < until_ms; now_ms_ += kStepMs) {
    AddArrivals();
    EndRuns();
    AnswerQueries();
    if (now_ms_ >= next_plan_ms_) {
      PlanAllSteps();
    } else if (now_ms_ >= next_commit_ms_ &&
               (!urgent_steps_.empty() || has_freed_room_)) {
      Use(scheduler_.MakePlanFor(urgent_steps_, Sources(), Now()));
    }
  }
}

double PoolSimulation::ShareInTime(const std::string& queue,
                                   int64_t from_ms,
                                   int64_t until_ms) const {
  size_t owed = 0;
  size_t in_time = 0;
  for (const SimulatedJob& it : jobs_ | std::views::values) {
    if (it.queue == queue && it.accepted_ms >= from_ms &&
        it.accepted_ms < until_ms) {
      ++owed;
      in_time += it.IsInTime() ? 1 : 0;
    }
  }
  return owed == 0 ? 1
                   : static_cast<double>(in_time) / static_cast<double>(owed);
}

void PoolSimulation::AddArrivals() {
  for (const SimulatedQueue& queue : queues_) {
    std::poisson_distribution<int> arrivals(ArrivalsPerMs(queue) * kStepMs);
    for (int n = arrivals(random_); n > 0; --n) {
      AddJob(queue);
    }
  }
}

double PoolSimulation::ArrivalsPerMs(const SimulatedQueue& queue) const {
  double factor = 1;
  for (const SimulatedBurst& it : bursts_) {
    if (it.queue == queue.name && now_ms_ >= it.from_ms &&
        now_ms_ < it.until_ms) {
      factor *= it.factor;
    }
  }
  return queue.jobs_per_s * factor / 1000;
}

void PoolSimulation::AddJob(const SimulatedQueue& queue) {
  std::lognormal_distribution<double> job_size(0, kJobSpread);
  std::lognormal_distribution<double> task_size(0, kTaskSpread);
  std::lognormal_distribution<double> estimate_error(0, kEstimateSpread);
  std::uniform_real_distribution<double> part(0, 1);
  const wire::JobId id("job" + std::to_string(100'000 + ++last_job_));
  const double task_ms = queue.task_ms * job_size(random_);
  const auto steps = static_cast<uint32_t>(queue.steps + part(random_));
  const auto tasks =
      static_cast<uint32_t>(std::max(1.0, queue.tasks * job_size(random_)));
  double chain_ms = 0;
  JobSpec spec;
  spec.payload = "text";
  for (uint32_t n = 0; n < std::max(1U, steps); ++n) {
    StepSpec step;
    step.count = tasks;
    step.need = {queue.cpu_milli, 1000, 0};
    step.estimate_ms = static_cast<int64_t>(task_ms * estimate_error(random_));
    if (n > 0) {
      step.after = {n - 1};
    }
    std::vector<int64_t>& durations = durations_[{id, 0, n}];
    for (uint32_t task = 0; task < tasks; ++task) {
      durations.push_back(static_cast<int64_t>(task_ms * task_size(random_)));
    }
    chain_ms += static_cast<double>(*std::ranges::max_element(durations)) +
                queue.advice.decide_ms + kAdvisedWorkers * queue.advice.each_ms;
    spec.steps.push_back(step);
  }
  Batch batch;
  batch.jobs = {{id, QueueId(queue.name), spec}};
  table_.Apply(batch);
  scheduler_.OnJob(*table_.FindJob(id), table_.FindQueue(QueueId(queue.name)),
                   Now());
  jobs_[id] = {
      queue.name, now_ms_,
      static_cast<int64_t>(queue.stretch * chain_ms) + queue.target_latency_ms,
      std::nullopt};
}

void PoolSimulation::AddUrgentSteps(const wire::JobId& job) {
  const auto steps = table_.FindJob(job)->spec.steps.size();
  for (uint32_t n = 0; n < steps; ++n) {
    urgent_steps_.insert({job, 0, n});
  }
}

void PoolSimulation::EndRuns() {
  Batch batch;
  while (!ends_.empty() && ends_.begin()->first <= now_ms_) {
    batch.ends.push_back(ends_.begin()->second);
    ends_.erase(ends_.begin());
    scheduler_.OnEnd(table_, batch.ends.back(), Now());
  }
  const Changes changes = table_.Apply(batch);
  has_freed_room_ |= !batch.ends.empty();
  for (const EndRun& end : batch.ends) {
    AddUrgentSteps(end.task.step.job);
  }
  for (const wire::JobId& job : changes.ended_jobs) {
    jobs_.at(job).completed_ms = now_ms_;
    scheduler_.OnJobEnded(job);
    advice_.ForgetJob(job);
  }
}

void PoolSimulation::AnswerQueries() {
  while (!answers_.empty() && answers_.begin()->first <= now_ms_) {
    const Answer answer = answers_.begin()->second;
    answers_.erase(answers_.begin());
    advice_.OnAnswer(answer.id, answer.permits, Now());
    urgent_steps_.insert(answer.step);
  }
}

PlanSources PoolSimulation::Sources() const {
  PlanSources sources;
  sources.usable_workers = [this] {
    std::vector<const WorkerRecord*> records;
    for (const WorkerRecord& it : table_.workers() | std::views::values) {
      records.push_back(&it);
    }
    return records;
  };
  sources.idle_advice_hosts = [this] {
    return advice_.CountIdleHosts(hosts_, Now());
  };
  sources.is_usable = [](const WorkerBoot&) { return true; };
  return sources;
}

void PoolSimulation::PlanAllSteps() {
  Use(scheduler_.MakePlan(table_, advice_, Sources(), Now()));
  next_plan_ms_ = now_ms_ + options_.plan_period_ms;
}

void PoolSimulation::Use(const Plan& plan) {
  urgent_steps_.clear();
  has_freed_room_ = false;
  next_commit_ms_ = now_ms_ + options_.commit_ms;
  Batch batch;
  batch.starts = plan.starts;
  for (const StartRun& start : table_.Apply(batch).started) {
    scheduler_.OnStart(table_, start, Now());
    const int64_t duration = durations_.at(start.task.step)[start.task.index];
    ends_.emplace(
        now_ms_ + kStartMs + duration,
        EndRun{start.worker, start.task, start.run, RunOutcome::kDone, ""});
  }
  for (const AssignedQuery& it :
       advice_.AssignQueries(plan.advice_requests, hosts_, Now())) {
    ++queries_;
    Answer answer{it.query.id, it.query.step, {}};
    for (const wire::WorkerId& worker : it.query.workers) {
      if (IsPermitted(it.query.step, worker)) {
        answer.permits.push_back({worker, "ticket"});
      }
    }
    const auto expected =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.expected);
    answers_.emplace(now_ms_ + expected.count() + options_.query_overhead_ms,
                     std::move(answer));
  }
}

// The same answer each time that a step asks about a worker.
bool PoolSimulation::IsPermitted(const StepKey& step,
                                 const wire::WorkerId& worker) const {
  const auto queue = std::ranges::find(
      queues_, table_.FindJob(step.job)->queue.str(), &SimulatedQueue::name);
  const std::string text =
      step.job.str() + std::to_string(step.step) + worker.str();
  std::mt19937 draw(static_cast<uint32_t>(std::hash<std::string>()(text)));
  return std::bernoulli_distribution(queue->permitted_share)(draw);
}

base::Instant PoolSimulation::Now() const {
  return base::Instant(std::chrono::milliseconds(100'000 + now_ms_));
}

}  // namespace sassafras::jobs
