// Applies commands on attempts: assignments, orders and reports.

#ifndef STATE_SRC_ATTEMPTS_H_
#define STATE_SRC_ATTEMPTS_H_

#include "store.h"

namespace sassafras::state {

wire::CommandResult ApplyAssign(Store& store, const wire::AssignTasks& command);
wire::CommandResult ApplyOrders(Store& store,
                                const wire::OrderAttempts& command);
wire::CommandResult ApplyReports(Store& store,
                                 const wire::ReportAttempts& command);

}  // namespace sassafras::state

#endif  // STATE_SRC_ATTEMPTS_H_
