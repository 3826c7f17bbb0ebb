// Applies updates and packed manifests to an entry's copy.

#include "entry_manifest.h"

#include <chrono>
#include <utility>

#include "packed_manifest.h"
#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

}  // namespace

EntryManifest::EntryManifest(size_t seed, telemetry::Metrics& metrics)
    : version_(metrics.GetGauge("sassafras_manifest_version",
                                "Version of this entry's copy of the "
                                "manifest; 0 before the first.")),
      bytes_fetched_(
          metrics.GetCounter("sassafras_manifest_bytes_fetched_total",
                             "Compressed bytes of updates that arrived.")),
      requests_failed_(metrics.GetCounter(
          "sassafras_manifest_requests_failed_total",
          "Requests for a piece that got no answer or no piece.")),
      updates_corrupt_(metrics.GetCounter(
          "sassafras_manifest_updates_corrupt_total",
          "Updates that didn't match their checksum or couldn't be decoded.")),
      fetcher_(seed) {}

void EntryManifest::OnHelloReply(const HelloReply& reply,
                                 base::Instant sent_at,
                                 base::Duration suspended) {
  fetcher_.OnNewest(reply.newest_version);
  if (reply.newest_version == 0) {
    UsePackedManifest(reply);
    return;
  }
  if (reply.confirmed_age_us >= 0) {
    proofs_.Add({reply.newest_version, sent_at, suspended,
                 std::chrono::microseconds(reply.confirmed_age_us)});
  }
}

// Of a leader of an earlier version of the program. It names no customers, so a
// whole manifest is fetched once a later one leads.
void EntryManifest::UsePackedManifest(const HelloReply& reply) {
  if (reply.packed_version <= index_.version()) {
    return;
  }
  const auto manifest = UnpackManifest(reply.packed_manifest);
  if (!manifest || manifest->version <= index_.version()) {
    return;
  }
  Decision("manifest").With("version", manifest->version).Write();
  index_.Assign(*manifest);
  OnCopy(false);
}

void EntryManifest::OnPiece(const ManifestFetcher::Request& request,
                            const ManifestPiece& piece,
                            base::Instant now) {
  FetchReason why;
  const auto update = fetcher_.OnPiece(piece, now, why);
  bytes_fetched_.Add(piece.bytes.size());
  if (update && index_.Apply(*update)) {
    Decision("manifest")
        .With("version", update->version)
        .With("base", update->base)
        .With("bytes", piece.size)
        .Write();
    OnCopy(true);
    return;
  }
  if (why.code == FetchError::kCorrupt) {
    updates_corrupt_.Add();
    Decision("manifest-corrupt")
        .With("host", request.host)
        .With("base", piece.base)
        .With("version", piece.version)
        .With("offset", piece.offset)
        .With("reason", why.message)
        .Write();
  } else if (why.code == FetchError::kUnavailable) {
    requests_failed_.Add();
  }
}

void EntryManifest::OnFetchFailure(const ManifestFetcher::Request& request,
                                   std::string_view reason,
                                   base::Instant now) {
  fetcher_.OnFailure(now);
  requests_failed_.Add();
  Decision("manifest-piece-failed")
      .With("host", request.host)
      .With("version", request.fetch.version)
      .With("offset", request.fetch.offset)
      .With("reason", reason)
      .Write();
}

void EntryManifest::OnCopy(bool is_complete) {
  fetcher_.OnCopy(index_.version(), is_complete);
  proofs_.OnCopy(is_complete ? index_.version() : 0);
  version_.Set(static_cast<double>(index_.version()));
}

// An entry that is behind routes by what its copy contains.
RouteResult EntryManifest::Route(std::string_view host,
                                 std::string_view path,
                                 base::Instant now,
                                 base::Duration suspended,
                                 base::Duration limit) const {
  using enum CallOutcome;
  if (const jobs::Queue* queue = index_.Route(host, path)) {
    return {kOk, queue};
  }
  return {IsNewest(now, suspended, limit) ? kNoQueue : kUnavailable};
}

bool EntryManifest::IsNewest(base::Instant now,
                             base::Duration suspended,
                             base::Duration limit) const {
  const auto& proof = proofs_.of_copy();
  return proof && !fetcher_.IsBehind() && proof->AgeAt(now, suspended) < limit;
}

}  // namespace sassafras::jobcontrol
