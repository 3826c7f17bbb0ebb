// Plans a few steps between two plans of all steps, with the workers that the
// former plan collected.

#include <algorithm>
#include <utility>

#include "planner.h"

namespace sassafras::jobs {

Plan Planner::MakeFor(const std::set<StepKey>& steps,
                      const PlanSources& sources,
                      base::Instant now) {
  now_ = now;
  reports_room_ = sources.reports_room;
  waiting_steps_.clear();
  upcoming_steps_.clear();
  needs_without_room_.clear();
  early_requests_ = 0;
  quotas_.BeginPlan();
  room_for_excess_.clear();
  std::set<StepKey> keys = steps;
  for (std::vector<StepKey>* retried : {&short_of_room_, &capped_steps_}) {
    keys.insert(retried->begin(), retried->end());
    retried->clear();
  }
  std::ranges::for_each(keys, [this](auto& key) { CollectStep(key); });
  std::erase_if(waiting_steps_,
                [this](const auto& step) { return !IsIndependent(step); });
  if (waiting_steps_.empty()) {
    return {};
  }
  plan_.ready_steps = waiting_steps_.size();
  if (worker_set_version_ != table_.worker_set_version()) {
    CollectWorkers(sources);
  }
  idle_advice_hosts_ = sources.idle_advice_hosts();
  quotas_.FixShares();
  std::ranges::sort(waiting_steps_, {}, &WaitingStep::Rank);
  for (WaitingStep& step : waiting_steps_) {
    if (step.Class() == best_without_room_) {
      step.max_level = max_level_without_room_;
    }
    if (!step.IsCapped()) {
      RefreshWorkers(step, sources);
    }
  }
  PlaceSteps([](const auto&) {});
  return std::exchange(plan_, {});
}

void Planner::NoteShortOfRoom(const WaitingStep& step) {
  ++plan_.steps_without_room;
  const ServiceClass step_class = step.Class();
  if (!best_without_room_ || step_class < *best_without_room_) {
    best_without_room_ = step_class;
    short_of_room_.clear();
    max_level_without_room_ = ShareLevel::kFarBeyond;
  }
  if (step_class != *best_without_room_ ||
      short_of_room_.size() >= kMaxRetriedSteps) {
    return;
  }
  short_of_room_.push_back(step.key);
  if (short_of_room_.size() == kMaxRetriedSteps) {
    max_level_without_room_ = step.Level();
  }
}

bool Planner::IsIndependent(const WaitingStep& step) const {
  return !step.awaits_advice && !step.spec->is_gang && !HasSuspects(step) &&
         (!best_without_room_ || step.Class() <= *best_without_room_);
}

void Planner::RefreshWorkers(const WaitingStep& step,
                             const PlanSources& sources) {
  for (Candidate* worker : EligibleWorkers(step)) {
    const WorkerBoot& boot = worker->boot();
    worker->free_capacity = worker->info().capacity -
                            worker->record->load.used - advice_.ClaimedOn(boot);
    worker->placed_steps.clear();
    worker->is_unusable =
        !sources.is_usable(boot) || history_.health.IsExcluded(boot, now_);
    worker->is_awaited &= worker->is_unusable;
    if (history_.trials.HasSuspects()) {
      worker->job_on_trial = history_.trials.JobOnTrial(boot, now_);
    }
  }
}

void Planner::CollectStep(const StepKey& key) {
  const JobRecord* job = table_.FindJob(key.job);
  const Queue* queue = job == nullptr ? nullptr : table_.FindQueue(job->queue);
  if (queue == nullptr || job->phase != JobPhase::kActive) {
    return;
  }
  const auto it = job->occurrences.find(key.occurrence);
  if (it != job->occurrences.end() && key.step < it->second.size()) {
    CollectStep(*job, *queue, key.occurrence, it->second, key.step);
  }
}

}  // namespace sassafras::jobs
