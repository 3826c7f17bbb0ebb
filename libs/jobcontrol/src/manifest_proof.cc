// Keeps the last proofs of an entry.

#include "jobcontrol/manifest_proof.h"

namespace sassafras::jobcontrol {

void ManifestProofs::Add(const ManifestProof& proof) {
  last_ = proof;
  Update();
}

void ManifestProofs::OnCopy(uint64_t copy_version) {
  copy_version_ = copy_version;
  if (copy_version_ == 0) {
    of_copy_.reset();
  }
  Update();
}

// A leader that had no newer manifest than `last_` says had none newer than a
// copy of that or a later version.
void ManifestProofs::Update() {
  const bool is_of_copy =
      last_ && copy_version_ != 0 && last_->version <= copy_version_;
  if (is_of_copy && (!of_copy_ || of_copy_->At() < last_->At())) {
    of_copy_ = last_;
  }
}

}  // namespace sassafras::jobcontrol
