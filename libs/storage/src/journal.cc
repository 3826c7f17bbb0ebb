// Opens a data folder, appends to its newest segment, saves snapshots and
// compacts. Each segment begins with the current hard state, so that older
// segments can be removed.

#include "storage/journal.h"

#include <fcntl.h>

#include <algorithm>
#include <ranges>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "base/random.h"
#include "file.h"
#include "frame.h"
#include "recovery.h"
#include "wire/codec.h"

namespace sassafras::storage {

namespace {

// Appended frames are written to the file once this many bytes are buffered.
constexpr size_t kMaxBufferedBytes = size_t{1024} * 1024;

}  // namespace

class Journal::Impl {
 public:
  Impl(std::filesystem::path folder, const JournalOptions& options, File lock)
      : folder_(std::move(folder)), options_(options), lock_(std::move(lock)) {}

  bool Load(consensus::Recovered& out, StorageReason& why);

  bool SaveHardState(const consensus::HardState& state, StorageReason& why);
  bool Append(std::span<const consensus::Record> records, StorageReason& why);
  bool Truncate(consensus::Index from, StorageReason& why);
  bool Sync(StorageReason& why);
  bool SaveSnapshot(const consensus::Snapshot& snapshot, StorageReason& why);
  bool Compact(StorageReason& why);
  size_t DiskBytes() const;

 private:
  bool CheckRequiredFiles(const FolderListing& listing,
                          bool has_id,
                          StorageReason& why);
  bool ReportLostIdentity(StorageReason& why) const;
  bool LoadSnapshot(const FolderListing& listing,
                    consensus::Recovered& out,
                    StorageReason& why);
  bool LoadSegments(const FolderListing& listing,
                    consensus::Recovered& out,
                    StorageReason& why);
  bool OpenSegment(uint64_t number, StorageReason& why);
  bool BufferFrame(FrameKind kind, std::string_view body, StorageReason& why);
  bool Flush(StorageReason& why);
  bool Rotate(StorageReason& why);

  std::filesystem::path folder_;
  JournalOptions options_;
  File lock_;

  std::vector<Segment> segments_;  // consecutive numbers; the last is open
  std::optional<File> open_segment_;
  size_t open_segment_bytes_ = 0;  // including `buffer_`
  std::string buffer_;             // frames not yet written to the file
  bool is_dirty_ = false;          // there are changes since the last sync

  consensus::HardState hard_state_;
  // Index of the last record, or of the snapshot if no record follows it.
  consensus::Index last_index_;
  consensus::Index snapshot_index_;  // last index that the snapshot covers
};

// --- recovery ---

bool Journal::Impl::Load(consensus::Recovered& out, StorageReason& why) {
  const auto listing = ListFolder(folder_, why);
  if (!listing) {
    return false;
  }
  why = {};
  auto id = ReadIdentity(folder_, why);
  if (!id && why.code != StorageError::kNone) {
    return false;
  }
  if (!CheckRequiredFiles(*listing, id.has_value(), why) ||
      !LoadSnapshot(*listing, out, why) || !LoadSegments(*listing, out, why)) {
    return false;
  }
  const auto remove = [&](const auto& path) { return RemoveFile(path, why); };
  if (!std::ranges::all_of(listing->temporaries, remove)) {
    return false;
  }
  if (!id && (!out.records.empty() || out.hard_state.term.value() > 0)) {
    return ReportLostIdentity(why);
  }
  if (!id) {
    id = consensus::ReplicaId(base::Random::FromSystem().HexId());
    if (!WriteIdentity(folder_, *id, why)) {
      return false;
    }
  }
  out.id = *id;
  return Compact(why);
}

// Rejects a data folder that lost a required file. Treating it as new would
// discard the replica's vote, and the replica could vote twice in a term.
bool Journal::Impl::CheckRequiredFiles(const FolderListing& listing,
                                       bool has_id,
                                       StorageReason& why) {
  const bool has_log = !listing.segments.empty();
  if (has_id && !has_log) {
    return why.Set(StorageError::kCorrupt,
                   "data folder \"" + folder_.string() +
                       "\" has an identity file but no log segment");
  }
  // A new folder gets its first segment before its identity file, so a crash
  // between the two leaves one segment and no identity.
  const bool is_new = listing.segments.size() <= 1 && listing.snapshots.empty();
  if (!has_id && !is_new) {
    return ReportLostIdentity(why);
  }
  return true;
}

bool Journal::Impl::ReportLostIdentity(StorageReason& why) const {
  return why.Set(StorageError::kCorrupt,
                 "data folder \"" + folder_.string() +
                     "\" is not new but has no identity file");
}

bool Journal::Impl::LoadSnapshot(const FolderListing& listing,
                                 consensus::Recovered& out,
                                 StorageReason& why) {
  if (listing.snapshots.empty()) {
    return true;
  }
  const auto path = folder_ / SnapshotName(listing.snapshots.back());
  out.snapshot = ReadSnapshot(path, why);
  if (!out.snapshot) {
    return false;
  }
  snapshot_index_ = out.snapshot->meta.index;
  if (snapshot_index_ != listing.snapshots.back()) {
    return why.Set(
        StorageError::kCorrupt,
        "file \"" + path.string() +
            "\" holds a snapshot whose index differs from the file name");
  }
  return true;
}

bool Journal::Impl::LoadSegments(const FolderListing& listing,
                                 consensus::Recovered& out,
                                 StorageReason& why) {
  auto replay = ReplaySegments(folder_, listing.segments, snapshot_index_, why);
  if (!replay) {
    return false;
  }
  out.hard_state = hard_state_ = replay->hard_state;
  out.records = std::move(replay->records);
  last_index_ = consensus::Index(snapshot_index_.value() + out.records.size());
  segments_ = std::move(replay->segments);
  if (segments_.empty()) {
    return OpenSegment(1, why);
  }
  const auto path = folder_ / SegmentName(segments_.back().number);
  open_segment_ = File::Open(path, O_WRONLY | O_APPEND, why);
  open_segment_bytes_ = replay->valid_bytes;
  if (!open_segment_) {
    return false;
  }
  if (replay->is_torn && !open_segment_->Truncate(open_segment_bytes_, why)) {
    return false;
  }
  // After a crash the new segment may lack its first frame, the hard state.
  if (open_segment_bytes_ == 0 && !SaveHardState(hard_state_, why)) {
    return false;
  }
  // The data that was just read may never have been synced.
  is_dirty_ = true;
  return Sync(why);
}

bool Journal::Impl::OpenSegment(uint64_t number, StorageReason& why) {
  const auto path = folder_ / SegmentName(number);
  open_segment_ = File::Open(path, O_WRONLY | O_CREAT | O_EXCL | O_APPEND, why);
  if (!open_segment_ || !SyncFolder(folder_, why)) {
    return false;
  }
  segments_.push_back({number, consensus::Index()});
  open_segment_bytes_ = 0;
  return SaveHardState(hard_state_, why) && Sync(why);
}

// --- appending ---

bool Journal::Impl::BufferFrame(FrameKind kind,
                                std::string_view body,
                                StorageReason& why) {
  const size_t before = buffer_.size();
  AppendFrame(kind, body, buffer_);
  open_segment_bytes_ += buffer_.size() - before;
  is_dirty_ = true;
  return buffer_.size() < kMaxBufferedBytes || Flush(why);
}

bool Journal::Impl::Flush(StorageReason& why) {
  return open_segment_->Write(std::exchange(buffer_, {}), why);
}

bool Journal::Impl::SaveHardState(const consensus::HardState& state,
                                  StorageReason& why) {
  hard_state_ = state;
  return BufferFrame(FrameKind::kHardState, wire::EncodeCbor(state), why);
}

bool Journal::Impl::Append(std::span<const consensus::Record> records,
                           StorageReason& why) {
  for (const auto& record : records) {
    if (record.index != last_index_.Next()) {
      return why.Set(StorageError::kNotContiguous,
                     "record " + std::to_string(record.index.value()) +
                         " does not follow record " +
                         std::to_string(last_index_.value()));
    }
    if (open_segment_bytes_ >= options_.segment_bytes && !Rotate(why)) {
      return false;
    }
    last_index_ = record.index;
    segments_.back().last_index =
        std::max(segments_.back().last_index, last_index_);
    if (!BufferFrame(FrameKind::kRecord, wire::EncodeCbor(record), why)) {
      return false;
    }
  }
  return true;
}

bool Journal::Impl::Truncate(consensus::Index from, StorageReason& why) {
  if (from <= snapshot_index_) {
    return why.Set(
        StorageError::kNotContiguous,
        "record " + std::to_string(from.value()) + " is covered by a snapshot");
  }
  if (from > last_index_) {
    return true;
  }
  last_index_ = consensus::Index(from.value() - 1);
  return BufferFrame(FrameKind::kTruncate, wire::EncodeCbor(from), why);
}

bool Journal::Impl::Sync(StorageReason& why) {
  if (!is_dirty_) {
    return true;
  }
  is_dirty_ = false;
  return Flush(why) && open_segment_->Sync(why);
}

// Makes the old segment durable before creating the new one, because recovery
// accepts an incomplete frame only at the end of the last segment.
bool Journal::Impl::Rotate(StorageReason& why) {
  return Sync(why) && OpenSegment(segments_.back().number + 1, why);
}

// --- snapshots ---

bool Journal::Impl::SaveSnapshot(const consensus::Snapshot& snapshot,
                                 StorageReason& why) {
  const consensus::Index index = snapshot.meta.index;
  if (index <= snapshot_index_) {
    return true;
  }
  // A truncation in the same request as an installed snapshot must be durable
  // before the snapshot is; a crash in between must not leave the snapshot
  // with the records to be truncated after it.
  const auto path = folder_ / SnapshotName(index);
  if (!Sync(why) || !ReplaceFile(path, EncodeSnapshot(snapshot), why)) {
    return false;
  }
  snapshot_index_ = index;
  last_index_ = std::max(last_index_, index);
  return Compact(why);
}

bool Journal::Impl::Compact(StorageReason& why) {
  const auto listing = ListFolder(folder_, why);
  if (!listing) {
    return false;
  }
  for (const auto index : listing->snapshots) {
    if (index < snapshot_index_ &&
        !RemoveFile(folder_ / SnapshotName(index), why)) {
      return false;
    }
  }
  // Removes the oldest segment first, so that after a crash the remaining
  // segment numbers are consecutive.
  while (segments_.size() > 1 &&
         segments_.front().last_index <= snapshot_index_) {
    const auto path = folder_ / SegmentName(segments_.front().number);
    if (!RemoveFile(path, why) || !SyncFolder(folder_, why)) {
      return false;
    }
    segments_.erase(segments_.begin());
  }
  return true;
}

size_t Journal::Impl::DiskBytes() const {
  size_t bytes = buffer_.size();
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(folder_, ec)) {
    std::error_code size_ec;
    const auto n = std::filesystem::file_size(it.path(), size_ec);
    bytes += size_ec ? 0 : n;
  }
  return bytes;
}

// --- public interface ---

std::optional<Journal> Journal::Open(const std::filesystem::path& folder,
                                     consensus::Recovered& out,
                                     StorageReason& why,
                                     const JournalOptions& options) {
  std::error_code ec;
  const bool is_new = std::filesystem::create_directories(folder, ec);
  if (ec) {
    why.Set(StorageError::kIo, "creation of data folder \"" + folder.string() +
                                   "\": " + ec.message());
    return std::nullopt;
  }
  if (is_new && !SyncFolder(folder / "..", why)) {
    return std::nullopt;
  }
  auto lock = File::Open(folder / kLockName, O_RDWR | O_CREAT, why);
  if (!lock || !lock->Lock(why)) {
    return std::nullopt;
  }
  out = {};
  auto impl = std::make_unique<Impl>(folder, options, std::move(*lock));
  if (!impl->Load(out, why)) {
    return std::nullopt;
  }
  return Journal(std::move(impl));
}

Journal::Journal(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Journal::Journal(Journal&&) noexcept = default;
Journal& Journal::operator=(Journal&&) noexcept = default;
Journal::~Journal() = default;

bool Journal::Persist(const consensus::PersistRequest& request,
                      StorageReason& why) {
  return (!request.hard_state || SaveHardState(*request.hard_state, why)) &&
         (!request.truncate_from || Truncate(*request.truncate_from, why)) &&
         (!request.snapshot || SaveSnapshot(*request.snapshot, why)) &&
         Append(request.records, why);
}

bool Journal::SaveHardState(const consensus::HardState& state,
                            StorageReason& why) {
  return impl_->SaveHardState(state, why);
}

bool Journal::Append(std::span<const consensus::Record> records,
                     StorageReason& why) {
  return impl_->Append(records, why);
}

bool Journal::Truncate(consensus::Index from, StorageReason& why) {
  return impl_->Truncate(from, why);
}

bool Journal::Sync(StorageReason& why) {
  return impl_->Sync(why);
}

bool Journal::SaveSnapshot(const consensus::Snapshot& snapshot,
                           StorageReason& why) {
  return impl_->SaveSnapshot(snapshot, why);
}

bool Journal::Compact(StorageReason& why) {
  return impl_->Compact(why);
}

size_t Journal::DiskBytes() const {
  return impl_->DiskBytes();
}

}  // namespace sassafras::storage
