// Adds runs to the sums of their customers, and takes them out.

#include "jobs/customer_loads.h"

namespace sassafras::jobs {

void CustomerLoads::Add(const wire::ServiceId& pool, const OpenRun& run) {
  if (run.customer.empty()) {
    return;
  }
  Load& load = loads_[run.customer];
  load.need += run.Need();
  PoolLoad& in_pool = load.pools[pool];
  in_pool.charge += run.charge;
  ++in_pool.runs;
}

void CustomerLoads::Remove(const wire::ServiceId& pool, const OpenRun& run) {
  if (run.customer.empty()) {
    return;
  }
  const auto load = loads_.find(run.customer);
  const auto in_pool = load->second.pools.find(pool);
  load->second.need -= run.Need();
  in_pool->second.charge -= run.charge;
  if (--in_pool->second.runs == 0) {
    load->second.pools.erase(in_pool);
  }
  if (load->second.pools.empty()) {
    loads_.erase(load);
  }
}

const CustomerLoads::Load* CustomerLoads::Find(
    const CustomerId& customer) const {
  const auto it = loads_.find(customer);
  return it == loads_.end() ? nullptr : &it->second;
}

}  // namespace sassafras::jobs
