// Runs one replica of a replicated state: drives the consensus core on the
// control thread and its journal on a thread of its own, and hands committed
// commands to the state in order.

#ifndef CLUSTER_REPLICA_DRIVER_H_
#define CLUSTER_REPLICA_DRIVER_H_

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

enum class DriverError { kNone, kStorage, kSnapshot, kConsensus };
using DriverReason = base::Reason<DriverError>;

// What is replicated, and the way out for messages. Called on the control
// thread, never from within a call to the driver that isn't on the stack.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;

  // Replaces the state by a snapshot of it; false, with a reason, where the
  // bytes are none.
  virtual bool Restore(const std::string& bytes, std::string& why) = 0;
  virtual std::string Snapshot() = 0;
  // Records of kind kCommand, in the order of the log.
  virtual void Apply(const consensus::Record& record) = 0;
  // The records of one step were applied; proposals are answered next.
  virtual void OnBatchApplied() = 0;
  virtual void OnRole(const consensus::RoleChange& change) = 0;
  virtual void Send(const consensus::Message& message) = 0;
};

struct DriverOptions {
  wire::EntryId name;  // of this process
  std::string data_folder;
  base::Duration election_timeout{};
  base::Duration heartbeat{};
};

using ResolvedDone = std::function<void(const consensus::Resolved&)>;
using BarrierDone = std::function<void(bool passed)>;

// To be used on the control thread, but for CloseJournal().
class ReplicaDriver : public std::enable_shared_from_this<ReplicaDriver> {
 public:
  // Opens the data folder and restores `state` from it. `state`, `control`
  // and `journal_write` must outlive the driver. Null with a reason where the
  // folder, its snapshot or the options are of no use.
  static std::shared_ptr<ReplicaDriver> Create(
      boost::asio::io_context& control,
      const DriverOptions& options,
      ReplicatedState& state,
      telemetry::Histogram& journal_write,
      DriverReason& why);

  // Takes part from now on.
  void Begin();
  void Receive(consensus::Message message);
  void Propose(std::string payload, ResolvedDone done);
  // Questions that come while a barrier is on its way share the next one.
  void Barrier(BarrierDone done);
  void Form(ResolvedDone done);
  void AddLearner(const consensus::Member& member, ResolvedDone done);
  void Remove(const consensus::ReplicaId& id, ResolvedDone done);
  void TransferLeadership();
  // Calls `done` once another replica leads, or none other could.
  void DrainLeadership(std::function<void()> done);

  // Takes no further part.
  void Close();
  // After Close(); joins the journal's thread, so not on the control thread.
  void CloseJournal();

  const consensus::Replica& replica() const { return *replica_; }

  // Whether this replica leads, and the state has all that was committed
  // before its term.
  bool IsReadyToLead() const;

 private:
  ReplicaDriver(boost::asio::io_context& control, ReplicatedState& state);

  bool Open(const DriverOptions& options,
            telemetry::Histogram& journal_write,
            DriverReason& why);
  void StartJournal(storage::Journal journal,
                    telemetry::Histogram& journal_write);
  template <typename Event>
  void Change(Event event, ResolvedDone done);
  consensus::Token Expect(ResolvedDone done);
  void BeginBarrier();
  void Step(consensus::Event event);
  // What one step does to the state, in this order.
  struct StateChange {
    std::optional<consensus::Snapshot> restore;
    std::vector<consensus::Record> committed;
    size_t applied = 0;  // records of `committed`
    std::optional<consensus::RoleChange> role_change;
    std::vector<consensus::Resolved> resolved;
    std::optional<consensus::Index> take_snapshot_at;
  };

  void CarryOut(consensus::Effects effects);
  void ApplyChanges();
  bool ApplyRecords(StateChange& change, size_t& bytes_left);
  void Finish(StateChange change);
  void RestoreInstalled(const consensus::Snapshot& snapshot);
  void Resolve(const consensus::Resolved& resolved);
  void ArmTimer();

  boost::asio::io_context& control_;
  ReplicatedState& state_;
  boost::asio::steady_timer timer_;
  std::optional<consensus::Replica> replica_;  // set by Open()
  std::unique_ptr<JournalThread> journal_;
  std::map<consensus::Token, ResolvedDone> expected_;
  consensus::Token last_token_;
  std::vector<BarrierDone> barrier_waiting_;  // asked since the last began
  bool is_barrier_running_ = false;
  std::vector<consensus::Event> events_;
  bool is_stepping_ = false;
  std::deque<StateChange> changes_;  // to be applied; the oldest first
  bool is_applying_ = false;         // now, or put off
  bool is_closed_ = false;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_REPLICA_DRIVER_H_
