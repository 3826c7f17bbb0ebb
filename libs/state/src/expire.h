// Removes records whose retention has expired.

#ifndef STATE_SRC_EXPIRE_H_
#define STATE_SRC_EXPIRE_H_

#include "store.h"

namespace sassafras::state {

wire::CommandResult ApplyExpire(Store& store, const wire::Expire& command);

}  // namespace sassafras::state

#endif  // STATE_SRC_EXPIRE_H_
