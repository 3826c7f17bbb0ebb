// Orders to running attempts: run freely, throttle, checkpoint, stop.

#ifndef PLACEMENT_ORDERS_H_
#define PLACEMENT_ORDERS_H_

#include <string>

#include "plan_context.h"

namespace sassafras::placement {

// Proposes an order, and repeats it until it is committed.
void ProposeOrder(PlanContext& context,
                  Task& task,
                  wire::AttemptOrder order,
                  std::string reason);

// Ends an attempt with a checkpoint order, followed by a stop order after
// Options::checkpoint_grace. An attempt that isn't running yet is stopped at
// once.
void EvictWithCheckpoint(PlanContext& context,
                         Task& task,
                         const std::string& reason);

// Ends an attempt at once.
void EvictNow(PlanContext& context, Task& task, const std::string& reason);

// Records that the order was committed.
void ConfirmOrder(Cell& cell, Task& task, wire::AttemptOrder order);

// Handles all task timers that are due.
void RunTimers(PlanContext& context);

}  // namespace sassafras::placement

#endif  // PLACEMENT_ORDERS_H_
