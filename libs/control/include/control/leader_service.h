// The service of the control leader: replies to calls, maintains entry sessions
// and worker leases, divides upstream slots among entries, and runs placement.
// Every control replica has one; it is active only while its replica is leader.

#ifndef CONTROL_LEADER_SERVICE_H_
#define CONTROL_LEADER_SERVICE_H_

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "control/replica_service.h"
#include "kernel/kernel.h"
#include "settings/settings.h"

namespace sassafras::control {

using cluster::ReplyDone;

// Methods, with the fields of their bodies and answers:
//   propose             {command: CBOR bytes} -> wire::CommandResult
//   renew               {renewal: wire::EntryRenewal} -> {ended: true} or
//                       {answer: wire::EntryAnswer, document_version, document}
//                       (the document only if the entry has an older version)
//   worker-heartbeat    wire::WorkerHeartbeat -> wire::WorkerAnswer
//   upstream-heartbeat  wire::UpstreamHeartbeat -> wire::UpstreamAnswer
//   query               {kind, name, owner, is_platform} -> see reports.h
//   cluster-add         {name} -> {}
//   cluster-remove      {name} or {id} -> {}
// Successful replies are sent only after a read barrier or a commit.
class LeaderService : public kernel::Service {
 public:
  LeaderService(const settings::Settings& settings,
                kernel::Kernel& kernel,
                Peers& peers,
                PeerService& peer_service,
                ReplicaService& replica);
  ~LeaderService() override;

  // Handles a call from this process. Must be called on the control thread.
  void Handle(const std::string& method,
              const nlohmann::json& body,
              ReplyDone done);

  std::string_view name() const override { return "leader"; }
  bool Start(kernel::KernelReason& why) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::control

#endif  // CONTROL_LEADER_SERVICE_H_
