// Forwards the leader's queries to the placement service.

#include "jobcontrol/advice_host.h"

#include <chrono>
#include <string>

#include "jobcontrol/messages.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kAdviceTimeout = std::chrono::milliseconds(2500);

void HandleAdviceQuery(WorkerLink& workers,
                       const std::string& body,
                       const peer::Respond& respond) {
  wire::CodecReason why;
  const auto query = wire::DecodeCbor<jobs::AdviceQuery>(body, why);
  if (!query) {
    respond(400, why.message);
    return;
  }
  workers.QueryAdvice(*query, kAdviceTimeout, [respond](const auto& permits) {
    if (permits) {
      respond(200, wire::EncodeCbor(*permits));
    } else {
      respond(503, "the placement service refused the query or did not answer");
    }
  });
}

}  // namespace

void ServeAdvice(cluster::PeerService& peer_service,
                 const boost::asio::any_io_executor& executor,
                 WorkerLink& workers) {
  peer_service.Register(
      std::string(kAdviseMethod), executor,
      [&workers](const std::string& body, const peer::Respond& respond) {
        HandleAdviceQuery(workers, body, respond);
      });
}

}  // namespace sassafras::jobcontrol
