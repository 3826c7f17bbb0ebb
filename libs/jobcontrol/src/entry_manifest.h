// An entry's copy of the manifest, and what proves that it is the newest one.

#ifndef JOBCONTROL_SRC_ENTRY_MANIFEST_H_
#define JOBCONTROL_SRC_ENTRY_MANIFEST_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobcontrol/entry_node.h"
#include "jobcontrol/manifest_proof.h"
#include "jobcontrol/messages.h"
#include "jobs/manifest_index.h"
#include "manifest_fetcher.h"
#include "telemetry/metrics.h"

namespace sassafras::jobcontrol {

// Has no I/O and no clock; EntryNode sends its requests. Not thread-safe.
class EntryManifest {
 public:
  // `seed` spreads the requests of the entries over the control hosts.
  EntryManifest(size_t seed, telemetry::Metrics& metrics);

  const jobs::ManifestIndex& index() const { return index_; }
  const ManifestProofs& proofs() const { return proofs_; }

  // See ManifestFetcher.
  void SetHosts(std::vector<wire::EntryId> hosts) {
    fetcher_.SetHosts(std::move(hosts));
  }
  std::optional<base::Instant> NextRequestAt() const {
    return fetcher_.NextRequestAt();
  }
  std::optional<ManifestFetcher::Request> NextRequest(base::Instant now) {
    return fetcher_.NextRequest(now);
  }

  // The leader answered the hello that was sent at `sent_at`, when the machine
  // had been suspended for `suspended`.
  void OnHelloReply(const HelloReply& reply,
                    base::Instant sent_at,
                    base::Duration suspended);
  void OnPiece(const ManifestFetcher::Request& request,
               const ManifestPiece& piece,
               base::Instant now);
  void OnFetchFailure(const ManifestFetcher::Request& request,
                      std::string_view reason,
                      base::Instant now);

  // Finds the queue that serves a request. See IsNewest() for the others.
  RouteResult Route(std::string_view host,
                    std::string_view path,
                    base::Instant now,
                    base::Duration suspended,
                    base::Duration limit) const;
  // Whether the copy was proved to be the newest manifest less than `limit`
  // ago, and no newer one is known. What such a copy doesn't contain doesn't
  // exist.
  bool IsNewest(base::Instant now,
                base::Duration suspended,
                base::Duration limit) const;

 private:
  void UsePackedManifest(const HelloReply& reply);
  void OnCopy(bool is_complete);

  telemetry::Gauge& version_;
  telemetry::Counter& bytes_fetched_;
  telemetry::Counter& requests_failed_;
  telemetry::Counter& updates_corrupt_;
  jobs::ManifestIndex index_;  // its version never decreases
  ManifestFetcher fetcher_;
  ManifestProofs proofs_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_ENTRY_MANIFEST_H_
