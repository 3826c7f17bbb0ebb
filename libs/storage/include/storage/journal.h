// Durable state of one consensus replica, kept in one data folder: the
// replica's identity, its hard state (term and vote), a segmented write-ahead
// log and the newest snapshot.

#ifndef STORAGE_JOURNAL_H_
#define STORAGE_JOURNAL_H_

#include <cstddef>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>

#include "base/reason.h"
#include "consensus/types.h"

namespace sassafras::storage {

enum class StorageError {
  kNone,
  kLocked,  // another process has the data folder open
  kIo,      // a system call failed; the message names file and error
  // A file is damaged or missing. The message names the file, with the offset
  // of a damaged or unexpected frame; or the data folder or the next segment if
  // the identity or a segment is missing.
  kCorrupt,
  // An append would leave a gap in the log, or a truncation starts at a record
  // that the snapshot covers.
  kNotContiguous,
};
using StorageReason = base::Reason<StorageError>;

struct JournalOptions {
  // Size, in bytes, at which the open segment is closed and a new one started.
  size_t segment_bytes = size_t{8} * 1024 * 1024;
};

// Write-ahead log, hard state and snapshots of one replica.
//
// Not thread-safe; every call may block on disk I/O. Calls that return bool
// return false and set `why` on failure. After a failed call the journal must
// not be used again, because the state on disk is then unknown.
class Journal {
 public:
  // Creates the data folder if it doesn't exist, locks it and reads its state
  // into `out`. An incomplete last record is truncated; for damage anywhere
  // else the call fails and leaves the files unchanged. Returns nullopt and
  // sets `why` on failure. Errors: kLocked, kIo, kCorrupt.
  static std::optional<Journal> Open(const std::filesystem::path& folder,
                                     consensus::Recovered& out,
                                     StorageReason& why,
                                     const JournalOptions& options = {});
  Journal(Journal&&) noexcept;
  Journal& operator=(Journal&&) noexcept;
  ~Journal();

  // Writes all parts of one persist request. The changes are durable only
  // after Sync(); one Sync() may cover many requests. Errors: kIo,
  // kNotContiguous.
  bool Persist(const consensus::PersistRequest& request, StorageReason& why);

  // Records term and vote. Durable after Sync(). Error: kIo.
  bool SaveHardState(const consensus::HardState& state, StorageReason& why);
  // Appends records; the first index must follow the last one in the log.
  // Durable after Sync(). Errors: kIo, kNotContiguous.
  bool Append(std::span<const consensus::Record> records, StorageReason& why);
  // Removes the record at `from` and all later ones from the log; does nothing
  // if the log ends before `from`. Durable after Sync(). Errors: kIo,
  // kNotContiguous if the snapshot covers `from`.
  bool Truncate(consensus::Index from, StorageReason& why);
  // Makes the changes of all earlier calls durable. Error: kIo.
  bool Sync(StorageReason& why);
  // Saves a snapshot, removes the records that it covers and compacts. Does
  // nothing if the current snapshot covers the same index or a higher one.
  // Durable on return. Error: kIo.
  bool SaveSnapshot(const consensus::Snapshot& snapshot, StorageReason& why);
  // Removes older snapshots and the segments whose records are all covered by
  // the newest snapshot. Error: kIo.
  bool Compact(StorageReason& why);

  // Returns the size of all files in the data folder, in bytes, including
  // buffered data that isn't written yet.
  size_t DiskBytes() const;

 private:
  class Impl;
  explicit Journal(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::storage

#endif  // STORAGE_JOURNAL_H_
