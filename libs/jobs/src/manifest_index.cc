// Finds queues by name and by route, and customers by name and by key.

#include "jobs/manifest_index.h"

#include <algorithm>
#include <cstring>
#include <tuple>

namespace sassafras::jobs {

// A digest is spread evenly by itself.
size_t ManifestIndex::KeyHash::operator()(const KeyDigest& key) const {
  size_t hash = 0;
  static_assert(sizeof(hash) <= KeyDigest::kSize);
  std::memcpy(&hash, key.bytes.data(), sizeof(hash));
  return hash;
}

void ManifestIndex::Clear() {
  queues_.clear();
  hosts_.clear();
  services_.clear();
  customers_.clear();
  keys_.clear();
}

void ManifestIndex::Assign(const Manifest& manifest) {
  Clear();
  version_ = manifest.version;
  limits_ = manifest.limits;
  services_.insert(manifest.services.begin(), manifest.services.end());
  std::ranges::for_each(manifest.queues, [this](auto& it) { AddQueue(it); });
  std::ranges::for_each(manifest.customers,
                        [this](auto& it) { AddCustomer(it); });
}

// Removals come first, and a changed queue is removed as well, because routes
// and keys may move from one owner to another.
bool ManifestIndex::Apply(const ManifestUpdate& update) {
  if (update.base != 0 && update.base != version_) {
    return false;
  }
  if (update.base == 0) {
    Clear();
  }
  version_ = update.version;
  limits_ = update.limits;
  for (const QueueId& it : update.removed_queues) {
    RemoveQueue(it);
  }
  for (const Queue& it : update.queues) {
    RemoveQueue(it.id);
  }
  std::ranges::for_each(update.queues, [this](auto& it) { AddQueue(it); });
  for (const wire::ServiceId& it : update.removed_services) {
    services_.erase(it);
  }
  services_.insert(update.services.begin(), update.services.end());
  for (const CustomerId& it : update.removed_customers) {
    customers_.erase(it);
  }
  for (const KeyDigest& it : update.removed_keys) {
    keys_.erase(it);
  }
  std::ranges::for_each(update.customers,
                        [this](auto& it) { AddCustomer(it); });
  return true;
}

void ManifestIndex::AddQueue(const Queue& queue) {
  const auto [it, is_new] = queues_.try_emplace(queue.id, queue);
  if (!is_new) {
    return;  // invalid: two queues with one name
  }
  auto& [by_prefix, lengths] = hosts_[queue.host];
  if (by_prefix.try_emplace(queue.path_prefix, &it->second).second) {
    ++lengths[queue.path_prefix.size()];
  }
}

void ManifestIndex::RemoveQueue(const QueueId& id) {
  const auto queue = queues_.find(id);
  if (queue == queues_.end()) {
    return;
  }
  const auto& [host, path_prefix] =
      std::tie(queue->second.host, queue->second.path_prefix);
  if (FindQueueAt(host, path_prefix) == &queue->second) {
    const auto routes = hosts_.find(host);
    auto& [by_prefix, lengths] = routes->second;
    const auto length = lengths.find(path_prefix.size());
    if (--length->second == 0) {
      lengths.erase(length);
    }
    by_prefix.erase(path_prefix);
    if (by_prefix.empty()) {
      hosts_.erase(routes);
    }
  }
  queues_.erase(queue);
}

void ManifestIndex::AddCustomer(const Customer& customer) {
  Customer& known = customers_[customer.id];
  known = {customer.id, customer.weight, customer.priority, customer.cap, {}};
  for (const KeyDigest& key : customer.keys) {
    keys_.insert_or_assign(key, customer.id);
  }
}

const Queue* ManifestIndex::FindQueue(const QueueId& id) const {
  const auto it = queues_.find(id);
  return it == queues_.end() ? nullptr : &it->second;
}

const Queue* ManifestIndex::FindQueueAt(std::string_view host,
                                        std::string_view path_prefix) const {
  const auto routes = hosts_.find(host);
  if (routes == hosts_.end()) {
    return nullptr;
  }
  const auto it = routes->second.by_prefix.find(path_prefix);
  return it == routes->second.by_prefix.end() ? nullptr : it->second;
}

const Queue* ManifestIndex::Route(std::string_view host,
                                  std::string_view path) const {
  const auto routes = hosts_.find(host);
  if (routes == hosts_.end()) {
    return nullptr;
  }
  const auto& [by_prefix, lengths] = routes->second;
  for (auto it = lengths.lower_bound(path.size()); it != lengths.end(); ++it) {
    const auto route = by_prefix.find(path.substr(0, it->first));
    if (route != by_prefix.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const Customer* ManifestIndex::FindCustomer(const CustomerId& id) const {
  const auto it = customers_.find(id);
  return it == customers_.end() ? nullptr : &it->second;
}

const Customer* ManifestIndex::FindCustomerWith(const KeyDigest& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : FindCustomer(it->second);
}

}  // namespace sassafras::jobs
