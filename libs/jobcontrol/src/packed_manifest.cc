// Encodes and decodes manifests for entries.

#include "packed_manifest.h"

#include "telemetry/log.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {

const std::string& PackedManifest::Pack(const jobs::Manifest& manifest) {
  if (version_ != manifest.version) {
    jobs::Manifest without_text;
    without_text.version = manifest.version;
    without_text.queues = manifest.queues;
    without_text.services = manifest.services;
    bytes_ = wire::EncodeCbor(without_text);
    version_ = manifest.version;
  }
  return bytes_;
}

std::optional<jobs::Manifest> UnpackManifest(std::string_view bytes) {
  wire::CodecReason why;
  auto manifest = wire::DecodeCbor<jobs::Manifest>(bytes, why);
  if (!manifest) {
    telemetry::Log(telemetry::LogLevel::kWarning,
                   "ignored a manifest of the leader that cannot be decoded: " +
                       why.message);
  }
  return manifest;
}

}  // namespace sassafras::jobcontrol
