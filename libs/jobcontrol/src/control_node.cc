// Registers the service's methods with the peer service and runs its calls on
// the control thread.

#include "jobcontrol/control_node.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "control_node_impl.h"
#include "jobcontrol/advice_host.h"
#include "jobcontrol/messages.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {

ControlNode::ControlNode(const settings::Settings& settings,
                         kernel::Kernel& kernel,
                         cluster::Peers& peers,
                         cluster::PeerService& peer_service,
                         WorkerLink& workers,
                         telemetry::Metrics& metrics,
                         jobs::ManifestReader read_manifest)
    : impl_(std::make_shared<Impl>(settings,
                                   kernel,
                                   peers,
                                   workers,
                                   metrics,
                                   std::move(read_manifest))) {
  const auto executor = kernel.control().get_executor();
  ServeAdvice(peer_service, executor, workers);
  peer_service.Register(
      "consensus", executor,
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        respond(200, "");
        impl->Receive(body);
      });
  peer_service.Register(
      std::string(kRelayMethod), executor,
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        impl->relay_host().Handle(body, respond);
      });
  peer_service.Register(
      std::string(kFetchMethod), executor,
      [impl = impl_](const std::string& body, const peer::Respond& respond) {
        wire::CodecReason why;
        const auto fetch = wire::DecodeCbor<ManifestFetch>(body, why);
        if (fetch) {
          respond(200, wire::EncodeCbor(impl->manifest_source().Serve(*fetch)));
        } else {
          respond(400, why.message);
        }
      });
  for (const auto method :
       {kSubmitMethod, kStateMethod, kCancelMethod, kCountMethod, kPutMethod,
        kGetMethod, kHeartbeatMethod, kHeardMethod, kLeaveMethod, kHelloMethod,
        kJoinMethod}) {
    const std::string name(method);
    peer_service.Register("control/" + name, executor,
                          [impl = impl_, name](const std::string& body,
                                               const peer::Respond& respond) {
                            wire::CodecReason why;
                            const auto value = wire::ParseCbor(body, why);
                            if (!value) {
                              respond(400, why.message);
                              return;
                            }
                            impl->Handle(
                                name, *value,
                                [respond](const wire::ControlReply& reply) {
                                  respond(200, wire::EncodeCbor(reply));
                                });
                          });
  }
}

ControlNode::~ControlNode() = default;

void ControlNode::Handle(const std::string& method,
                         const nlohmann::json& body,
                         const cluster::ReplyDone& done) {
  impl_->Handle(method, body, done);
}

void ControlNode::SetClient(cluster::Client& client) {
  impl_->SetClient(client);
}

void ControlNode::OnHeartbeat(const WorkerHeartbeat& heartbeat,
                              base::Duration timeout,
                              const cluster::ReplyDone& done) {
  impl_->OnHeartbeat(heartbeat, timeout, done);
}

std::optional<settings::Endpoint> ControlNode::HeartbeatEndpoint(
    const wire::WorkerId& worker) const {
  return impl_->HeartbeatEndpoint(worker);
}

bool ControlNode::Start(kernel::KernelReason& why) {
  bool is_open = false;
  kernel::RunOn(impl_->control().get_executor(), [&] {
    is_open = impl_->Open(why);
    if (is_open) {
      impl_->Begin();
    }
  });
  return is_open;
}

void ControlNode::AnnounceStop() {
  boost::asio::post(impl_->control(), [impl = impl_] { impl->AnnounceStop(); });
}

void ControlNode::Drain(std::function<void()> done) {
  boost::asio::post(impl_->control(),
                    [impl = impl_, done = std::move(done)]() mutable {
                      impl->driver().DrainLeadership(std::move(done));
                    });
}

void ControlNode::Stop() {
  kernel::RunOn(impl_->control().get_executor(), [this] { impl_->Close(); });
  impl_->driver().CloseJournal();
}

}  // namespace sassafras::jobcontrol
