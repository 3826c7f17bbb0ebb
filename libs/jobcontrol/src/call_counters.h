// Counts an entry's calls by customer, and those that are denied by reason.

#ifndef JOBCONTROL_SRC_CALL_COUNTERS_H_
#define JOBCONTROL_SRC_CALL_COUNTERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "jobcontrol/bounded_names.h"
#include "jobs/types.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Not thread-safe.
class CallCounters {
 public:
  // Customers with a counter of their own; calls of those that are seen later
  // in the life of the process are counted under the name "other".
  static constexpr size_t kMaxNames = BoundedNames::kMaxNames;

  // `metrics` must outlive the counters.
  explicit CallCounters(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // A call with a key of the customer was passed on to the leader.
  void CountServed(const jobs::CustomerId& customer);
  // A call was denied for its key or its id. `reason` is a literal.
  void CountDenied(std::string_view reason);

 private:
  telemetry::Metrics& metrics_;
  BoundedNames names_;
  std::map<std::string, telemetry::Counter*> by_name_;  // none is null
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_CALL_COUNTERS_H_
