// One control replica: runs the consensus core on the control thread and its
// journal on a separate thread, and applies committed commands to the
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

// Outcome of a proposal.
struct ProposeResult {
  consensus::Outcome outcome = consensus::Outcome::kUnknown;
  consensus::ConsensusError error = consensus::ConsensusError::kNone;
  std::string message;         // set unless the outcome is kCommitted
  wire::CommandResult result;  // of a committed command
};
using ProposeDone = std::function<void(const ProposeResult&)>;
using BarrierDone = std::function<void(bool passed)>;

// Receives events of a replica on the control thread.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  // Called after a batch of commands is applied. `changes` is in log order and
  // not empty.
  virtual void OnApplied(const std::vector<state::Change>& changes) = 0;
  // Called when the role, term or leader changes.
  virtual void OnRole(const consensus::RoleChange& change) = 0;
};

// All methods except the constructor, Start(), Drain() and Stop() must be
// called on the control thread. `settings`, `kernel`, `peers` and
// `metrics` must outlive the service.
class ReplicaService : public kernel::Service {
 public:
  ReplicaService(const settings::Settings& settings,
                 kernel::Kernel& kernel,
                 Peers& peers,
                 PeerService& peer_service,
                 telemetry::Metrics& metrics);
  ~ReplicaService() override;

  // Null removes the observer, which must outlive its registration.
  void SetObserver(ReplicaObserver* observer);

  // Proposes a command and calls `done` with its outcome.
  void Propose(const wire::Command& command, ProposeDone done);
  // Runs a read barrier: `passed` is true if this replica was confirmed as
  // leader after the call.
  void Barrier(BarrierDone done);

  // Membership changes; `done` receives the outcome. Bootstrap() bootstraps a
  // new group.
  void Bootstrap(ProposeDone done);
  void AddLearner(const consensus::Member& member, ProposeDone done);
  void Remove(const consensus::ReplicaId& id, ProposeDone done);
  void TransferLeadership();

  const state::Machine& machine() const;
  const consensus::Replica& replica() const;
  // Returns whether this replica is the leader and has applied every command
  // that was committed before its term.
  bool IsReadyToLead() const;
  const ControlMetrics& metrics() const;

  std::string_view name() const override { return "replica"; }
  bool Start(kernel::KernelReason& why) override;
  // Transfers leadership to another replica if this one is the leader.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::control

#endif  // CONTROL_REPLICA_SERVICE_H_
