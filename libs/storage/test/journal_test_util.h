// Helpers shared by the journal tests: temporary data folders, files, records
// and snapshots, and an in-memory model of the state that a folder holds.

#ifndef STORAGE_TEST_JOURNAL_TEST_UTIL_H_
#define STORAGE_TEST_JOURNAL_TEST_UTIL_H_

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "storage/journal.h"

namespace sassafras::storage {

namespace fs = std::filesystem;
using consensus::HardState;
using consensus::Index;
using consensus::PersistRequest;
using consensus::Record;
using consensus::RecordKind;
using consensus::Recovered;
using consensus::ReplicaId;
using consensus::Snapshot;
using consensus::Term;

// A folder that is removed with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "journal-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const fs::path& path() const { return path_; }

  void CopyFrom(const fs::path& other) const {
    fs::remove_all(path_);
    fs::copy(other, path_, fs::copy_options::recursive);
  }

 private:
  fs::path path_;
};

inline std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

inline void WriteFile(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

// Returns the files whose names start with `prefix`, sorted by path.
inline std::vector<fs::path> FilesWithPrefix(const fs::path& folder,
                                             const std::string& prefix) {
  std::vector<fs::path> out;
  for (const auto& it : fs::directory_iterator(folder)) {
    if (it.path().filename().string().starts_with(prefix)) {
      out.push_back(it.path());
    }
  }
  std::ranges::sort(out);
  return out;
}

inline Record MakeRecord(uint64_t index, uint64_t term, std::string payload) {
  return {Term(term), Index(index), RecordKind::kCommand, std::move(payload)};
}

inline Snapshot MakeSnapshot(uint64_t index, uint64_t term, std::string bytes) {
  Snapshot out;
  out.meta.index = Index(index);
  out.meta.term = Term(term);
  out.meta.membership.voters = {{ReplicaId("a"), wire::EntryId("entry-1")}};
  out.bytes = std::make_shared<const std::string>(std::move(bytes));
  return out;
}

// Applies a persist request to the model, as Journal::Persist() does to the
// folder.
inline void ApplyToModel(const PersistRequest& request, Recovered& model) {
  if (request.hard_state) {
    model.hard_state = *request.hard_state;
  }
  if (request.truncate_from) {
    std::erase_if(model.records, [&](const Record& it) {
      return it.index >= *request.truncate_from;
    });
  }
  if (request.snapshot) {
    model.snapshot = request.snapshot;
    std::erase_if(model.records, [&](const Record& it) {
      return it.index <= request.snapshot->meta.index;
    });
  }
  model.records.insert(model.records.end(), request.records.begin(),
                       request.records.end());
}

// Compares everything but the replica ids.
inline bool IsSameState(const Recovered& a, const Recovered& b) {
  const bool is_same_snapshot =
      a.snapshot.has_value() == b.snapshot.has_value() &&
      (!a.snapshot || (a.snapshot->meta == b.snapshot->meta &&
                       *a.snapshot->bytes == *b.snapshot->bytes));
  return a.hard_state == b.hard_state && a.records == b.records &&
         is_same_snapshot;
}

// Returns the index of the last record, or of the snapshot if no record follows
// it.
inline Index LastIndex(const Recovered& model) {
  if (!model.records.empty()) {
    return model.records.back().index;
  }
  return model.snapshot ? model.snapshot->meta.index : Index();
}

// Small enough that a few records fill a segment.
inline constexpr size_t kSmallSegmentBytes = 600;

// Opens the folder, closes it again and returns the recovered state, or nullopt
// on failure.
inline std::optional<Recovered> Reopen(const fs::path& folder,
                                       StorageReason& why) {
  Recovered out;
  const auto journal =
      Journal::Open(folder, out, why, {.segment_bytes = kSmallSegmentBytes});
  return journal ? std::optional(out) : std::nullopt;
}

}  // namespace sassafras::storage

#endif  // STORAGE_TEST_JOURNAL_TEST_UTIL_H_
