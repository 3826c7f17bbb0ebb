// Runs one replica of a replicated state machine: drives the consensus core on
// the control thread, writes its journal on a separate thread, and applies
// committed commands to the state in log order.

#ifndef CLUSTER_REPLICA_DRIVER_H_
#define CLUSTER_REPLICA_DRIVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "cluster/journal_thread.h"
#include "consensus/replica.h"
#include "telemetry/metrics.h"

namespace sassafras::cluster {

// Reasons why a driver can't be created.
enum class DriverError { kNone, kStorage, kSnapshot, kConsensus };
using DriverReason = base::Reason<DriverError>;

// The replicated state machine and the transport of the driver's messages,
// both implemented by the user of the driver. All methods run on the control
// thread, some of them from within calls to the driver.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;

  // Replaces the state with a snapshot. Returns false and sets `why` if `bytes`
  // isn't a valid snapshot.
  virtual bool Restore(const std::string& bytes, std::string& why) = 0;
  // Returns a snapshot of the current state.
  virtual std::string Snapshot() = 0;
  // Applies one record. Called for records of kind kCommand only, in log order.
  virtual void Apply(const consensus::Record& record) = 0;
  // Called after all records of one step of the core are applied and before the
  // callbacks of its proposals run.
  virtual void OnBatchApplied() = 0;
  // Called when this replica's role, its term or its known leader has changed.
  virtual void OnRole(const consensus::RoleChange& change) = 0;
  // Sends a message to another replica. Messages may be lost.
  virtual void Send(const consensus::Message& message) = 0;
};

struct DriverOptions {
  wire::EntryId name;  // name of this process
  std::string data_folder;
  base::Duration election_timeout{};
  base::Duration heartbeat{};    // interval between heartbeats of a leader
  size_t max_voters = SIZE_MAX;  // see consensus::Options
};

// Receives the outcome of a proposal or membership change.
using ResolvedDone = std::function<void(const consensus::Resolved&)>;
// `passed` is false if the replica couldn't confirm its leadership.
using BarrierDone = std::function<void(bool passed)>;

// Drives one replica. Control thread only, except CloseJournal().
class ReplicaDriver : public std::enable_shared_from_this<ReplicaDriver> {
 public:
  // Opens the data folder and restores `state` from its snapshot. `state`,
  // `control` and `journal_write` must outlive the driver. Returns nullptr and
  // sets `why` if the data folder, its snapshot or the options are invalid.
  static std::shared_ptr<ReplicaDriver> Create(
      boost::asio::io_context& control,
      const DriverOptions& options,
      ReplicatedState& state,
      telemetry::Histogram& journal_write,
      DriverReason& why);

  // Starts the replica's participation in the group.
  void Begin();
  // Processes a message from another replica.
  void Receive(consensus::Message message);
  // Proposes a command; `done` gets its outcome.
  void Propose(std::string payload, ResolvedDone done);
  // Read barrier: once it has passed, the state holds everything that was
  // committed before the call. Calls that arrive while a barrier is running
  // share the next one.
  void Barrier(BarrierDone done);
  // Bootstraps a new group with this replica as its only voter.
  void Bootstrap(ResolvedDone done);
  // Adds a replica as a learner; the core makes it a voter once it has caught
  // up.
  void AddLearner(const consensus::Member& member, ResolvedDone done);
  // Removes a replica from the group.
  void PromoteLearner();
  void Remove(const consensus::ReplicaId& id, ResolvedDone done);
  // Starts a transfer of leadership to another voter.
  void TransferLeadership();
  // Transfers leadership, repeating the transfer until this replica isn't the
  // leader, then calls `done`. Calls `done` at once if this replica isn't the
  // leader or is the only voter.
  void DrainLeadership(std::function<void()> done);

  // Ends the replica's participation: no further events or records are
  // processed.
  void Close();
  // Joins the journal's thread. Must be called after Close(), and not on the
  // control thread because it blocks.
  void CloseJournal();

  const consensus::Replica& replica() const { return *replica_; }

  // Returns whether this replica is the leader and its state includes all
  // records that were committed before its term.
  bool IsReadyToLead() const;

 private:
  ReplicaDriver(boost::asio::io_context& control, ReplicatedState& state);

  bool Open(const DriverOptions& options,
            telemetry::Histogram& journal_write,
            DriverReason& why);
  void StartJournal(storage::Journal journal,
                    telemetry::Histogram& journal_write);
  // Steps the core with an event that gets a new token; `done` gets the
  // outcome.
  template <typename Event>
  void StepWithToken(Event event, ResolvedDone done);
  // Returns the new token under which `done` is registered.
  consensus::Token RegisterCallback(ResolvedDone done);
  void StartBarrier();
  void Step(consensus::Event event);
  // Effects of one step on the state, in the order in which they are applied.
  struct StateChange {
    std::optional<consensus::Snapshot> restore;
    std::vector<consensus::Record> committed;
    size_t applied = 0;  // number of records in `committed` already applied
    std::optional<consensus::RoleChange> role_change;
    std::vector<consensus::Resolved> resolved;
    std::optional<consensus::Index> take_snapshot_at;
  };

  void CarryOut(consensus::Effects effects);
  void ApplyStateChanges();
  bool ApplyRecords(StateChange& change, size_t& bytes_left);
  void FinishChange(StateChange change);
  void RestoreInstalledSnapshot(const consensus::Snapshot& snapshot);
  void Resolve(const consensus::Resolved& resolved);
  void ArmTimer();

  boost::asio::io_context& control_;
  ReplicatedState& state_;
  boost::asio::steady_timer timer_;
  std::optional<consensus::Replica> replica_;  // set by Open()
  std::unique_ptr<JournalThread> journal_;
  std::map<consensus::Token, ResolvedDone> callbacks_by_token_;
  consensus::Token last_token_;
  // Barrier calls that arrived since the running barrier started.
  std::vector<BarrierDone> queued_barriers_;
  bool is_barrier_running_ = false;
  std::vector<consensus::Event> events_;   // not yet processed; oldest first
  bool is_stepping_ = false;               // Step() is on the call stack
  std::deque<StateChange> state_changes_;  // not yet applied; oldest first
  bool is_applying_ = false;  // ApplyStateChanges() is running or posted
  bool is_closed_ = false;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_REPLICA_DRIVER_H_
