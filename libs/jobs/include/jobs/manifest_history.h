// Remembers which version of the manifest changed what, so that entries that
// hold an earlier version need only what has changed since.

#ifndef JOBS_MANIFEST_HISTORY_H_
#define JOBS_MANIFEST_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <variant>

#include "jobs/customer.h"
#include "jobs/manifest.h"
#include "jobs/manifest_update.h"
#include "jobs/versioned_items.h"

namespace sassafras::jobs {

// Replicas that recorded the same manifests since the version `base` return the
// same updates for it, with their items in the same order. Not thread-safe.
class ManifestHistory {
 public:
  // Changes, removals and versions remembered, as memory must not grow with the
  // number of changes. Beyond that the oldest versions are forgotten.
  static constexpr size_t kMaxChanges = 100'000;

  // Forgets all earlier versions; `manifest` is the only one known. Must be
  // used where versions in between may be missing, as after a snapshot.
  void Reset(const Manifest& manifest);
  // Records the next version. Ignores a manifest whose version isn't higher
  // than the last one.
  void Record(const Manifest& manifest);

  uint64_t version() const { return version_; }  // 0 if there is none
  // Whether the changes since this version are known.
  bool Knows(uint64_t version) const { return versions_.contains(version); }
  // Returns what has changed since `base`, or the whole manifest if that isn't
  // known; ManifestUpdate::base tells which.
  ManifestUpdate UpdateSince(uint64_t base) const;

 private:
  void Assign(const Manifest& manifest);
  void ForgetOldest();
  size_t ChangeCount() const;
  ManifestUpdate Whole() const;

  uint64_t version_ = 0;
  std::set<uint64_t> versions_;  // recorded and not forgotten
  VersionedItems<QueueId, Queue> queues_;
  VersionedItems<wire::ServiceId, std::monostate> services_;
  VersionedItems<CustomerId, Customer> customers_;  // without their keys
  VersionedItems<KeyDigest, CustomerId> keys_;
  RequestLimits limits_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_HISTORY_H_
