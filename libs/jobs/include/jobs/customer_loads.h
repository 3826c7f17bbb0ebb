// Sums of what each customer's open runs need, kept up to date with every start
// and end.

#ifndef JOBS_CUSTOMER_LOADS_H_
#define JOBS_CUSTOMER_LOADS_H_

#include <cstdint>
#include <map>

#include "jobs/job_records.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Not thread-safe. Runs without a customer are ignored.
class CustomerLoads {
 public:
  struct PoolLoad {
    Resources charge;   // what the runs occupy on the pool's workers
    uint64_t runs = 0;  // at least 1
  };
  struct Load {
    // What the runs declare over all workers, fillers' processor included.
    Resources need;
    // By the service of the workers; never empty.
    std::map<wire::ServiceId, PoolLoad> pools;
  };

  void Add(const wire::ServiceId& pool, const OpenRun& run);
  // The run must have been added to the same pool.
  void Remove(const wire::ServiceId& pool, const OpenRun& run);

  // Returns null if the customer has no open run.
  const Load* Find(const CustomerId& customer) const;
  // Customers with open runs.
  const std::map<CustomerId, Load>& all() const { return loads_; }

 private:
  std::map<CustomerId, Load> loads_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_CUSTOMER_LOADS_H_
