// The volatile state of one term of leadership: sessions and grants, worker
// leases, and the placement core. Dropped when the term ends.

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

// Used on the control thread. Calls that are still in progress when the term
// ends are answered by the replica's outcomes, which are certain by then.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  static std::shared_ptr<LeaderTerm> Create(const settings::Settings& settings,
                                            ReplicaService& replica,
                                            consensus::Term term,
                                            base::Instant now,
                                            std::string& why);

  void OnChanges(base::Instant now, const std::vector<state::Change>& changes);
  void Tick(base::Instant now);

  // The methods of LeaderService of the same names.
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
  // Continues a call after a step of it has been committed.
  using Next = std::function<void()>;

  LeaderTerm(const settings::Settings& settings, ReplicaService& replica);
  bool Open(consensus::Term term, base::Instant now, std::string& why);

  // Answers `done` unless the command was committed, else calls `next`.
  void Commit(const wire::Command& command,
              const ReplyDone& done,
              std::function<void(const wire::CommandResult&)> next);
  // Calls `next` once it is certain that this replica still led after now.
  void AfterBarrier(const ReplyDone& done, Next next);

  bool IsKnownRun(const wire::WorkerHeartbeat& heartbeat) const;
  void PutWorker(const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
                 const ReplyDone& done,
                 const Next& next);
  void ReportAttempts(const std::shared_ptr<wire::WorkerHeartbeat>& heartbeat,
                      const ReplyDone& done,
                      const Next& next);
  void AnswerWorker(const wire::WorkerHeartbeat& heartbeat,
                    base::Instant received,
                    base::Instant barrier_began,
                    const ReplyDone& done);
  void BeginEntry(const wire::EntryRenewal& renewal,
                  const ReplyDone& done,
                  const Next& next);
  void AnswerEntry(const wire::EntryRenewal& renewal, const ReplyDone& done);
  void EndSessions(base::Instant now);
  void EndLeases(base::Instant now);
  void FollowWorker(base::Instant now, const wire::WorkerId& id);
  void ExpireState(base::Instant now);
  void UpdateMetrics(base::Instant now);

  const settings::Settings& settings_;
  ReplicaService& replica_;
  std::optional<routing::SlotLedger> ledger_;  // set by Open()
  WorkerLeases leases_;
  std::unique_ptr<PlacementDriver> driver_;  // set by Open()
  std::set<wire::WorkerId> ending_;  // their EndWorker has been proposed
  base::Instant next_expire_;
  base::Instant next_metrics_;
};

// The term's answers in the envelope of a reply.
wire::ControlReply OkReply(nlohmann::json body);
wire::ControlReply RefusedReply(std::string message);

}  // namespace sassafras::control

#endif  // CONTROL_SRC_LEADER_TERM_H_
