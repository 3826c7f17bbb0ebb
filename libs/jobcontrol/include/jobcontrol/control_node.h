// The service of a control host: holds one replica of the job table, runs the
// leader while this replica leads, and handles join requests of new hosts.

#ifndef JOBCONTROL_CONTROL_NODE_H_
#define JOBCONTROL_CONTROL_NODE_H_

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "jobcontrol/messages.h"
#include "jobcontrol/worker_link.h"
#include "jobs/manifest.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

class ControlNode : public kernel::Service {
 public:
  // The references must outlive the service. `read_manifest` reads the texts of
  // manifests that older programs have recorded.
  ControlNode(const settings::Settings& settings,
              kernel::Kernel& kernel,
              cluster::Peers& peers,
              cluster::PeerService& peer_service,
              WorkerLink& workers,
              telemetry::Metrics& metrics,
              jobs::ManifestReader read_manifest);
  ~ControlNode() override;

  // Handles a call made by this process; messages.h lists the methods. Must be
  // called on the control thread.
  void Handle(const std::string& method,
              const nlohmann::json& body,
              const cluster::ReplyDone& done);
  // Sets the client that sends this host's hello and join calls. Must be called
  // before Start().
  void SetClient(cluster::Client& client);
  // Handles a worker's heartbeat, here or on the leader. Must be called on the
  // control thread.
  void OnHeartbeat(const WorkerHeartbeat& heartbeat,
                   base::Duration timeout,
                   const cluster::ReplyDone& done);
  // Returns the address to which the worker should send its heartbeats, or
  // nullopt if any control host will do. Must be called on the control thread.
  std::optional<settings::Endpoint> HeartbeatEndpoint(
      const wire::WorkerId& worker) const;

  std::string_view name() const override { return "control"; }
  bool Start(kernel::KernelReason& why) override;
  // Lets a learner take this replica's place.
  void AnnounceStop() override;
  // Transfers leadership to another replica if this one leads.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_CONTROL_NODE_H_
