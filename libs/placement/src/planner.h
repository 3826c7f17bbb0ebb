// Makes plans by running the components of the scheduler in a fixed order.

#ifndef PLACEMENT_PLANNER_H_
#define PLACEMENT_PLANNER_H_

#include <cstdint>
#include <vector>

#include "cell.h"
#include "parking.h"
#include "placement/plan.h"
#include "quarantine.h"
#include "reservation.h"
#include "worker_watch.h"

namespace sassafras::placement {

class Planner {
 public:
  Planner(const Options& options, uint64_t seed) : cell_(options, seed) {}

  Plan Make(base::Instant now, const PlanLimits& limits);
  std::optional<base::Instant> NextDeadline() const;

  Cell& cell() { return cell_; }
  const Cell& cell() const { return cell_; }
  Quarantine& quarantine() { return quarantine_; }
  Parking& parking() { return parking_; }
  WorkerWatch& watch() { return watch_; }

 private:
  // Reasons other than freed capacity to retry blocked groups.
  struct RetryCause {
    // No work waits for accelerators any more.
    bool is_demand_over = false;
    // Tasks may reserve less than before.
    bool are_reservations_smaller = false;
  };

  void Unblock(const std::vector<Worker*>& freed);
  void UnblockOwner(Owner& owner,
                    const std::vector<Worker*>& freed,
                    RetryCause cause);
  void PlaceClaimed(PlanContext& context, const std::vector<Worker*>& freed);
  void PlaceByShare(PlanContext& context);
  // Tries to place work of the owner's first ready group, and blocks the group
  // if none fits. Returns false if no group was ready.
  bool PlaceNext(PlanContext& context, Owner& owner);

  Cell cell_;
  Quarantine quarantine_;
  Parking parking_;
  WorkerWatch watch_;
  Reservation reservation_;
  base::Instant last_plan_;
  uint64_t reservation_epoch_ = 0;
  // Cell::HasAcceleratorDemand at the last call of Unblock.
  bool had_accelerator_demand_ = false;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_PLANNER_H_
