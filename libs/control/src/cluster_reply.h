// Says to a caller what became of a change of the members.

#ifndef CONTROL_SRC_CLUSTER_REPLY_H_
#define CONTROL_SRC_CLUSTER_REPLY_H_

#include "control/replica_service.h"
#include "wire/control.h"

namespace sassafras::control {

// Returns kOk for a committed change, kUnknown for one that may still be made,
// kNotRun where the same request can succeed later without any action of the
// operator, and kRefused where it can't.
wire::ControlReply ToClusterReply(const ProposeResult& result);

}  // namespace sassafras::control

#endif  // CONTROL_SRC_CLUSTER_REPLY_H_
