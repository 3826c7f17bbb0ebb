// Applies commands on workers.

#ifndef STATE_SRC_WORKERS_H_
#define STATE_SRC_WORKERS_H_

#include "store.h"

namespace sassafras::state {

wire::CommandResult ApplyPutWorker(Store& store,
                                   const wire::PutWorker& command);
wire::CommandResult ApplyEndWorker(Store& store,
                                   const wire::EndWorker& command);
wire::CommandResult ApplyQuarantine(Store& store,
                                    const wire::SetQuarantine& command);

}  // namespace sassafras::state

#endif  // STATE_SRC_WORKERS_H_
