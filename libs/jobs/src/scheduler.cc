// Keeps the state that the scheduler needs between plans.

#include "jobs/scheduler.h"

#include <chrono>

#include "erase_job.h"
#include "planner.h"
#include "recent_starts.h"

namespace sassafras::jobs {
namespace {

// A search for workers to ask about walks over the whole pool; capacity that
// comes free on permitted workers is found without one.
constexpr auto kAdviceSearchPause = std::chrono::milliseconds(150);

const WorkerSpeed& NoSpeed() {
  static const auto* const none = new WorkerSpeed;
  return *none;
}

}  // namespace

Scheduler::Scheduler() : Scheduler(NoSpeed()) {}
Scheduler::Scheduler(const WorkerSpeed& speed)
    : usual_starts_(std::make_unique<RecentStarts>()), speed_(speed) {}
Scheduler::~Scheduler() = default;

void Scheduler::OnJob(const JobRecord& job,
                      const Queue* queue,
                      base::Instant accepted_at) {
  timings_.try_emplace(job.id, job.spec, queue, accepted_at);
}

void Scheduler::OnOccurrence(const wire::JobId& job,
                             uint64_t occurrence,
                             base::Instant begun_at) {
  const auto it = timings_.find(job);
  if (it != timings_.end()) {
    it->second.OnOccurrence(occurrence, begun_at);
  }
}

void Scheduler::OnJobEnded(const wire::JobId& job) {
  timings_.erase(job);
  failed_on_.erase(job);
  EraseJob(slow_runs_, job, TaskKey{{job, 0, 0}, 0},
           [](auto& it) { return it.first.step.job; });
  EraseJob(next_advice_search_, job, StepKey{job, 0, 0},
           [](auto& it) { return it.first.job; });
}

void Scheduler::OnStart(const JobTable& table,
                        const StartRun& start,
                        base::Instant now) {
  OnOpenRun(table, start, now);
  // Copies take what is left over, so they don't tell what work needs.
  if (start.is_copy) {
    slow_runs_.erase(start.task);
  } else if (!table.customer_loads().all().empty()) {
    CountUsualStart(table, start, now);
  }
}

void Scheduler::CountUsualStart(const JobTable& table,
                                const StartRun& start,
                                base::Instant now) {
  const JobRecord* job = table.FindJob(start.task.step.job);
  const Queue* queue = job == nullptr ? nullptr : table.FindQueue(job->queue);
  if (queue != nullptr && !job->is_excess) {
    const StepSpec& step = job->spec.steps[start.task.step.step];
    usual_starts_->Add(queue->service, step.Charge(), now);
  }
}

void Scheduler::OnOpenRun(const JobTable& table,
                          const StartRun& start,
                          base::Instant now) {
  const JobRecord* job = table.FindJob(start.task.step.job);
  const TaskRecord* task = job == nullptr ? nullptr : job->FindTask(start.task);
  if (task != nullptr) {
    trials_.OnStart(start, task->crashes, now);
  }
}

void Scheduler::OnWorkersChanged(const JobTable& table) {
  trials_.Prune(table);
}

void Scheduler::OnEnd(const EndRun& end, base::Instant now) {
  trials_.OnEnd(end);
  const auto slow = slow_runs_.find(end.task);
  if (slow != slow_runs_.end() && slow->second == end.run) {
    slow_runs_.erase(slow);
  }
  const bool has_failed = end.outcome == RunOutcome::kFailed;
  if (!has_failed && end.outcome != RunOutcome::kDone) {
    return;
  }
  health_.OnEnd(end.worker, end.task.step.job, has_failed, now);
  if (has_failed) {
    failed_on_[end.task.step.job][end.task].insert(end.worker.id);
  }
}

void Scheduler::OnStraggler(const TaskKey& task,
                            const WorkerBoot& worker,
                            base::Instant now) {
  health_.OnEnd(worker, task.step.job, true, now);
  failed_on_[task.step.job][task].insert(worker.id);
}

void Scheduler::OnSlowRun(const TaskKey& task, uint64_t run) {
  slow_runs_[task] = run;
}

Plan Scheduler::MakePlan(const JobTable& table,
                         const AdviceTracker& advice,
                         const PlanSources& sources,
                         base::Instant now) {
  const SchedulerHistory history{
      timings_,       health_,           speed_,          trials_,
      failed_on_,     reserved_workers_, reserved_steps_, next_advice_search_,
      *usual_starts_, slow_runs_};
  planner_ = std::make_unique<Planner>(table, advice, history);
  Plan plan = planner_->Make(sources, now);
  reserved_workers_ = plan.reserved_workers;
  reserved_steps_ = plan.reserved_steps;
  PauseSearches(plan, now);
  return plan;
}

void Scheduler::PauseSearches(const Plan& plan, base::Instant now) {
  for (const StepKey& step : plan.steps_without_query) {
    next_advice_search_[step] = now + kAdviceSearchPause;
  }
}

Plan Scheduler::MakePlanFor(const std::set<StepKey>& steps,
                            const PlanSources& sources,
                            base::Instant now) {
  if (planner_ == nullptr) {
    return {};
  }
  Plan plan = planner_->MakeFor(steps, sources, now);
  PauseSearches(plan, now);
  return plan;
}

}  // namespace sassafras::jobs
