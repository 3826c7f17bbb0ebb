// Handles workers that are overused, that shrank below what is reserved on
// them, or that are leaving.

#ifndef PLACEMENT_WORKER_WATCH_H_
#define PLACEMENT_WORKER_WATCH_H_

#include <set>

#include "plan_context.h"

namespace sassafras::placement {

class WorkerWatch {
 public:
  // Schedules a check of the worker for the next plan.
  void Add(const Worker& worker) { slots_to_check_.insert(worker.slot); }

  void Run(PlanContext& context);

 private:
  std::set<uint32_t> slots_to_check_;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_WORKER_WATCH_H_
