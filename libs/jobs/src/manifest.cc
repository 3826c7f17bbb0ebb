// Validates manifests.

#include "jobs/manifest.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "jobs/manifest_check.h"

namespace sassafras::jobs {
namespace {

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

// Collects the faults of one item after the other.
class FaultList {
 public:
  // The faults that follow belong to this item, which begin with `name`.
  void BeginItem(ManifestItem item, size_t index, std::string name) {
    place_ = {item, index, ManifestField::kWhole};
    name_ = std::move(name);
  }
  void AddIf(bool is_broken, ManifestField field, const std::string& text) {
    if (is_broken) {
      Add(field, name_ + text);
    }
  }
  void Add(ManifestField field, std::string text) {
    place_.field = field;
    faults_.push_back({FindingKind::kFault, place_, std::move(text)});
  }
  ManifestFindings Take() { return std::move(faults_); }

 private:
  ManifestPlace place_;
  std::string name_;
  ManifestFindings faults_;
};

void AddFaultsOfQueue(const Queue& queue,
                      const std::set<wire::ServiceId>& services,
                      FaultList& faults) {
  using enum ManifestField;
  faults.AddIf(queue.id.empty(), kName, " must have a name");
  faults.AddIf(queue.host.empty(), kHost, " must have a host");
  faults.AddIf(queue.path_prefix.empty(), kPathPrefix,
               " must have a path prefix");
  faults.AddIf(queue.request_timeout_ms <= 0, kRequestTimeout,
               ": the request timeout must be greater than 0 ms");
  faults.AddIf(!services.contains(queue.service), kService,
               " refers to the unknown service " + Quoted(queue.service.str()));
}

void AddFaultsOfQueues(const Manifest& manifest, FaultList& faults) {
  std::set<std::pair<std::string_view, std::string_view>> routes;
  std::set<QueueId> names;
  const std::set<wire::ServiceId> services(manifest.services.begin(),
                                           manifest.services.end());
  for (size_t n = 0; n < manifest.queues.size(); ++n) {
    const Queue& queue = manifest.queues[n];
    faults.BeginItem(ManifestItem::kQueue, n,
                     "queue " + Quoted(queue.id.str()));
    AddFaultsOfQueue(queue, services, faults);
    if (!routes.emplace(queue.host, queue.path_prefix).second) {
      faults.Add(ManifestField::kPathPrefix,
                 "two queues share the host and path prefix " + queue.host +
                     queue.path_prefix);
    }
    if (!names.insert(queue.id).second) {
      faults.Add(ManifestField::kName,
                 "two queues are both named " + Quoted(queue.id.str()));
    }
  }
}

// The texts don't quote keys.
void AddFaultsOfCustomers(const Manifest& manifest, FaultList& faults) {
  std::set<CustomerId> names;
  std::map<KeyDigest, const Customer*> owners;
  for (size_t n = 0; n < manifest.customers.size(); ++n) {
    const Customer& customer = manifest.customers[n];
    const std::string name = Quoted(customer.id.str());
    faults.BeginItem(ManifestItem::kCustomer, n, "a customer");
    faults.AddIf(customer.id.empty(), ManifestField::kName,
                 " must have a name");
    if (!names.insert(customer.id).second) {
      faults.Add(ManifestField::kName, "two customers are both named " + name);
    }
    // One finding for each pair of customers is enough.
    std::set<const Customer*> others;
    for (const KeyDigest& key : customer.keys) {
      const auto [it, is_new] = owners.emplace(key, &customer);
      if (!is_new && it->second != &customer &&
          others.insert(it->second).second) {
        faults.Add(ManifestField::kKeys, "the customers " +
                                             Quoted(it->second->id.str()) +
                                             " and " + name + " share a key");
      }
    }
  }
}

}  // namespace

ManifestFindings FaultsOf(const Manifest& manifest) {
  FaultList faults;
  if (manifest.version == 0) {
    faults.Add(ManifestField::kVersion,
               "the manifest version must be greater than 0");
  }
  AddFaultsOfQueues(manifest, faults);
  AddFaultsOfCustomers(manifest, faults);
  return faults.Take();
}

std::string FaultOf(const Manifest& manifest) {
  const ManifestFindings faults = FaultsOf(manifest);
  return faults.empty() ? "" : faults.front().text;
}

}  // namespace sassafras::jobs
