// Chooses the update that a request is about, and cuts it into pieces.

#include "manifest_source.h"

#include <algorithm>
#include <iterator>

#include "manifest_codec.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {

ManifestSource::ManifestSource(telemetry::Metrics& metrics)
    : updates_computed_(metrics.GetCounter(
          "sassafras_manifest_updates_computed_total",
          "Updates of the manifest computed and compressed for entries.")),
      pieces_served_(
          metrics.GetCounter("sassafras_manifest_pieces_served_total",
                             "Pieces of updates sent to entries.")) {}

void ManifestSource::Reset(const jobs::Manifest& manifest) {
  history_.Reset(manifest);
}

void ManifestSource::OnManifest(const jobs::Manifest& manifest) {
  history_.Record(manifest);
}

ManifestPiece ManifestSource::Serve(const ManifestFetch& fetch) {
  ManifestPiece piece;
  piece.offset = fetch.offset;
  const bool is_start = fetch.offset == 0;
  const uint64_t newest = history_.version();
  if (newest == 0 || newest < fetch.version ||
      (is_start && newest <= fetch.base)) {
    piece.status = PieceStatus::kBehind;
    return piece;
  }
  const uint64_t base =
      is_start && !history_.Knows(fetch.base) ? 0 : fetch.base;
  const Update* update = Find(base, is_start ? newest : fetch.version);
  if (update == nullptr || fetch.offset >= update->bytes.size()) {
    piece.status = PieceStatus::kGone;
    return piece;
  }
  piece.status = PieceStatus::kOk;
  piece.base = update->base;
  piece.version = update->version;
  piece.size = update->bytes.size();
  piece.checksum = update->checksum;
  piece.bytes = update->bytes.substr(fetch.offset, kPieceBytes);
  pieces_served_.Add();
  return piece;
}

const ManifestSource::Update* ManifestSource::Find(uint64_t base,
                                                   uint64_t version) {
  const auto it = std::ranges::find_if(updates_, [&](const Update& update) {
    return update.base == base && update.version == version;
  });
  if (it != updates_.end()) {
    updates_.splice(updates_.begin(), updates_, it);
    return &updates_.front();
  }
  const bool can_compute =
      version == history_.version() && (base == 0 || history_.Knows(base));
  return can_compute ? &Compute(base) : nullptr;
}

const ManifestSource::Update& ManifestSource::Compute(uint64_t base) {
  Update update;
  update.base = base;
  update.version = history_.version();
  update.bytes = EncodeUpdate(history_.UpdateSince(base));
  update.checksum = ChecksumOf(update.bytes);
  updates_computed_.Add();
  telemetry::Decision("manifest-update")
      .With("base", update.base)
      .With("version", update.version)
      .With("bytes", update.bytes.size())
      .Write();
  updates_.push_front(std::move(update));
  updates_.resize(std::min(updates_.size(), kKeptUpdates));
  return updates_.front();
}

}  // namespace sassafras::jobcontrol
