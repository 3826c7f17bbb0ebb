// Gauges of what each customer uses and of its waiting jobs.

#ifndef JOBCONTROL_CUSTOMER_GAUGES_H_
#define JOBCONTROL_CUSTOMER_GAUGES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "jobcontrol/bounded_names.h"
#include "jobs/job_table.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Not thread-safe.
class CustomerGauges {
 public:
  // Customers with gauges of their own; those that are seen later in the life
  // of the process are added up under the name "other".
  static constexpr size_t kMaxNames = BoundedNames::kMaxNames;

  // `metrics` must outlive the gauges.
  explicit CustomerGauges(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // Sets the gauges to what the table says. Takes time in proportion to the
  // number of active jobs, unless no manifest has named a customer.
  void Set(const jobs::JobTable& table);
  // Sets all gauges to 0, as another process leads now.
  void Clear();

 private:
  struct Sums {
    jobs::Resources used;
    uint64_t waiting_jobs = 0;
  };
  struct Gauges {
    telemetry::Gauge* used_cores = nullptr;
    telemetry::Gauge* used_memory_mb = nullptr;
    telemetry::Gauge* used_accelerators = nullptr;
    telemetry::Gauge* waiting_jobs = nullptr;
  };

  static void Set(const Gauges& gauges, const Sums& sums);
  Gauges MakeGauges(const std::string& name) const;
  // Returns the name under which the customer is shown.
  const jobs::CustomerId& NameOf(const jobs::CustomerId& customer);

  telemetry::Metrics& metrics_;
  BoundedNames names_;
  std::map<jobs::CustomerId, Gauges> gauges_;  // by the name that is shown
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_CUSTOMER_GAUGES_H_
