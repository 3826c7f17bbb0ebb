// Quarantines workers on which tasks of many workloads fail.

#ifndef PLACEMENT_QUARANTINE_H_
#define PLACEMENT_QUARANTINE_H_

#include <set>

#include "placement/events.h"
#include "plan_context.h"

namespace sassafras::placement {

class Quarantine {
 public:
  // Records how an attempt ended. Must be called before Cell::Finish.
  void OnEnded(base::Instant now,
               Cell& cell,
               Task& task,
               const TaskEnded& event);
  void OnCommitted(base::Instant now,
                   Cell& cell,
                   Worker& worker,
                   bool is_quarantined);

  void Run(PlanContext& context);

 private:
  void RecordSuccess(base::Instant now,
                     Cell& cell,
                     Workload& workload,
                     const Worker& worker);
  void OnFailed(base::Instant now,
                Cell& cell,
                Task& task,
                const TaskEnded& event);
  void Propose(PlanContext& context, Worker& worker, std::string reason);

  // Slots of workers:
  std::set<uint32_t> suspects_;  // with new evidence of a fault
  std::set<uint32_t> releases_;  // whose probe succeeded
  std::set<uint32_t> proposed_;  // whose proposed change isn't committed yet
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_QUARANTINE_H_
