// Connects the placement scheduler to the replicated state: passes it every
// committed change and proposes its plans as commands.

#ifndef CONTROL_SRC_PLACEMENT_DRIVER_H_
#define CONTROL_SRC_PLACEMENT_DRIVER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "control/replica_service.h"
#include "placement/scheduler.h"
#include "state/machine.h"
#include "wire/worker.h"

namespace sassafras::control {

// Exists for one leader term. Must be used on the control thread.
class PlacementDriver {
 public:
  // Returns null and sets `why` if the scheduler rejects its options.
  static std::unique_ptr<PlacementDriver> Create(
      ReplicaService& replica,
      base::Instant now,
      placement::PlacementReason& why);

  // Passes committed changes to the scheduler, in log order.
  void OnChanges(base::Instant now, const std::vector<state::Change>& changes);
  // Passes the resource usage reported by a heartbeat to the scheduler.
  void OnUsage(base::Instant now, const wire::WorkerHeartbeat& heartbeat);

  // Makes a plan and proposes its commands. Call after changes, at
  // NextDeadline() and while has_more() is true.
  void Plan(base::Instant now);
  std::optional<base::Instant> NextDeadline() const;

  // Whether the last plan stopped at its limits; Plan() should then be called
  // again without delay.
  bool has_more() const { return has_more_; }

  const placement::Scheduler& scheduler() const { return *scheduler_; }

 private:
  explicit PlacementDriver(ReplicaService& replica) : replica_(replica) {}

  bool Rebuild(base::Instant now, placement::PlacementReason& why);
  void PutOwners(base::Instant now);
  void PutWorker(base::Instant now, const wire::WorkerId& id);
  void PutJob(base::Instant now, const wire::JobId& id);
  void PutTask(base::Instant now,
               const wire::TaskId& id,
               const state::TaskRecord& task);

  void On(base::Instant now, const state::Rebuild& change);
  void On(base::Instant now, const state::DocumentChanged& change);
  void On(base::Instant now, const state::EntryChanged& change);
  void On(base::Instant now, const state::WorkerChanged& change);
  void On(base::Instant now, const state::JobAdded& change);
  void On(base::Instant now, const state::JobChanged& change);
  void On(base::Instant now, const state::JobEnded& change);
  void On(base::Instant now, const state::JobForgotten& change);
  void On(base::Instant now, const state::TaskChanged& change);
  void EndAttempt(base::Instant now, const state::TaskChanged& change);

  void ProposeGroups(std::vector<std::vector<wire::Assignment>> groups);
  void ProposeOrders(std::vector<wire::OrderAttempts::Item> items);
  void WriteDecisions(const placement::Plan& plan) const;

  ReplicaService& replica_;
  std::optional<placement::Scheduler> scheduler_;  // set by Rebuild()
  std::set<wire::OwnerId> owners_;                 // known to the scheduler
  // Run time of each placed attempt in ms, from the worker's last report.
  std::map<wire::AttemptId, int64_t> ran_ms_;
  bool has_more_ = false;
  // Callbacks of proposals hold a weak reference to detect that the driver was
  // destroyed.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace sassafras::control

#endif  // CONTROL_SRC_PLACEMENT_DRIVER_H_
