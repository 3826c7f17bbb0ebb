// Assembles updates from pieces, and goes from host to host after failures.

#include "manifest_fetcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "manifest_codec.h"
#include "manifest_source.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kPieceTimeout = std::chrono::seconds(1);
constexpr uint64_t kMinBytesPerSecond = 16 << 10;
// Pause once each host has failed, and after a corrupt update. It doubles up to
// the maximum, so that a lasting fault doesn't fill the entry's link.
constexpr base::Duration kMinPause = std::chrono::milliseconds(50);
constexpr base::Duration kMaxPause = std::chrono::milliseconds(1000);

base::Duration TimeoutOf(uint64_t bytes) {
  return kPieceTimeout + std::chrono::microseconds(std::chrono::seconds(1)) *
                             bytes / kMinBytesPerSecond;
}

}  // namespace

void ManifestFetcher::SetHosts(std::vector<wire::EntryId> hosts) {
  if (hosts.empty() || hosts == hosts_) {
    return;
  }
  const wire::EntryId current =
      hosts_.empty() ? wire::EntryId() : hosts_[host_];
  hosts_ = std::move(hosts);
  const auto it = std::ranges::find(hosts_, current);
  host_ = it == hosts_.end() ? seed_ % hosts_.size()
                             : static_cast<size_t>(it - hosts_.begin());
}

void ManifestFetcher::OnNewest(uint64_t version) {
  newest_version_ = version;
}

void ManifestFetcher::OnCopy(uint64_t version, bool is_complete) {
  copy_version_ = version;
  needs_whole_ = !is_complete;
  transfer_.reset();
  ignores_reply_ = is_open_;
}

bool ManifestFetcher::IsBehind() const {
  return newest_version_ > copy_version_ ||
         (needs_whole_ && newest_version_ != 0);
}

std::optional<base::Instant> ManifestFetcher::NextRequestAt() const {
  const bool is_needed = transfer_ || IsBehind();
  return is_needed && !is_open_ && !hosts_.empty() ? std::optional(retry_at_)
                                                   : std::nullopt;
}

std::optional<ManifestFetcher::Request> ManifestFetcher::NextRequest(
    base::Instant now) {
  const auto at = NextRequestAt();
  if (!at || now < *at) {
    return std::nullopt;
  }
  Request request;
  request.host = hosts_[host_];
  uint64_t n = ManifestSource::kPieceBytes;
  if (transfer_) {
    request.fetch = {transfer_->base, transfer_->version,
                     transfer_->bytes.size()};
    n = std::min<uint64_t>(n, transfer_->size - transfer_->bytes.size());
  } else {
    request.fetch = {needs_whole_ ? 0 : copy_version_, newest_version_, 0};
  }
  request.timeout = TimeoutOf(n);
  is_open_ = true;
  ignores_reply_ = false;
  return request;
}

bool ManifestFetcher::CanBegin(const ManifestPiece& piece) const {
  const bool is_newer = piece.version > copy_version_ ||
                        (needs_whole_ && piece.version == copy_version_);
  const bool fits =
      piece.base == 0 || (!needs_whole_ && piece.base == copy_version_);
  return piece.offset == 0 && is_newer && fits && piece.size > 0 &&
         piece.size <= kMaxUpdateBytes;
}

bool ManifestFetcher::Continues(const ManifestPiece& piece) const {
  return piece.base == transfer_->base && piece.version == transfer_->version &&
         piece.size == transfer_->size &&
         piece.checksum == transfer_->checksum &&
         piece.offset == transfer_->bytes.size();
}

std::optional<jobs::ManifestUpdate> ManifestFetcher::OnPiece(
    const ManifestPiece& piece,
    base::Instant now,
    FetchReason& why) {
  why = {};
  is_open_ = false;
  if (std::exchange(ignores_reply_, false)) {
    return std::nullopt;
  }
  if (piece.status != PieceStatus::kOk) {
    is_gone_ |= piece.status == PieceStatus::kGone;
    why.Set(FetchError::kUnavailable,
            piece.status == PieceStatus::kGone
                ? "the host doesn't have the update"
                : "the host hasn't applied the version");
    UseNextHost(now);
    return std::nullopt;
  }
  const bool fits = transfer_ ? Continues(piece) : CanBegin(piece);
  const uint64_t begun = transfer_ ? transfer_->bytes.size() : 0;
  if (!fits || piece.bytes.empty() || piece.bytes.size() > piece.size - begun) {
    why.Set(FetchError::kCorrupt, "the piece isn't one of the update");
    Restart(now);
    return std::nullopt;
  }
  if (!transfer_) {
    transfer_ =
        Transfer{piece.base, piece.version, piece.size, piece.checksum, ""};
  }
  transfer_->bytes += piece.bytes;
  failures_ = 0;
  is_gone_ = false;
  if (transfer_->bytes.size() < transfer_->size) {
    return std::nullopt;
  }
  auto update = Finish(why);
  if (!update) {
    Restart(now);
    return std::nullopt;
  }
  transfer_.reset();
  pause_ = {};
  return update;
}

std::optional<jobs::ManifestUpdate> ManifestFetcher::Finish(FetchReason& why) {
  if (ChecksumOf(transfer_->bytes) != transfer_->checksum) {
    why.Set(FetchError::kCorrupt, "the checksum of the update doesn't match");
    return std::nullopt;
  }
  wire::CodecReason codec_why;
  auto update = DecodeUpdate(transfer_->bytes, codec_why);
  if (!update) {
    why.Set(FetchError::kCorrupt, codec_why.message);
    return std::nullopt;
  }
  if (update->base != transfer_->base ||
      update->version != transfer_->version) {
    why.Set(FetchError::kCorrupt, "the update is another one");
    return std::nullopt;
  }
  return update;
}

void ManifestFetcher::OnFailure(base::Instant now) {
  is_open_ = false;
  if (!std::exchange(ignores_reply_, false)) {
    UseNextHost(now);
  }
}

// Hosts that don't have the update will not have it later, so the transfer is
// given up once no host has continued it. Hosts that are only silent may be
// asked again.
void ManifestFetcher::UseNextHost(base::Instant now) {
  host_ = (host_ + 1) % hosts_.size();
  ++failures_;
  if (failures_ % hosts_.size() != 0) {
    return;
  }
  if (std::exchange(is_gone_, false)) {
    transfer_.reset();
  }
  pause_ = std::clamp(2 * pause_, kMinPause, kMaxPause);
  retry_at_ = now + pause_;
}

void ManifestFetcher::Restart(base::Instant now) {
  transfer_.reset();
  needs_whole_ = true;
  host_ = (host_ + 1) % hosts_.size();
  pause_ = std::clamp(2 * pause_, kMinPause, kMaxPause);
  retry_at_ = now + pause_;
}

}  // namespace sassafras::jobcontrol
