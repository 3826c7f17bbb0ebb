// Placement policies, one per kind of job.

#ifndef PLACEMENT_POLICIES_H_
#define PLACEMENT_POLICIES_H_

#include <cstdint>

#include "plan_context.h"

namespace sassafras::placement {

// The worker chosen for one task.
struct WorkerChoice {
  Worker* worker = nullptr;  // null if the task fits on no worker
  uint32_t candidates = 0;   // number of workers compared
  const char* why = "";
};

// Free processors and memory left on the worker after placing the task, each in
// millionths of the worker's capacity, added up. Best fit prefers a low value.
int64_t LeftoverFraction(const Worker& worker, const wire::Resources& need);

// Chooses a worker by the policy of the task's job kind. Claimed capacity isn't
// used.
WorkerChoice ChooseWorker(const PlanContext& context,
                          const Task& task,
                          const wire::Resources& need);

// Adds the assignment to the plan's last group.
void Place(PlanContext& context,
           Task& task,
           const WorkerChoice& choice,
           const wire::Resources& need);

// Places one pending task of the job, or all pending tasks if it is a gang.
// Returns kNone on success, otherwise the reason why nothing was placed.
BlockReason TryPlace(PlanContext& context, Job& job);

}  // namespace sassafras::placement

#endif  // PLACEMENT_POLICIES_H_
