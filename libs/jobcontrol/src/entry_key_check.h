// Decides at an entry whether a call may be passed on to the leader, by the key
// that its caller gave.

#ifndef JOBCONTROL_SRC_ENTRY_KEY_CHECK_H_
#define JOBCONTROL_SRC_ENTRY_KEY_CHECK_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "entry_manifest.h"
#include "jobs/customer.h"
#include "jobs/manifest.h"

namespace sassafras::jobcontrol {

enum class KeyVerdict {
  kServed,
  kUnauthenticated,  // the caller needs a key, or another one
  kUnavailable,      // that can't be said now
};

struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kUnavailable;
  std::string_view reason;  // a literal; empty for kServed
  // Whose key was given; null without a known key. Valid until the copy of the
  // manifest changes.
  const jobs::Customer* customer = nullptr;
};

// Has no I/O and no clock.
class EntryKeyCheck {
 public:
  // The time after the acknowledgement of a manifest from which no entry serves
  // a key that it removed, and that within which each entry acts by it.
  EntryKeyCheck(base::Duration revoke_limit, base::Duration manifest_limit)
      : lease_(revoke_limit * kLeasePercent / 100),
        manifest_limit_(manifest_limit) {}

  // Decides about a call on a queue of the copy. `now` and `suspended` are
  // kernel::MonotonicNow() and kernel::SuspendedTime(), read after the whole
  // request.
  KeyDecision Decide(const EntryManifest& manifest,
                     const jobs::Queue& queue,
                     const std::optional<jobs::KeyDigest>& key,
                     base::Instant now,
                     base::Duration suspended) const;

  // Whether keys of the copy may be served. The permission is a lease: a leader
  // that had been the newest, and had no newer manifest than the copy, at the
  // instant of the last proof, acknowledges the removal of a key of the copy
  // later than that instant.
  bool HoldsLease(const ManifestProofs& proofs,
                  base::Instant now,
                  base::Duration suspended) const;

 private:
  // Of the revocation limit. The rest allows for clocks that differ in speed,
  // and for suspensions too short to be noticed.
  static constexpr int kLeasePercent = 80;

  const base::Duration lease_;
  const base::Duration manifest_limit_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_ENTRY_KEY_CHECK_H_
