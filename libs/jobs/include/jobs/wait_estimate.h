// Tells how long a new job waits at least for the work that is served before
// it.

#ifndef JOBS_WAIT_ESTIMATE_H_
#define JOBS_WAIT_ESTIMATE_H_

#include <span>

#include "jobs/dated_work.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// What a customer, or all work without one, has waiting in a pool before a new
// job.
struct CustomerBacklog {
  double weight = 0;    // 0: it has no share
  Resources cap;        // an amount of 0 is no limit
  bool is_own = false;  // the new job is of this customer
  Work first;           // of better classes, which shares don't limit
  Work shared;          // of the job's class
};

struct WaitSituation {
  Resources capacity;  // of the pool
  Resources need;  // of one task; resources that it doesn't need don't count
  // Weight of the job's customer; 0 if that has no share.
  double weight = 0;
  // Of all customers that wait or run in the pool, the job's included.
  double sum_of_weights = 0;
  std::span<const CustomerBacklog> backlogs;  // at most one is the job's own
};

// Returns the time in ms after which the pool has done the work before the job
// if nothing else arrives: in one class, each customer gets at least its share
// and no customer more than its cap, and the job waits for what its own
// customer has waiting. Customers that have more waiting than their share pays
// for delay it only by that share. Infinity if a pool without capacity would
// have to do some work.
double LowestWaitMs(const WaitSituation& situation);

}  // namespace sassafras::jobs

#endif  // JOBS_WAIT_ESTIMATE_H_
