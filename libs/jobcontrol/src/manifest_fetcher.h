// Decides what an entry requests next to bring its copy of the manifest up to
// date, and from which control host.

#ifndef JOBCONTROL_SRC_MANIFEST_FETCHER_H_
#define JOBCONTROL_SRC_MANIFEST_FETCHER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/time.h"
#include "jobcontrol/messages.h"
#include "jobs/manifest_update.h"
#include "wire/ids.h"

namespace sassafras::jobcontrol {

enum class FetchError {
  kNone,
  kUnavailable,  // the host doesn't have the update or the piece
  kCorrupt,      // pieces of different updates, or bytes that can't be decoded
};
using FetchReason = base::Reason<FetchError>;

// At most one request is open at a time, for one piece of one update. Has no
// I/O and no clock. Not thread-safe.
class ManifestFetcher {
 public:
  struct Request {
    wire::EntryId host;
    ManifestFetch fetch;
    // Allows for a link that carries 16 KiB/s beside the entry's other traffic.
    base::Duration timeout{};
  };

  // `seed` selects the first host, so that entries use different ones.
  explicit ManifestFetcher(size_t seed) : seed_(seed) {}

  // Sets the control hosts that may be asked. An empty list changes nothing.
  void SetHosts(std::vector<wire::EntryId> hosts);
  // The leader's manifest has this version; 0 if that isn't known.
  void OnNewest(uint64_t version);
  // The entry's copy has this version from now on. A copy that isn't complete
  // is replaced by a whole manifest, also if that has the same version.
  void OnCopy(uint64_t version, bool is_complete);

  // Returns when the next request is due if nothing arrives before: at once, or
  // after a pause that follows failures. Nullopt if a request is open or
  // nothing is needed.
  std::optional<base::Instant> NextRequestAt() const;
  // Returns the request that is due, which is open from now on.
  std::optional<Request> NextRequest(base::Instant now);
  // The open request was answered. Returns the update if this was its last
  // piece. Otherwise `why` has the code kNone if the piece was taken.
  std::optional<jobs::ManifestUpdate> OnPiece(const ManifestPiece& piece,
                                              base::Instant now,
                                              FetchReason& why);
  // The open request got no answer.
  void OnFailure(base::Instant now);

  // Whether the copy isn't the newest manifest, as far as this entry knows.
  bool IsBehind() const;

 private:
  // An update of which some bytes have arrived.
  struct Transfer {
    uint64_t base = 0;
    uint64_t version = 0;
    uint64_t size = 0;
    uint32_t checksum = 0;
    std::string bytes;
  };

  bool CanBegin(const ManifestPiece& piece) const;
  bool Continues(const ManifestPiece& piece) const;
  std::optional<jobs::ManifestUpdate> Finish(FetchReason& why);
  void UseNextHost(base::Instant now);
  // Gives up the transfer and fetches the whole manifest.
  void Restart(base::Instant now);

  const size_t seed_;
  std::vector<wire::EntryId> hosts_;
  size_t host_ = 0;  // index of the host that is asked next
  uint64_t newest_version_ = 0;
  uint64_t copy_version_ = 0;
  bool needs_whole_ = true;  // the copy can't be the base of an update
  std::optional<Transfer> transfer_;
  bool is_open_ = false;
  bool ignores_reply_ = false;  // the copy has changed since the open request
  size_t failures_ = 0;         // since the last piece that was taken
  bool is_gone_ = false;  // one of them: the host can't continue the transfer
  base::Duration pause_{};
  base::Instant retry_at_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_MANIFEST_FETCHER_H_
