// Carries out relayed calls and collects their replies.

#include "relay_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

// Replies that arrive within this time share one message to the leader.
constexpr auto kCollectTime = std::chrono::milliseconds(2);
// Without replies, the leader hears from its relay at least this often.
constexpr auto kMaxReplyDelay = std::chrono::milliseconds(250);

}  // namespace

std::shared_ptr<RelayHost> RelayHost::Create(boost::asio::io_context& control,
                                             WorkerLink& workers,
                                             TermSource current_term) {
  return std::shared_ptr<RelayHost>(
      new RelayHost(control, workers, std::move(current_term)));
}

RelayHost::RelayHost(boost::asio::io_context& control,
                     WorkerLink& workers,
                     TermSource current_term)
    : workers_(workers),
      current_term_(std::move(current_term)),
      timer_(control) {}

void RelayHost::Handle(const std::string& body, peer::Respond respond) {
  wire::CodecReason why;
  const auto request = wire::DecodeCbor<RelayRequest>(body, why);
  if (!request) {
    respond(400, why.message);
    return;
  }
  if (request->term < std::max(term_, current_term_())) {
    respond(409, "the term of the leader has ended");
    return;
  }
  if (request->term != term_) {
    BeginTerm(request->term);
  }
  AnswerOpenRequest();
  open_request_ = std::move(respond.send);
  if (request->is_probe) {
    AnswerOpenRequest();
    return;
  }
  CarryOut(*request);
  WaitForReplies(kMaxReplyDelay);
}

void RelayHost::BeginTerm(uint64_t term) {
  telemetry::Decision("relay").With("term", term).Write();
  term_ = term;
  replies_ = {};
  if (open_request_) {
    std::exchange(open_request_, {})(409, "a later leader has called");
  }
}

void RelayHost::CarryOut(const RelayRequest& request) {
  for (const RelayedOrder& order : request.orders) {
    workers_.Order(
        ToWorkerInfo(order.target), ToOrderCall(order),
        TokenOf(order.fencing_token),
        [self = shared_from_this(), id = order.id,
         term = term_](const jobs::OrderReply& reply) {
          if (term == self->term_) {
            self->replies_.orders.push_back(ToRelayedReply(id, reply));
            self->OnReplyAdded();
          }
        });
  }
  for (const RelayedHold& hold : request.holds) {
    workers_.Hold(ToWorkerInfo(hold.target), ToHoldCall(hold),
                  TokenOf(hold.fencing_token),
                  [self = shared_from_this(), id = hold.id,
                   term = term_](const jobs::HoldReply& reply) {
                    if (term == self->term_) {
                      self->replies_.holds.push_back(ToRelayedReply(id, reply));
                      self->OnReplyAdded();
                    }
                  });
  }
}

uint64_t RelayHost::TokenOf(uint64_t fencing_token) const {
  return fencing_token == 0 ? term_ : fencing_token;
}

void RelayHost::OnReplyAdded() {
  if (open_request_ && !is_collecting_) {
    is_collecting_ = true;
    WaitForReplies(kCollectTime);
  }
}

void RelayHost::WaitForReplies(base::Duration limit) {
  if (!replies_.IsEmpty()) {
    limit = std::min<base::Duration>(limit, kCollectTime);
    is_collecting_ = true;
  }
  timer_.expires_after(limit);
  timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->AnswerOpenRequest();
    }
  });
}

void RelayHost::AnswerOpenRequest() {
  is_collecting_ = false;
  if (open_request_) {
    std::exchange(open_request_, {})(
        200, wire::EncodeCbor(std::exchange(replies_, {})));
  }
}

void RelayHost::Close() {
  timer_.cancel();
  open_request_ = {};
}

}  // namespace sassafras::jobcontrol
