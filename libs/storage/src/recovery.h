// Reads the state of a data folder: lists its files, replays the segments and
// reads and writes the snapshot and identity files.

#ifndef STORAGE_RECOVERY_H_
#define STORAGE_RECOVERY_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/types.h"
#include "storage/journal.h"

namespace sassafras::storage {

inline constexpr std::string_view kLockName = "lock";
inline constexpr std::string_view kIdentityName = "identity";

// File names; numbers are padded with zeros to 20 digits.
std::string SegmentName(uint64_t number);
std::string SnapshotName(consensus::Index index);

// Files of a data folder, by type.
struct FolderListing {
  std::vector<uint64_t> segments;           // segment numbers, ascending
  std::vector<consensus::Index> snapshots;  // last covered index, ascending
  // Temporary files left by an interrupted ReplaceFile(), in any order.
  std::vector<std::filesystem::path> temporaries;
};
// Lists the data folder; files with other names are ignored. Returns nullopt
// on failure. Error: kIo.
std::optional<FolderListing> ListFolder(const std::filesystem::path& folder,
                                        StorageReason& why);

// One segment file of the write-ahead log.
struct Segment {
  uint64_t number = 0;
  // Highest record index in the segment; 0 if it holds no records.
  consensus::Index last_index;
};

// State obtained by replaying the segments.
struct ReplayResult {
  consensus::HardState hard_state;
  std::vector<consensus::Record> records;  // those after the snapshot
  std::vector<Segment> segments;           // in order of their numbers
  size_t valid_bytes = 0;  // size of the last segment without its torn frame
  bool is_torn = false;    // the last segment ends with an incomplete frame
};

// Replays the segments `numbers`, which must be ascending. Records up to
// `snapshot_index` are covered by a snapshot and skipped. Only the last segment
// may end with an incomplete frame. Returns nullopt on failure. Errors: kIo,
// kCorrupt.
std::optional<ReplayResult> ReplaySegments(const std::filesystem::path& folder,
                                           const std::vector<uint64_t>& numbers,
                                           consensus::Index snapshot_index,
                                           StorageReason& why);

// Reads a snapshot file; returns nullopt on failure. Errors: kIo, kCorrupt.
std::optional<consensus::Snapshot> ReadSnapshot(
    const std::filesystem::path& path,
    StorageReason& why);
// Returns the contents of a snapshot file.
std::string EncodeSnapshot(const consensus::Snapshot& snapshot);

// Returns the replica id of the data folder. Returns nullopt and leaves `why`
// unchanged if there is no identity file; returns nullopt and sets `why` if the
// file can't be read or is damaged. Errors: kIo, kCorrupt.
std::optional<consensus::ReplicaId> ReadIdentity(
    const std::filesystem::path& folder,
    StorageReason& why);
// Writes the identity file; durable on return. Error: kIo.
bool WriteIdentity(const std::filesystem::path& folder,
                   const consensus::ReplicaId& id,
                   StorageReason& why);

}  // namespace sassafras::storage

#endif  // STORAGE_RECOVERY_H_
