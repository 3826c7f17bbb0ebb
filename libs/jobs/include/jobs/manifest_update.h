// The difference between two versions of the manifest, as entries get it.

#ifndef JOBS_MANIFEST_UPDATE_H_
#define JOBS_MANIFEST_UPDATE_H_

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

#include "jobs/customer.h"
#include "jobs/manifest.h"

namespace sassafras::jobs {

struct ManifestUpdate {
  // The version to which the update applies; 0 if it is the whole manifest.
  uint64_t base = 0;
  uint64_t version = 0;       // after the update
  std::vector<Queue> queues;  // added or changed
  std::vector<QueueId> removed_queues;
  std::vector<wire::ServiceId> services;  // added
  std::vector<wire::ServiceId> removed_services;
  // Added, changed, or with keys that they didn't have before. `keys` holds
  // only these.
  std::vector<Customer> customers;
  std::vector<CustomerId> removed_customers;
  std::vector<KeyDigest> removed_keys;  // keys that no customer has any more
  RequestLimits limits;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ManifestUpdate,
                                                base,
                                                version,
                                                queues,
                                                removed_queues,
                                                services,
                                                removed_services,
                                                customers,
                                                removed_customers,
                                                removed_keys,
                                                limits)

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_UPDATE_H_
