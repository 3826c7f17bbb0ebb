// Updates of the manifest as bytes: CBOR, compressed with zlib.

#ifndef JOBCONTROL_SRC_MANIFEST_CODEC_H_
#define JOBCONTROL_SRC_MANIFEST_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/manifest_update.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {

// Bound of an update, compressed or not. 100,000 queues are about 25 MB.
inline constexpr size_t kMaxUpdateBytes = 64 << 20;

// Programs of one version return the same bytes for the same update.
std::string EncodeUpdate(const jobs::ManifestUpdate& update);
std::optional<jobs::ManifestUpdate> DecodeUpdate(std::string_view bytes,
                                                 wire::CodecReason& why);
// Returns the CRC-32 of the bytes.
uint32_t ChecksumOf(std::string_view bytes);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_MANIFEST_CODEC_H_
