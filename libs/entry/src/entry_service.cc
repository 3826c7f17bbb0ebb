// Connects the entry to the kernel and to other entries: owns the strand,
// registers the peer methods, and starts, drains and stops the driver.

#include "entry/entry_service.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "entry_driver.h"
#include "wire/codec.h"

namespace sassafras::entry {
namespace {

constexpr int kNotFound = 404;

wire::RelayAnswer ToRelayAnswer(const FinalAnswer& it) {
  wire::RelayAnswer relay;
  switch (it.outcome) {
    case routing::Outcome::kCompleted:
      relay.state = wire::RelayState::kCompleted;
      break;
    case routing::Outcome::kNotRun:
      relay.state = wire::RelayState::kNotRun;
      break;
    case routing::Outcome::kUnknown:
      relay.state = wire::RelayState::kUnknown;
      break;
  }
  relay.answer = ToStored(it.answer, SIZE_MAX);
  return relay;
}

CallerRequest ToCallerRequest(wire::ForwardCall call,
                              std::shared_ptr<net::CallerWatch> watch) {
  CallerRequest caller;
  caller.service = call.service;
  caller.owner = call.owner;
  caller.priority = call.priority;
  caller.timeout = std::chrono::milliseconds(call.timeout_ms);
  caller.is_idempotent = call.is_idempotent;
  caller.key = call.key;
  caller.is_first_sending = call.is_first_sending;
  caller.watch = std::move(watch);
  caller.request.method = std::move(call.method);
  caller.request.target = std::move(call.target);
  caller.request.headers = std::move(call.headers);
  caller.request.body.assign(call.body.begin(), call.body.end());
  return caller;
}

}  // namespace

class EntryService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       cluster::Client& client,
       telemetry::Metrics& metrics)
      : strand_(boost::asio::make_strand(kernel.traffic())),
        dependencies_{settings, kernel, client, metrics, strand_} {}

  const boost::asio::any_io_executor& strand() const { return strand_; }

  bool Start(kernel::KernelReason& why) {
    routing::RoutingReason routing_why;
    driver_ = EntryDriver::Create(dependencies_, routing_why);
    if (!driver_) {
      return why.Set(kernel::KernelError::kServiceFailed, routing_why.message);
    }
    driver_->Start();
    return true;
  }

  // Handles the peer method entry/forward: a caller's request that another
  // entry forwarded.
  void OnForward(const std::string& body, const peer::Respond& respond) {
    wire::CodecReason why;
    auto call = wire::DecodeCbor<wire::ForwardCall>(body, why);
    if (!call || !driver_) {
      respond(400, why.message);
      return;
    }
    driver_->Serve(
        ToCallerRequest(*std::move(call), respond.watch),
        [respond](const FinalAnswer& it) {
          respond(200, wire::EncodeCbor(ToRelayAnswer(it)));
        },
        /*is_from_other_entry=*/true);
  }

  // Handles the peer method entry/ask: another entry's query for the outcome of
  // an idempotency key that this entry admitted.
  void OnOutcomeQuery(const std::string& body, const peer::Respond& respond) {
    wire::CodecReason why;
    const auto call = wire::DecodeCbor<wire::AskCall>(body, why);
    if (!call || !driver_) {
      respond(400, why.message);
      return;
    }
    if (call->incarnation != driver_->incarnation()) {
      respond(200, wire::EncodeCbor(
                       wire::RelayAnswer{wire::RelayState::kNotKnown, {}}));
      return;
    }
    driver_->ServeOutcomeQuery(*call, [respond](const FinalAnswer& it) {
      wire::RelayAnswer relay = ToRelayAnswer(it);
      // The dispatcher reports an unknown outcome with status 404 for a key of
      // which no request is in progress at this entry.
      const bool is_known = it.outcome != routing::Outcome::kUnknown ||
                            it.answer.status != kNotFound;
      if (!is_known) {
        relay.state = wire::RelayState::kNotKnown;
      }
      respond(200, wire::EncodeCbor(relay));
    });
  }

  EntryDriver* driver() const { return driver_.get(); }

 private:
  boost::asio::any_io_executor strand_;
  EntryDriver::Dependencies dependencies_;
  std::shared_ptr<EntryDriver> driver_;  // set by Start()
};

EntryService::EntryService(const settings::Settings& settings,
                           kernel::Kernel& kernel,
                           cluster::PeerService& peer_service,
                           cluster::Client& client,
                           telemetry::Metrics& metrics)
    : impl_(std::make_shared<Impl>(settings, kernel, client, metrics)) {
  peer_service.Register(
      "entry/forward", impl_->strand(),
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        impl->OnForward(body, respond);
      });
  peer_service.Register(
      "entry/ask", impl_->strand(),
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        impl->OnOutcomeQuery(body, respond);
      });
}

EntryService::~EntryService() = default;

void EntryService::Serve(CallerRequest request,
                         std::function<void(http::Answer)> respond) {
  boost::asio::post(impl_->strand(), [impl = impl_, it = std::move(request),
                                      respond = std::move(respond)]() mutable {
    impl->driver()->Serve(
        std::move(it),
        [respond](const FinalAnswer& answer) { respond(answer.answer); },
        /*is_from_other_entry=*/false);
  });
}

std::shared_ptr<const document::Document> EntryService::document() const {
  return impl_->driver()->session().document();
}

bool EntryService::IsReady() const {
  return impl_->driver()->IsReady();
}

bool EntryService::Start(kernel::KernelReason& why) {
  bool is_started = false;
  kernel::RunOn(impl_->strand(), [&] { is_started = impl_->Start(why); });
  return is_started;
}

void EntryService::Drain(std::function<void()> done) {
  boost::asio::post(impl_->strand(),
                    [impl = impl_, done = std::move(done)]() mutable {
                      impl->driver()->Drain(std::move(done));
                    });
}

void EntryService::Stop() {
  kernel::RunOn(impl_->strand(), [this] { impl_->driver()->Stop(); });
}

}  // namespace sassafras::entry
