// Adds up jobs and open runs by customer.

#include "jobcontrol/customer_gauges.h"

#include <ranges>

namespace sassafras::jobcontrol {
namespace {

constexpr double kMilli = 1000;

}  // namespace

void CustomerGauges::Set(const jobs::JobTable& table) {
  if (table.manifest().customers.empty() && gauges_.empty()) {
    return;
  }
  // In the order of the manifest, so that its first customers are shown.
  for (const jobs::Customer& it : table.manifest().customers) {
    if (names_.IsFull()) {
      break;
    }
    NameOf(it.id);
  }
  std::map<jobs::CustomerId, Sums> sums;
  for (const auto& [id, load] : table.customer_loads().all()) {
    sums[NameOf(id)].used += load.need;
  }
  for (const jobs::JobRecord* job : table.active() | std::views::values) {
    if (!job->has_started && !job->customer.empty()) {
      ++sums[NameOf(job->customer)].waiting_jobs;
    }
  }
  for (const auto& [name, gauges] : gauges_) {
    Set(gauges, sums[name]);
  }
}

void CustomerGauges::Clear() {
  for (const Gauges& it : gauges_ | std::views::values) {
    Set(it, {});
  }
}

void CustomerGauges::Set(const Gauges& gauges, const Sums& sums) {
  gauges.used_cores->Set(static_cast<double>(sums.used.cpu_milli) / kMilli);
  gauges.used_memory_mb->Set(static_cast<double>(sums.used.mem_mb));
  gauges.used_accelerators->Set(static_cast<double>(sums.used.accelerators));
  gauges.waiting_jobs->Set(static_cast<double>(sums.waiting_jobs));
}

const jobs::CustomerId& CustomerGauges::NameOf(
    const jobs::CustomerId& customer) {
  const jobs::CustomerId name(names_.Get(customer.str()));
  const auto it = gauges_.try_emplace(name).first;
  if (it->second.used_cores == nullptr) {
    it->second = MakeGauges(name.str());
  }
  return it->first;
}

CustomerGauges::Gauges CustomerGauges::MakeGauges(
    const std::string& name) const {
  const telemetry::Labels labels = {{"customer", name}};
  return {&metrics_.GetGauge("sassafras_customer_used_cores",
                             "Cores that the customer's open runs declare.",
                             labels),
          &metrics_.GetGauge("sassafras_customer_used_memory_mb",
                             "Memory that the customer's open runs declare.",
                             labels),
          &metrics_.GetGauge("sassafras_customer_used_accelerators",
                             "Accelerators that the customer's open runs hold.",
                             labels),
          &metrics_.GetGauge("sassafras_customer_waiting_jobs",
                             "Jobs of the customer of which no task has begun.",
                             labels)};
}

}  // namespace sassafras::jobcontrol
