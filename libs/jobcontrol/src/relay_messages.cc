// Conversion between worker calls and the messages that carry them.

#include "relay_messages.h"

#include <chrono>
#include <utility>
#include <variant>

namespace sassafras::jobcontrol {
namespace {

base::Duration ReplyLimitOf(int64_t limit_us) {
  return limit_us > 0 ? std::chrono::microseconds(limit_us)
                      : jobs::ReplyLimit::kMax;
}

}  // namespace

RelayedTarget ToRelayedTarget(const jobs::WorkerInfo& worker) {
  return {worker.boot, worker.address, worker.port};
}

jobs::WorkerInfo ToWorkerInfo(const RelayedTarget& target) {
  jobs::WorkerInfo worker;
  worker.boot = target.boot;
  worker.address = target.address;
  worker.port = target.port;
  return worker;
}

RelayedOrder ToRelayedOrder(RelayedCallId id,
                            const jobs::WorkerInfo& worker,
                            const jobs::OrderCall& call,
                            uint64_t fencing_token) {
  RelayedOrder relayed;
  relayed.fencing_token = fencing_token;
  relayed.id = id;
  relayed.target = ToRelayedTarget(worker);
  relayed.lease_until_ms = call.lease_until_ms;
  relayed.reply_limit_us = call.reply_limit.count();
  std::visit(
      [&](const auto& order) {
        relayed.task = order.task;
        relayed.run = order.run;
      },
      call.order);
  if (const auto* start = std::get_if<jobs::StartOrder>(&call.order)) {
    relayed.kind = RelayedOrderKind::kStart;
    relayed.payload = start->payload;
    relayed.checkpoint = start->checkpoint;
    relayed.ticket = start->ticket;
  } else if (const auto* pace = std::get_if<jobs::PaceOrder>(&call.order)) {
    relayed.kind = RelayedOrderKind::kPace;
    relayed.percent = pace->percent;
  } else {
    relayed.kind = RelayedOrderKind::kStop;
  }
  return relayed;
}

jobs::OrderCall ToOrderCall(const RelayedOrder& order) {
  jobs::OrderCall call;
  call.id = order.id;
  call.lease_until_ms = order.lease_until_ms;
  call.reply_limit = ReplyLimitOf(order.reply_limit_us);
  switch (order.kind) {
    case RelayedOrderKind::kStart:
      call.order = jobs::StartOrder{order.task, order.run, order.payload,
                                    order.checkpoint, order.ticket};
      break;
    case RelayedOrderKind::kStop:
      call.order = jobs::StopOrder{order.task, order.run};
      break;
    case RelayedOrderKind::kPace:
      call.order = jobs::PaceOrder{order.task, order.run, order.percent};
      break;
  }
  return call;
}

RelayedHold ToRelayedHold(RelayedCallId id,
                          const jobs::WorkerInfo& worker,
                          const jobs::HoldCall& call,
                          uint64_t fencing_token) {
  return {id,
          ToRelayedTarget(worker),
          call.end_cursor,
          call.lease_until_ms,
          call.wait.count(),
          fencing_token,
          call.reply_limit.count()};
}

jobs::HoldCall ToHoldCall(const RelayedHold& hold) {
  return {hold.end_cursor, hold.lease_until_ms,
          std::chrono::microseconds(hold.wait_us),
          ReplyLimitOf(hold.reply_limit_us)};
}

RelayedOrderReply ToRelayedReply(RelayedCallId id,
                                 const jobs::OrderReply& reply) {
  RelayedOrderReply relayed{id, reply.result, {}};
  if (reply.clock_ms) {
    relayed.clock_ms.push_back(*reply.clock_ms);
  }
  return relayed;
}

jobs::OrderReply ToOrderReply(const RelayedOrderReply& reply) {
  jobs::OrderReply order_reply;
  order_reply.result = reply.result;
  if (!reply.clock_ms.empty()) {
    order_reply.clock_ms = reply.clock_ms.front();
  }
  return order_reply;
}

RelayedHoldReply ToRelayedReply(RelayedCallId id,
                                const jobs::HoldReply& reply) {
  return {id,
          reply.is_answered,
          reply.is_refused,
          reply.clock_ms,
          reply.running,
          reply.ended,
          reply.unread_ends,
          reply.unread_running};
}

jobs::HoldReply ToHoldReply(const RelayedHoldReply& reply) {
  return {reply.is_answered,   reply.is_refused, reply.clock_ms,
          reply.running,       reply.ended,      reply.unread_ends,
          reply.unread_running};
}

}  // namespace sassafras::jobcontrol
