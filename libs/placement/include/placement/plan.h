// Output of the scheduler: plans, whose parts are proposed as commands, and
// reports on owners and workers.

#ifndef PLACEMENT_PLAN_H_
#define PLACEMENT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/commands.h"
#include "wire/ids.h"
#include "wire/job.h"
#include "wire/resources.h"

namespace sassafras::placement {

// Limits of one call of MakePlan.
struct PlanLimits {
  uint32_t max_assignments =
      512;  // a gang is never split, so it may exceed this
  uint32_t max_orders = 512;
};

enum class DecisionKind {
  kPlace,       // the task is assigned to `worker`
  kWait,        // no worker has enough free capacity for the task
  kReserve,     // the job reserves workers until all of its tasks fit
  kPreempt,     // attempts on `worker` are evicted for the task
  kOverUse,     // an attempt is throttled or ended as `worker` is overused
  kShed,        // an attempt ends because `worker` shrank or is leaving
  kPark,        // the job can't run on this cell any more
  kUnpark,      // the job can run on this cell again
  kQuarantine,  // the worker gets no work but probe tasks
  kRelease      // the worker's quarantine ends
};

// One entry of the decision log.
struct Decision {
  DecisionKind kind = DecisionKind::kPlace;
  wire::OwnerId owner;
  wire::TaskId task;
  wire::WorkerId worker;    // empty if the decision is about no worker
  uint32_t candidates = 0;  // number of workers compared
  base::Duration waited{};  // time that the task spent waiting
  std::string why;          // for instance "best fit" or "spread over zones"
};

struct Plan {
  // Each group becomes one wire::AssignTasks command.
  std::vector<std::vector<wire::Assignment>> groups;
  std::vector<wire::OrderAttempts::Item> orders;
  std::vector<wire::ParkJob> parks;  // an empty reason unparks the job
  std::vector<wire::SetQuarantine> quarantines;
  std::vector<Decision> decisions;
  bool has_more = false;  // work remains; call MakePlan again at once

  bool IsEmpty() const {
    return groups.empty() && orders.empty() && parks.empty() &&
           quarantines.empty();
  }
};

struct OwnerReport {
  wire::OwnerId owner;
  uint32_t weight = 1;
  wire::Resources held;   // reserved by its assigned and running tasks
  double fair_share = 0;  // fraction of the cell by weight, in [0, 1]
  double dominant_share = 0;
  double lent = 0;      // part of its fair share that it doesn't use
  double borrowed = 0;  // part of its dominant share above its fair share
  uint64_t waiting_tasks = 0;
  base::Duration longest_wait{};
};

struct WorkerReport {
  wire::WorkerId worker;
  wire::ZoneId zone;
  wire::RackId rack;
  wire::Resources capacity;
  wire::Resources reserved;
  wire::Resources observed;
  wire::Resources free;
  uint32_t attempts = 0;
  bool is_quarantined = false;
  bool is_leaving = false;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_PLAN_H_
