// The volatile state of one leader term: entry sessions and grants, worker
// leases, and the placement scheduler. Discarded when the term ends.

#ifndef CONTROL_SRC_LEADER_TERM_H_
#define CONTROL_SRC_LEADER_TERM_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cluster/client.h"
#include "control/replica_service.h"
#include "placement_driver.h"
#include "routing/slot_ledger.h"
#include "settings/settings.h"
#include "state/lease_table.h"
#include "wire/control.h"
#include "wire/routing.h"

namespace sassafras::control {

using cluster::ReplyDone;

// Must be used on the control thread. A call that is still in progress when the
// term ends gets its reply from the outcome that the replica then reports for
// its proposal or barrier.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  // Returns null and sets `why` if the settings are invalid. `settings` and
  // `replica` must outlive the term.
  static std::shared_ptr<LeaderTerm> Create(const settings::Settings& settings,
                                            ReplicaService& replica,
                                            consensus::Term term,
                                            base::Instant now,
                                            std::string& why);

  // Processes committed changes and plans placement.
  void OnChanges(base::Instant now, const std::vector<state::Change>& changes);
  // Expires sessions, leases and old state, and plans placement when it is due.
  void Tick(base::Instant now);

  // Handlers of the methods that are listed in leader_service.h.
  void Propose(const nlohmann::json& body, const ReplyDone& done);
  void Renew(const nlohmann::json& body, const ReplyDone& done);
  void WorkerHeartbeat(const nlohmann::json& body, const ReplyDone& done);
  void UpstreamHeartbeat(const nlohmann::json& body, const ReplyDone& done);
  void Query(const nlohmann::json& body, const ReplyDone& done);

  const routing::SlotLedger& ledger() const { return *ledger_; }
  const placement::Scheduler& scheduler() const { return driver_->scheduler(); }
  const state::Machine& machine() const { return replica_.machine(); }
  const consensus::Replica& consensus_replica() const {
    return replica_.replica();
  }

 private:
  using WorkerLeases = state::LeaseTable<wire::WorkerId>;
  // The next step of a call, run after a commit or a barrier.
  using Continuation = std::function<void()>;

  LeaderTerm(const settings::Settings& settings, ReplicaService& replica);
  bool Open(consensus::Term term, base::Instant now, std::string& why);

  // Calls `next` with the result once the command is committed. Otherwise
  // replies to `done` with the outcome.
  void Commit(const wire::Command& command,
              const ReplyDone& done,
              std::function<void(const wire::CommandResult&)> next);
  // Calls `next` after a read barrier that starts now, which confirms that this
  // replica is still the leader. Replies kNotRun to `done` if the barrier
  // fails.
  void AfterBarrier(const ReplyDone& done, Continuation next);

  // Returns whether the sender is the live incarnation of its worker.
  bool IsCurrentIncarnation(const wire::WorkerHeartbeat& heartbeat) const;
  // Commits the worker record if it differs from the heartbeat.
  void PutWorker(const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
                 const ReplyDone& done,
                 const Continuation& next);
  // Commits the attempt reports that would change a task.
  void ReportAttempts(const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
                      const ReplyDone& done,
                      const Continuation& next);
  void ReplyToWorker(const wire::WorkerHeartbeat& heartbeat,
                     base::Instant received,
                     base::Instant barrier_began,
                     const ReplyDone& done);
  // Commits the incarnation of the entry unless it is already live.
  void BeginEntry(const wire::EntryRenewal& renewal,
                  const ReplyDone& done,
                  const Continuation& next);
  void ReplyToEntry(const wire::EntryRenewal& renewal, const ReplyDone& done);
  void EndSessions(base::Instant now);
  void EndLeases(base::Instant now);
  void UpdateWorkerLease(base::Instant now, const wire::WorkerId& id);
  void ExpireState(base::Instant now);
  void UpdateMetrics(base::Instant now);

  const settings::Settings& settings_;
  ReplicaService& replica_;
  std::optional<routing::SlotLedger> ledger_;  // set by Open()
  WorkerLeases leases_;
  std::unique_ptr<PlacementDriver> driver_;  // set by Open()
  // Workers with an expired lease and a proposed EndWorker command.
  std::set<wire::WorkerId> ending_workers_;
  base::Instant next_expire_;
  base::Instant next_metrics_;
};

// Wrap a method's answer, or the message of a rejected call, in a ControlReply.
wire::ControlReply OkReply(nlohmann::json body);
wire::ControlReply RefusedReply(std::string message);

}  // namespace sassafras::control

#endif  // CONTROL_SRC_LEADER_TERM_H_
