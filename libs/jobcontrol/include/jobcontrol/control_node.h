// A control host: one replica of the job table, the leader's work while it
// leads, and the way into the cluster for a host that isn't a member yet.

#ifndef JOBCONTROL_CONTROL_NODE_H_
#define JOBCONTROL_CONTROL_NODE_H_

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "jobcontrol/worker_link.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

class ControlNode : public kernel::Service {
 public:
  // All arguments must outlive the service.
  ControlNode(const settings::Settings& settings,
              kernel::Kernel& kernel,
              cluster::Peers& peers,
              cluster::PeerService& peer_service,
              WorkerLink& workers,
              telemetry::Metrics& metrics);
  ~ControlNode() override;

  // Calls of this process; see messages.h. On the control thread.
  void Handle(const std::string& method,
              const nlohmann::json& body,
              const cluster::ReplyDone& done);
  // Joins and greets through `client`; to be set before Start().
  void SetClient(cluster::Client& client);
  // The address at which the leader takes heartbeats of workers; nothing while
  // no leader is known. On the control thread.
  std::optional<settings::Endpoint> LeaderEndpoint() const;

  std::string_view name() const override { return "control"; }
  bool Start(kernel::KernelReason& why) override;
  // Hands leadership over, if it is held here.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_CONTROL_NODE_H_
