// Messages between the leader and the control hosts that relay its calls to
// workers. Each request carries new calls; its reply carries the replies of
// workers to any earlier calls.

#ifndef JOBCONTROL_SRC_RELAY_MESSAGES_H_
#define JOBCONTROL_SRC_RELAY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/worker_session.h"
#include "wire/array_json.h"

namespace sassafras::jobcontrol {

inline constexpr std::string_view kRelayMethod = "relay";  // RelayRequest

// Identifies a relayed call within one term of a leader.
using RelayedCallId = uint64_t;

// The part of a worker's description that a call needs.
struct RelayedTarget {
  jobs::WorkerBoot boot;
  std::string address;
  uint16_t port = 0;
};
WIRE_DEFINE_ARRAY(RelayedTarget, boot, address, port)

enum class RelayedOrderKind : uint8_t { kStart, kStop, kPace };

struct RelayedOrder {
  RelayedCallId id = 0;
  RelayedTarget target;
  RelayedOrderKind kind = RelayedOrderKind::kStart;
  jobs::TaskKey task;
  uint64_t run = 0;
  int64_t lease_until_ms = 0;
  uint32_t percent = 0;  // of a kPace
  std::string payload;   // of a kStart, as the two below
  std::string checkpoint;
  std::string ticket;
  uint64_t fencing_token = 0;  // 0, of an earlier version: the leader's term
  int64_t reply_limit_us = 0;  // 0, of an earlier version: the longest
};
WIRE_DEFINE_ARRAY(RelayedOrder,
                  id,
                  target,
                  kind,
                  task,
                  run,
                  lease_until_ms,
                  percent,
                  payload,
                  checkpoint,
                  ticket,
                  fencing_token,
                  reply_limit_us)

struct RelayedHold {
  RelayedCallId id = 0;
  RelayedTarget target;
  uint64_t end_cursor = 0;
  int64_t lease_until_ms = 0;
  int64_t wait_us = 0;
  uint64_t fencing_token = 0;  // as of an order
  int64_t reply_limit_us = 0;  // as of an order
};
WIRE_DEFINE_ARRAY(RelayedHold,
                  id,
                  target,
                  end_cursor,
                  lease_until_ms,
                  wait_us,
                  fencing_token,
                  reply_limit_us)

struct RelayRequest {
  uint64_t term = 0;  // of the leader
  std::vector<RelayedOrder> orders;
  std::vector<RelayedHold> holds;
  // The leader only asks whether the relay can be reached.
  bool is_probe = false;
};
WIRE_DEFINE_ARRAY(RelayRequest, term, orders, holds, is_probe)

struct RelayedOrderReply {
  RelayedCallId id = 0;
  jobs::OrderResult result = jobs::OrderResult::kNoAnswer;
  std::vector<int64_t> clock_ms;  // empty if the reply had no clock reading
};
WIRE_DEFINE_ARRAY(RelayedOrderReply, id, result, clock_ms)

struct RelayedHoldReply {
  RelayedCallId id = 0;
  bool is_answered = false;
  bool is_refused = false;
  int64_t clock_ms = 0;
  std::vector<jobs::RunReport> running;
  std::vector<jobs::EndReport> ended;
  uint64_t unread_ends = 0;
  uint64_t unread_running = 0;
};
WIRE_DEFINE_ARRAY(RelayedHoldReply,
                  id,
                  is_answered,
                  is_refused,
                  clock_ms,
                  running,
                  ended,
                  unread_ends,
                  unread_running)

struct RelayReply {
  std::vector<RelayedOrderReply> orders;
  std::vector<RelayedHoldReply> holds;

  bool IsEmpty() const { return orders.empty() && holds.empty(); }
};
WIRE_DEFINE_ARRAY(RelayReply, orders, holds)

// Conversion between calls and their messages.
RelayedTarget ToRelayedTarget(const jobs::WorkerInfo& worker);
jobs::WorkerInfo ToWorkerInfo(const RelayedTarget& target);
RelayedOrder ToRelayedOrder(RelayedCallId id,
                            const jobs::WorkerInfo& worker,
                            const jobs::OrderCall& call,
                            uint64_t fencing_token);
jobs::OrderCall ToOrderCall(const RelayedOrder& order);
RelayedHold ToRelayedHold(RelayedCallId id,
                          const jobs::WorkerInfo& worker,
                          const jobs::HoldCall& call,
                          uint64_t fencing_token);
jobs::HoldCall ToHoldCall(const RelayedHold& hold);
RelayedOrderReply ToRelayedReply(RelayedCallId id,
                                 const jobs::OrderReply& reply);
jobs::OrderReply ToOrderReply(const RelayedOrderReply& reply);
RelayedHoldReply ToRelayedReply(RelayedCallId id, const jobs::HoldReply& reply);
jobs::HoldReply ToHoldReply(const RelayedHoldReply& reply);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_RELAY_MESSAGES_H_
