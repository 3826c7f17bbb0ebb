// Says to a caller what became of a proposal.

#ifndef CONTROL_SRC_PROPOSE_REPLY_H_
#define CONTROL_SRC_PROPOSE_REPLY_H_

#include <nlohmann/json.hpp>

#include "control/replica_service.h"
#include "wire/control.h"

namespace sassafras::control {

// Returns kOk with `body` for a committed proposal, kUnknown for one that may
// still be committed, kNotRun where the same request can succeed later without
// any action of the caller, and kRefused where it can't.
wire::ControlReply ToControlReply(const ProposeResult& result,
                                  nlohmann::json body);

}  // namespace sassafras::control

#endif  // CONTROL_SRC_PROPOSE_REPLY_H_
