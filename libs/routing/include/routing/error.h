// Error codes of Dispatcher and SlotLedger.

#ifndef ROUTING_ERROR_H_
#define ROUTING_ERROR_H_

#include "base/reason.h"

namespace sassafras::routing {

enum class RoutingError {
  kNone,
  kInvalidOptions,
  kInvalidMessage,  // a heartbeat or renewal lacks a required field
  kStale            // the incarnation or sequence number was superseded
};
using RoutingReason = base::Reason<RoutingError>;

}  // namespace sassafras::routing

#endif  // ROUTING_ERROR_H_
