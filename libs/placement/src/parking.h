// Parks queued jobs that can't run on the current cell, and unparks them once
// they can.

#ifndef PLACEMENT_PARKING_H_
#define PLACEMENT_PARKING_H_

#include <set>
#include <vector>

#include "plan_context.h"

namespace sassafras::placement {

class Parking {
 public:
  // Records a committed change of the job's parking.
  void OnCommitted(Cell& cell, Job& job, bool is_parked);

  // Checks new jobs, and all queued and parked jobs if workers, owners or
  // quotas changed since the last call.
  void Run(PlanContext& context);
  void Add(const Job& job) { unchecked_jobs_.push_back(job.spec.id); }

 private:
  void CheckJob(PlanContext& context, Job& job);
  void CheckQueued(PlanContext& context);

  uint64_t seen_epoch_ = 0;
  std::vector<wire::JobId> unchecked_jobs_;
  std::set<wire::JobId> parked_;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_PARKING_H_
