// The items of a manifest, found at a cost that doesn't depend on their number.

#ifndef JOBS_MANIFEST_INDEX_H_
#define JOBS_MANIFEST_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "jobs/customer.h"
#include "jobs/manifest.h"
#include "jobs/manifest_update.h"

namespace sassafras::jobs {

// Holds its own copy of the items. Returned pointers are valid until the next
// Assign() or Apply(). Not thread-safe.
class ManifestIndex {
 public:
  ManifestIndex() = default;
  ManifestIndex(const ManifestIndex&) = delete;
  ManifestIndex& operator=(const ManifestIndex&) = delete;
  ManifestIndex(ManifestIndex&&) = default;
  ManifestIndex& operator=(ManifestIndex&&) = default;

  // Replaces all items by those of a valid manifest.
  void Assign(const Manifest& manifest);
  // Applies what has changed, at a cost that depends on the number of changes
  // only. Returns false and changes nothing if the update needs another base
  // than the current version.
  bool Apply(const ManifestUpdate& update);

  uint64_t version() const { return version_; }  // 0 if there is none
  const RequestLimits& limits() const { return limits_; }
  // Where there are no customers, callers need no keys.
  bool HasCustomers() const { return !customers_.empty(); }
  bool HasService(const wire::ServiceId& id) const {
    return services_.contains(id);
  }

  // All return null if there is no such item.
  const Queue* FindQueue(const QueueId& id) const;
  // Returns the queue with exactly this host and path prefix.
  const Queue* FindQueueAt(std::string_view host,
                           std::string_view path_prefix) const;
  // Returns the queue with the host `host` and the longest prefix of `path`.
  const Queue* Route(std::string_view host, std::string_view path) const;
  // Customers are returned without their keys.
  const Customer* FindCustomer(const CustomerId& id) const;
  // Compares digests in a time that doesn't depend on their bytes.
  const Customer* FindCustomerWith(const KeyDigest& key) const;

 private:
  // Lets maps be searched by views of their keys.
  struct TextHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename Value>
  using TextMap =
      std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;
  struct KeyHash {
    size_t operator()(const KeyDigest& key) const;
  };
  struct KeyEqual {
    bool operator()(const KeyDigest& left, const KeyDigest& right) const {
      return IsSameKey(left, right);
    }
  };
  // Queues of one host. Operators use few lengths of prefixes, so a request
  // needs few lookups.
  struct HostRoutes {
    TextMap<const Queue*> by_prefix;  // points into `queues_`
    // Number of prefixes by length, the longest first.
    std::map<size_t, size_t, std::greater<>> lengths;
  };

  void Clear();
  void AddQueue(const Queue& queue);
  void RemoveQueue(const QueueId& id);
  void AddCustomer(const Customer& customer);

  uint64_t version_ = 0;
  RequestLimits limits_;
  std::unordered_map<QueueId, Queue> queues_;
  TextMap<HostRoutes> hosts_;
  std::unordered_set<wire::ServiceId> services_;
  std::unordered_map<CustomerId, Customer> customers_;  // without their keys
  std::unordered_map<KeyDigest, CustomerId, KeyHash, KeyEqual> keys_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_INDEX_H_
