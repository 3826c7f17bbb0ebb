// Records versions of the manifest and computes updates between them.

#include "jobs/manifest_history.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <utility>

namespace sassafras::jobs {
namespace {

Customer WithoutKeys(const Customer& customer) {
  return {customer.id, customer.weight, customer.priority, customer.cap, {}};
}

// Customers in the order of their ids, with keys in the order of their calls.
class CustomerList {
 public:
  Customer& Add(const Customer& customer) {
    return customers_.try_emplace(customer.id, customer).first->second;
  }
  std::vector<Customer> Take() {
    std::vector<Customer> taken;
    taken.reserve(customers_.size());
    std::ranges::move(customers_ | std::views::values,
                      std::back_inserter(taken));
    return taken;
  }

 private:
  std::map<CustomerId, Customer> customers_;
};

}  // namespace

void ManifestHistory::Reset(const Manifest& manifest) {
  versions_.clear();
  queues_.Clear();
  services_.Clear();
  customers_.Clear();
  keys_.Clear();
  version_ = manifest.version;
  limits_ = manifest.limits;
  if (version_ == 0) {
    return;
  }
  versions_.insert(version_);
  Assign(manifest);
  // All of it seems to be new.
  queues_.ForgetChanges(version_);
  services_.ForgetChanges(version_);
  customers_.ForgetChanges(version_);
  keys_.ForgetChanges(version_);
}

void ManifestHistory::Record(const Manifest& manifest) {
  if (manifest.version <= version_) {
    return;
  }
  if (version_ == 0) {
    Reset(manifest);
    return;
  }
  version_ = manifest.version;
  limits_ = manifest.limits;
  versions_.insert(version_);
  Assign(manifest);
  while (versions_.size() > 1 && ChangeCount() > kMaxChanges) {
    ForgetOldest();
  }
}

void ManifestHistory::Assign(const Manifest& manifest) {
  decltype(queues_)::Items queues;
  decltype(services_)::Items services;
  decltype(customers_)::Items customers;
  decltype(keys_)::Items keys;
  for (const Queue& it : manifest.queues) {
    queues.emplace_back(it.id, it);
  }
  for (const wire::ServiceId& it : manifest.services) {
    services.emplace_back(it, std::monostate{});
  }
  for (const Customer& it : manifest.customers) {
    customers.emplace_back(it.id, WithoutKeys(it));
    for (const KeyDigest& key : it.keys) {
      keys.emplace_back(key, it.id);
    }
  }
  queues_.Assign(version_, std::move(queues));
  services_.Assign(version_, std::move(services));
  customers_.Assign(version_, std::move(customers));
  keys_.Assign(version_, std::move(keys));
}

// The changes of the second oldest version are needed only by those who hold
// the oldest.
void ManifestHistory::ForgetOldest() {
  versions_.erase(versions_.begin());
  const uint64_t oldest = *versions_.begin();
  queues_.ForgetChanges(oldest);
  services_.ForgetChanges(oldest);
  customers_.ForgetChanges(oldest);
  keys_.ForgetChanges(oldest);
}

size_t ManifestHistory::ChangeCount() const {
  return versions_.size() + queues_.change_count() + services_.change_count() +
         customers_.change_count() + keys_.change_count();
}

ManifestUpdate ManifestHistory::Whole() const {
  ManifestUpdate update;
  update.version = version_;
  update.limits = limits_;
  queues_.VisitAll(
      [&](const auto&, const Queue& queue) { update.queues.push_back(queue); });
  services_.VisitAll([&](const wire::ServiceId& service, const auto&) {
    update.services.push_back(service);
  });
  CustomerList customers;
  customers_.VisitAll(
      [&](const auto&, const Customer& it) { customers.Add(it); });
  keys_.VisitAll([&](const KeyDigest& key, const CustomerId& owner) {
    customers.Add(*customers_.Find(owner)).keys.push_back(key);
  });
  update.customers = customers.Take();
  return update;
}

ManifestUpdate ManifestHistory::UpdateSince(uint64_t base) const {
  if (!Knows(base)) {
    return Whole();
  }
  ManifestUpdate update;
  update.base = base;
  update.version = version_;
  update.limits = limits_;
  queues_.VisitSince(base, [&](const QueueId& id, const Queue* queue) {
    if (queue) {
      update.queues.push_back(*queue);
    } else {
      update.removed_queues.push_back(id);
    }
  });
  services_.VisitSince(base, [&](const wire::ServiceId& id, const auto* it) {
    (it ? update.services : update.removed_services).push_back(id);
  });
  CustomerList customers;
  customers_.VisitSince(base, [&](const CustomerId& id, const Customer* it) {
    if (it) {
      customers.Add(*it);
    } else {
      update.removed_customers.push_back(id);
    }
  });
  keys_.VisitSince(base, [&](const KeyDigest& key, const CustomerId* owner) {
    if (owner) {
      customers.Add(*customers_.Find(*owner)).keys.push_back(key);
    } else {
      update.removed_keys.push_back(key);
    }
  });
  update.customers = customers.Take();
  return update;
}

}  // namespace sassafras::jobs
