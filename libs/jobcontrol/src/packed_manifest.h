// Keeps the encoded manifest that entries get from the leader, so that a large
// one is encoded once and not for each of them.

#ifndef JOBCONTROL_SRC_PACKED_MANIFEST_H_
#define JOBCONTROL_SRC_PACKED_MANIFEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/manifest.h"

namespace sassafras::jobcontrol {

class PackedManifest {
 public:
  // Returns the encoded manifest without the operator's text. The reference is
  // valid until the call with another version.
  const std::string& Pack(const jobs::Manifest& manifest);

 private:
  uint64_t version_ = 0;  // of `bytes_`; 0 before the first
  std::string bytes_;
};

// Returns nullopt, after a line in the log, if the bytes can't be decoded.
std::optional<jobs::Manifest> UnpackManifest(std::string_view bytes);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_PACKED_MANIFEST_H_
