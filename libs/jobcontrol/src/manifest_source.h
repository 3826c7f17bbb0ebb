// Serves updates of the manifest to entries, in pieces, on every control host.

#ifndef JOBCONTROL_SRC_MANIFEST_SOURCE_H_
#define JOBCONTROL_SRC_MANIFEST_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

#include "jobcontrol/messages.h"
#include "jobs/manifest_history.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Computes, encodes and compresses an update once, however many entries fetch
// it. Hosts that have applied the same version serve the same bytes for the
// same base, so that a transfer can go on at another host. Not thread-safe.
class ManifestSource {
 public:
  // Of a piece. A piece holds up an entry's other traffic for at most 90 ms on
  // a link of 1.5 Mbit/s.
  static constexpr size_t kPieceBytes = 16 << 10;
  // Updates that are kept. Two are in use after a change, for the entries that
  // have the version before and for those that start; the others are those of
  // transfers that began before it.
  static constexpr size_t kKeptUpdates = 4;

  explicit ManifestSource(telemetry::Metrics& metrics);

  // Forgets all earlier versions, as after a snapshot, which may skip some.
  void Reset(const jobs::Manifest& manifest);
  // The table has applied this manifest. Ignores one that isn't newer.
  void OnManifest(const jobs::Manifest& manifest);
  ManifestPiece Serve(const ManifestFetch& fetch);

 private:
  struct Update {
    uint64_t base = 0;
    uint64_t version = 0;
    uint32_t checksum = 0;
    std::string bytes;
  };

  // Returns the update if it is kept or can be computed, null otherwise.
  const Update* Find(uint64_t base, uint64_t version);
  const Update& Compute(uint64_t base);

  telemetry::Counter& updates_computed_;
  telemetry::Counter& pieces_served_;
  jobs::ManifestHistory history_;
  std::list<Update> updates_;  // the one used last comes first
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_MANIFEST_SOURCE_H_
