// Collects the workers and the steps that a plan of all steps deals with.

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

#include "planner.h"

namespace sassafras::jobs {
namespace {

// Advice on the successors of a step with an estimate up to this is requested
// as soon as all its tasks are running or done.
constexpr int64_t kShortStepMs = 1000;
// Queues with a stretch of at most this leave little slack.
constexpr double kUrgentStretch = 2.5;

// Whether the steps that `step` depends on will be done soon enough that
// tickets requested now would still be valid.
bool IsNearlyReady(const JobSpec& spec,
                   const std::vector<StepRecord>& steps,
                   uint32_t step) {
  return std::ranges::all_of(spec.steps[step].after, [&](uint32_t earlier) {
    const StepRecord& record = steps[earlier];
    const size_t done = record.done;
    return record.Waiting() == 0 &&
           (2 * done >= record.tasks.size() ||
            spec.steps[earlier].estimate_ms <= kShortStepMs);
  });
}

}  // namespace

void Planner::CollectWorkers(const PlanSources& sources) {
  worker_set_version_ = table_.worker_set_version();
  workers_.clear();
  workers_by_id_.clear();
  pools_.clear();
  most_free_.clear();
  for (const WorkerRecord* record : sources.usable_workers()) {
    AddCandidate(*record, false);
  }
  std::vector<const WorkerRecord*> awaited;
  if (sources.awaited_workers) {
    awaited = sources.awaited_workers();
  }
  for (const WorkerRecord* record : awaited) {
    AddCandidate(*record, true);
  }
  // Only a new leader awaits workers, so other plans needn't sort.
  if (!awaited.empty()) {
    std::ranges::sort(workers_, {},
                      [](const Candidate& it) -> const wire::WorkerId& {
                        return it.boot().id;
                      });
  }
  workers_by_id_.reserve(workers_.size());
  for (Candidate& worker : workers_) {
    workers_by_id_.emplace(worker.boot().id.str(), &worker);
    pools_[worker.info().service].push_back(&worker);
    Resources& most = most_free_[worker.info().service];
    const Resources& free = worker.free_capacity;
    most = {std::max(most.cpu_milli, free.cpu_milli),
            std::max(most.mem_mb, free.mem_mb),
            std::max(most.accelerators, free.accelerators)};
  }
  for (const auto& [boot, step] : history_.reserved_workers) {
    if (Candidate* worker = FindCandidate(boot)) {
      worker->was_reserved_for = step;
    }
  }
  if (quotas_.HasShares()) {
    SetPoolCapacities();
  }
}

// What is shared is the capacity of usable workers and what is still in use on
// others, as customers' runs there count too.
void Planner::SetPoolCapacities() {
  std::map<wire::ServiceId, Resources> capacities;
  for (const WorkerRecord& record : table_.workers() | std::views::values) {
    capacities[record.info.service] += record.load.used;
  }
  for (const Candidate& worker : workers_) {
    capacities[worker.info().service] +=
        worker.info().capacity - worker.record->load.used;
  }
  for (const auto& [pool, capacity] : capacities) {
    quotas_.SetCapacity(pool, capacity);
  }
}

void Planner::AddCandidate(const WorkerRecord& record, bool is_awaited) {
  if (record.info.is_draining ||
      history_.health.IsExcluded(record.info.boot, now_)) {
    return;
  }
  workers_.push_back(MakeCandidate(record));
  workers_.back().is_awaited = is_awaited;
  workers_.back().is_unusable = is_awaited;
}

Candidate Planner::MakeCandidate(const WorkerRecord& record) const {
  Candidate candidate;
  candidate.record = &record;
  candidate.free_capacity = record.info.capacity - record.load.used;
  candidate.is_on_probation = history_.health.IsOnProbation(record.info.boot);
  candidate.speed = history_.speed.SpeedOf(record.info.boot);
  candidate.pace = PaceOf(candidate.speed);
  candidate.has_fillers = record.load.fillers > 0;
  candidate.has_user_serving_tasks = record.load.user_serving > 0;
  if (history_.trials.HasSuspects()) {
    candidate.job_on_trial = history_.trials.JobOnTrial(record.info.boot, now_);
  }
  return candidate;
}

void Planner::CollectSteps() {
  for (const JobRecord* job : table_.active() | std::views::values) {
    const Queue* queue = table_.FindQueue(job->queue);
    if (queue == nullptr) {
      continue;
    }
    for (const auto& [occurrence, steps] : job->occurrences) {
      CollectSteps(*job, *queue, occurrence, steps);
    }
  }
}

void Planner::CollectSteps(const JobRecord& job,
                           const Queue& queue,
                           uint64_t occurrence,
                           const std::vector<StepRecord>& steps) {
  for (uint32_t n = 0; n < steps.size(); ++n) {
    CollectStep(job, queue, occurrence, steps, n);
  }
}

void Planner::CollectStep(const JobRecord& job,
                          const Queue& queue,
                          uint64_t occurrence,
                          const std::vector<StepRecord>& steps,
                          uint32_t n) {
  const StepRecord& record = steps[n];
  const StepSpec& spec = job.spec.steps[n];
  const bool may_start = spec.is_gang ? record.open == 0 : record.Waiting() > 0;
  if (record.IsDone() || !may_start) {
    return;
  }
  const bool is_ready = IsStepReady(job.spec, steps, n);
  if (!is_ready &&
      !(queue.advice.is_required && IsNearlyReady(job.spec, steps, n))) {
    return;
  }
  WaitingStep step{&job, &queue, &spec, &record, {job.id, occurrence, n}};
  const bool is_known = queue.advice.is_required && advice_.HasAnswer(step.key);
  step.is_ready = is_ready;
  step.awaits_advice =
      queue.advice.is_required && !is_known && advice_.HasOpenQuery(step.key);
  if (!is_ready && (is_known || step.awaits_advice)) {
    return;
  }
  step.is_excess = job.is_excess;
  step.has_reservation = history_.reserved_steps.contains(step.key);
  step.pool_use = quotas_.Open(job.customer, queue.service);
  step.due = DueTimeOf(step);
  step.needed_speed = NeededSpeedOf(step);
  (is_ready ? waiting_steps_ : upcoming_steps_).push_back(std::move(step));
}

// Steps that never finish, or that are too late to be of use, leave the fast
// workers to others.
double Planner::NeededSpeedOf(const WaitingStep& step) const {
  const auto it = history_.timings.find(step.job->id);
  if (step.spec->is_lasting || step.due.is_missed ||
      it == history_.timings.end()) {
    return 0;
  }
  if (step.queue->stretch <= kUrgentStretch) {
    return std::numeric_limits<double>::infinity();
  }
  return it->second.NeededSpeed(step.key.step, step.due.at, now_);
}

// Long-running and recurring work has no time at which it is of no use.
DueTime Planner::DueTimeOf(const WaitingStep& step) const {
  const auto it = history_.timings.find(step.job->id);
  if (it == history_.timings.end()) {
    return {now_};
  }
  DueTime due = it->second.DueTimeOf(*step.queue, step.key.step, now_,
                                     step.key.occurrence);
  const bool stays_useful =
      step.spec->is_lasting || step.job->spec.IsRecurring();
  due.is_missed &= !stays_useful;
  return due;
}

}  // namespace sassafras::jobs
