// What the workers of each pool can run together, as far as that is certain.

#ifndef JOBS_POOL_CAPACITIES_H_
#define JOBS_POOL_CAPACITIES_H_

#include <map>
#include <optional>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Workers come one by one when a cluster starts, and most of those that are
// lost return soon. A pool's capacity therefore isn't known in the first
// seconds after its first worker, and a loss counts only after some seconds.
// Not thread-safe.
class PoolCapacities {
 public:
  // Takes the workers of the table, which are known for long.
  void Assign(const JobTable& table);
  // Must be called when workers of the table have changed. Returns whether the
  // size of the largest worker of any pool is another one.
  bool Update(const JobTable& table, base::Instant now);

  // Returns the capacity of all workers of the pool that aren't draining, or
  // nullopt while it isn't certain that this is all.
  std::optional<Resources> CapacityOf(const wire::ServiceId& pool,
                                      base::Instant now) const;
  // Returns the most of each resource that any worker of the pool has; nothing
  // if there is none.
  Resources LargestWorker(const wire::ServiceId& pool) const;

 private:
  struct Pool {
    Resources sum;
    Resources largest;
    base::Instant known_from = base::Instant::min();
    // What there was before the last losses, and until when it counts.
    Resources before_losses;
    base::Instant counts_until = base::Instant::min();
  };

  static std::map<wire::ServiceId, Pool> PoolsOf(const JobTable& table);

  std::map<wire::ServiceId, Pool> pools_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_POOL_CAPACITIES_H_
