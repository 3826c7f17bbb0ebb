// One control replica: runs the consensus core on the control thread, its
// journal on a thread of its own, and applies committed commands to the
// replicated state.

#ifndef CONTROL_REPLICA_SERVICE_H_
#define CONTROL_REPLICA_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/peers.h"
#include "consensus/replica.h"
#include "control/control_metrics.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "state/machine.h"
#include "wire/commands.h"

namespace sassafras::control {

using cluster::Peers;
using cluster::PeerService;

// What became of a proposal.
struct ProposeResult {
  consensus::Outcome outcome = consensus::Outcome::kUnknown;
  std::string message;         // of outcomes other than kCommitted
  wire::CommandResult result;  // of kCommitted
};
using ProposeDone = std::function<void(const ProposeResult&)>;
using BarrierDone = std::function<void(bool passed)>;

// The leader's side reacts to these on the control thread.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  // After a batch of commands was applied; `changes` are in order.
  virtual void OnApplied(const std::vector<state::Change>& changes) = 0;
  virtual void OnRole(const consensus::RoleChange& change) = 0;
};

// Everything but Start and Stop is to be called on the control thread.
class ReplicaService : public kernel::Service {
 public:
  ReplicaService(const settings::Settings& settings,
                 kernel::Kernel& kernel,
                 Peers& peers,
                 PeerService& peer_service,
                 telemetry::Metrics& metrics);
  ~ReplicaService() override;

  void SetObserver(ReplicaObserver* observer);

  void Propose(const wire::Command& command, ProposeDone done);
  void Barrier(BarrierDone done);

  // Cluster changes; the result's code tells what became of them.
  void Form(ProposeDone done);
  void AddLearner(const consensus::Member& member, ProposeDone done);
  void Remove(const consensus::ReplicaId& id, ProposeDone done);
  void TransferLeadership();

  const state::Machine& machine() const;
  const consensus::Replica& replica() const;
  // See cluster::ReplicaDriver.
  bool IsReadyToLead() const;
  const ControlMetrics& metrics() const;

  std::string_view name() const override { return "replica"; }
  bool Start(kernel::KernelReason& why) override;
  // Hands leadership over, if it is held here.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::control

#endif  // CONTROL_REPLICA_SERVICE_H_
