// State shared by the planner's components during one call of MakePlan.

#ifndef PLACEMENT_PLAN_CONTEXT_H_
#define PLACEMENT_PLAN_CONTEXT_H_

#include <string>
#include <utility>

#include "cell.h"
#include "placement/plan.h"

namespace sassafras::placement {

struct PlanContext {
  Cell& cell;
  base::Instant now;
  const PlanLimits& limits;
  Plan& plan;
  uint32_t assignments = 0;  // number of assignments in `plan`

  bool MayAssign() const { return assignments < limits.max_assignments; }
  bool MayOrder() const { return plan.orders.size() < limits.max_orders; }

  // Adds an entry to the decision log. `worker` is null if the decision is
  // about no worker.
  void Note(DecisionKind kind,
            const Task& task,
            const Worker* worker,
            uint32_t candidates,
            std::string why) {
    plan.decisions.push_back({kind, task.job->spec.owner, task.Id(),
                              worker == nullptr ? wire::WorkerId() : worker->id,
                              candidates, now - task.queued_or_assigned_at,
                              std::move(why)});
  }
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_PLAN_CONTEXT_H_
