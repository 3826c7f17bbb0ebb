// Parked jobs are in no queue, so they don't hold up other jobs.

#include "parking.h"

#include <ranges>
#include <utility>

namespace sassafras::placement {

void Parking::OnCommitted(Cell& cell, Job& job, bool is_parked) {
  if (is_parked) {
    parked_.insert(job.spec.id);
  } else {
    parked_.erase(job.spec.id);
  }
  cell.SetParked(job, is_parked);
}

void Parking::Run(PlanContext& context) {
  Cell& cell = context.cell;
  if (seen_epoch_ != cell.feasibility_epoch()) {
    seen_epoch_ = cell.feasibility_epoch();
    CheckQueued(context);
    const std::set<wire::JobId> parked = parked_;
    for (const wire::JobId& id : parked) {
      Job* job = cell.FindJob(id);
      if (job == nullptr) {
        parked_.erase(id);
      } else {
        CheckJob(context, *job);
      }
    }
  }
  const auto unchecked_jobs = std::move(unchecked_jobs_);
  unchecked_jobs_.clear();
  for (const wire::JobId& id : unchecked_jobs) {
    if (Job* job = cell.FindJob(id)) {
      CheckJob(context, *job);
    }
  }
}

void Parking::CheckQueued(PlanContext& context) {
  for (Owner& owner : context.cell.owners()) {
    for (const auto& group : owner.groups | std::views::values) {
      // Jobs of one group have the same requirements, so one check covers all.
      // Services are the exception, as they may differ in their number of
      // tasks.
      const bool has_same_requirements =
          group->key.kind != wire::JobKind::kService;
      if (has_same_requirements &&
          !context.cell.WhyInfeasible(group->head().spec)) {
        continue;
      }
      for (Job* job : group->jobs | std::views::values) {
        CheckJob(context, *job);
      }
    }
  }
}

void Parking::CheckJob(PlanContext& context, Job& job) {
  const Options& options = context.cell.options();
  const auto why = context.cell.WhyInfeasible(job.spec);
  const bool is_recently_proposed =
      job.park_proposed &&
      *job.park_proposed + options.order_retry_interval > context.now;
  if (why.has_value() == job.is_parked || is_recently_proposed) {
    return;
  }
  job.park_proposed = context.now;
  Decision decision;
  decision.kind = why ? DecisionKind::kPark : DecisionKind::kUnpark;
  decision.owner = job.spec.owner;
  decision.task.job = job.spec.id;
  decision.waited = context.now - job.waiting_since;
  decision.why = why.value_or("the job can run again");
  context.plan.decisions.push_back(std::move(decision));
  context.plan.parks.push_back({job.spec.id, why.value_or("")});
}

}  // namespace sassafras::placement
