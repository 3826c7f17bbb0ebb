// How an entry knows that its copy of the manifest is the newest one.

#ifndef JOBCONTROL_MANIFEST_PROOF_H_
#define JOBCONTROL_MANIFEST_PROOF_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace sassafras::jobcontrol {

// At the instant `sent_at - age` of the entry's clock, or later, a leader was
// the newest one and had no manifest newer than `version`.
struct ManifestProof {
  uint64_t version = 0;
  base::Instant sent_at;       // when the entry sent its hello
  base::Duration suspended{};  // kernel::SuspendedTime() at that moment
  // From the leader's last confirmed instant to its reply.
  base::Duration age{};

  // Returns that instant, on a clock that counts suspensions.
  base::Instant At() const { return sent_at + suspended - age; }
  // Returns how long ago that instant was at most. `suspended_now` is
  // kernel::SuspendedTime(), as the monotonic clock doesn't count that time.
  base::Duration AgeAt(base::Instant now, base::Duration suspended_now) const {
    return (now - sent_at) + age + (suspended_now - suspended);
  }
};

// The proofs of one entry. Not thread-safe.
class ManifestProofs {
 public:
  // A leader's reply proves something.
  void Add(const ManifestProof& proof);
  // The copy has this version from now on; 0 if there is none, or if it isn't
  // complete, so that nothing is proved by what it lacks.
  void OnCopy(uint64_t copy_version);

  // The last proof, whichever version the copy has.
  const std::optional<ManifestProof>& last() const { return last_; }
  // The proof of the latest instant at which the copy was the newest manifest.
  // An earlier leader may reply after a later one.
  const std::optional<ManifestProof>& of_copy() const { return of_copy_; }

 private:
  void Update();

  uint64_t copy_version_ = 0;
  std::optional<ManifestProof> last_;
  std::optional<ManifestProof> of_copy_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MANIFEST_PROOF_H_
