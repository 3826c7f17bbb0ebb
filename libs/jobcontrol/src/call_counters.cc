// Keeps a bounded number of counters with names that the operator chooses.

#include "call_counters.h"

#include <string>

namespace sassafras::jobcontrol {

void CallCounters::CountServed(const jobs::CustomerId& customer) {
  const std::string name = names_.Get(customer.str());
  auto it = by_name_.find(name);
  if (it == by_name_.end()) {
    it = by_name_
             .emplace(name, &metrics_.GetCounter(
                                "sassafras_customer_calls_total",
                                "Calls passed on with a key of the customer.",
                                {{"customer", name}}))
             .first;
  }
  it->second->Add();
}

void CallCounters::CountDenied(std::string_view reason) {
  metrics_
      .GetCounter("sassafras_calls_denied_total",
                  "Calls denied for the caller's key or for the job's id.",
                  {{"reason", std::string(reason)}})
      .Add();
}

}  // namespace sassafras::jobcontrol
