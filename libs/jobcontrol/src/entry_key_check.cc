// Compares the age of the entry's last proof with the lease to serve keys.

#include "entry_key_check.h"

namespace sassafras::jobcontrol {

bool EntryKeyCheck::HoldsLease(const ManifestProofs& proofs,
                               base::Instant now,
                               base::Duration suspended) const {
  const auto& proof = proofs.of_copy();
  return proof && proof->AgeAt(now, suspended) < lease_;
}

KeyDecision EntryKeyCheck::Decide(const EntryManifest& manifest,
                                  const jobs::Queue& queue,
                                  const std::optional<jobs::KeyDigest>& key,
                                  base::Instant now,
                                  base::Duration suspended) const {
  using enum KeyVerdict;
  if (!manifest.index().HasCustomers() || (!key && queue.is_open)) {
    return {kServed, {}, nullptr};
  }
  const jobs::Customer* customer =
      key ? manifest.index().FindCustomerWith(*key) : nullptr;
  if (key && !HoldsLease(manifest.proofs(), now, suspended)) {
    return {kUnavailable, "no-lease", customer};
  }
  if (customer != nullptr) {
    return {kServed, {}, customer};
  }
  // A newer manifest may contain the key, or open the queue.
  if (!manifest.IsNewest(now, suspended, manifest_limit_)) {
    return {kUnavailable, "not-newest", nullptr};
  }
  return {kUnauthenticated, key ? "unknown-key" : "no-key", nullptr};
}

}  // namespace sassafras::jobcontrol
