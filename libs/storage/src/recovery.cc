// Replays segments in order: the last hard state applies, and a truncation
// removes records written before it.

#include "recovery.h"

#include <fcntl.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ranges>
#include <system_error>
#include <utility>

#include "file.h"
#include "frame.h"
#include "wire/codec.h"

namespace sassafras::storage {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";

// Zero-padded to 20 digits, so that names sort in numerical order.
std::string NumberedFileName(std::string_view prefix, uint64_t number) {
  std::array<char, 21> digits;
  const int n = std::snprintf(digits.data(), digits.size(), "%020llu",
                              static_cast<unsigned long long>(number));
  return std::string(prefix) + std::string(digits.data(), n);
}

// Returns nullopt if `name` isn't `prefix` followed by a decimal number.
std::optional<uint64_t> ParseFileNumber(std::string_view name,
                                        std::string_view prefix) {
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string_view digits = name.substr(prefix.size());
  uint64_t number = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool is_fully_parsed = end == digits.data() + digits.size();
  return ec == std::errc() && is_fully_parsed ? std::optional(number)
                                              : std::nullopt;
}

// Sets a kCorrupt error for the frame at `offset`; always returns false.
bool ReportDamage(const std::filesystem::path& path,
                  size_t offset,
                  std::string_view detail,
                  StorageReason& why) {
  return why.Set(StorageError::kCorrupt,
                 "file \"" + path.string() + "\" is damaged at offset " +
                     std::to_string(offset) + ": " + std::string(detail));
}

std::optional<std::string> ReadFile(const std::filesystem::path& path,
                                    StorageReason& why) {
  const auto file = File::Open(path, O_RDONLY, why);
  return file ? file->ReadAll(why) : std::nullopt;
}

// Applies the frames of all segments, in order, to a ReplayResult.
class Replayer {
 public:
  Replayer(consensus::Index snapshot_index, ReplayResult& out)
      : snapshot_index_(snapshot_index), out_(out) {}

  // Returns false and sets `detail` if the frame is invalid at this place.
  bool Apply(FrameKind kind, std::string_view body, std::string& detail) {
    switch (kind) {
      case FrameKind::kHardState:
        return ApplyHardState(body, detail);
      case FrameKind::kRecord:
        return ApplyRecord(body, detail);
      case FrameKind::kTruncate:
        return ApplyTruncate(body, detail);
      default:
        detail = "this frame kind is not allowed in a segment";
        return false;
    }
  }

 private:
  bool ApplyHardState(std::string_view body, std::string& detail) {
    wire::CodecReason codec;
    auto state = wire::DecodeCbor<consensus::HardState>(body, codec);
    if (!state) {
      detail = codec.message;
      return false;
    }
    out_.hard_state = std::move(*state);
    return true;
  }

  bool ApplyRecord(std::string_view body, std::string& detail) {
    wire::CodecReason codec;
    auto record = wire::DecodeCbor<consensus::Record>(body, codec);
    if (!record) {
      detail = codec.message;
      return false;
    }
    auto& last = out_.segments.back().last_index;
    last = std::max(last, record->index);
    if (record->index <= snapshot_index_) {
      return true;
    }
    const uint64_t expected = snapshot_index_.value() + out_.records.size() + 1;
    if (record->index.value() != expected) {
      detail = "record " + std::to_string(record->index.value()) +
               " found where record " + std::to_string(expected) +
               " is expected";
      return false;
    }
    out_.records.push_back(std::move(*record));
    return true;
  }

  bool ApplyTruncate(std::string_view body, std::string& detail) {
    wire::CodecReason codec;
    const auto from = wire::DecodeCbor<consensus::Index>(body, codec);
    if (!from) {
      detail = codec.message;
      return false;
    }
    while (!out_.records.empty() && out_.records.back().index >= *from) {
      out_.records.pop_back();
    }
    return true;
  }

  consensus::Index snapshot_index_;
  ReplayResult& out_;
};

// Replays one segment file. An incomplete last frame is accepted in the last
// segment only.
bool ReplaySegment(const std::filesystem::path& path,
                   bool is_last,
                   Replayer& replayer,
                   ReplayResult& out,
                   StorageReason& why) {
  const auto bytes = ReadFile(path, why);
  if (!bytes) {
    return false;
  }
  FrameReader reader(*bytes);
  while (true) {
    const auto status = reader.Next();
    out.valid_bytes = reader.offset();
    if (status == FrameReader::Status::kEnd) {
      return true;
    }
    if (status == FrameReader::Status::kTorn && is_last) {
      out.is_torn = true;
      return true;
    }
    if (status != FrameReader::Status::kFrame) {
      return ReportDamage(path, reader.offset(), "checksum or length mismatch",
                          why);
    }
    std::string detail;
    if (!replayer.Apply(reader.kind(), reader.body(), detail)) {
      return ReportDamage(path, reader.offset(), detail, why);
    }
  }
}

}  // namespace

std::string SegmentName(uint64_t number) {
  return NumberedFileName(kSegmentPrefix, number);
}

std::string SnapshotName(consensus::Index index) {
  return NumberedFileName(kSnapshotPrefix, index.value());
}

std::optional<FolderListing> ListFolder(const std::filesystem::path& folder,
                                        StorageReason& why) {
  FolderListing out;
  std::error_code ec;
  for (const auto& entry : std::filesystem::directory_iterator(folder, ec)) {
    const std::string name = entry.path().filename().string();
    if (name.ends_with(kTemporarySuffix)) {
      out.temporaries.push_back(entry.path());
    } else if (const auto segment = ParseFileNumber(name, kSegmentPrefix)) {
      out.segments.push_back(*segment);
    } else if (const auto snapshot = ParseFileNumber(name, kSnapshotPrefix)) {
      out.snapshots.emplace_back(*snapshot);
    }
  }
  if (ec) {
    why.Set(StorageError::kIo, "listing of data folder \"" + folder.string() +
                                   "\": " + ec.message());
    return std::nullopt;
  }
  std::ranges::sort(out.segments);
  std::ranges::sort(out.snapshots);
  return out;
}

std::optional<ReplayResult> ReplaySegments(const std::filesystem::path& folder,
                                           const std::vector<uint64_t>& numbers,
                                           consensus::Index snapshot_index,
                                           StorageReason& why) {
  ReplayResult out;
  Replayer replayer(snapshot_index, out);
  for (const uint64_t number : numbers) {
    const auto path = folder / SegmentName(number);
    if (number != numbers.front() + out.segments.size()) {
      why.Set(StorageError::kCorrupt,
              "the segment before file \"" + path.string() + "\" is missing");
      return std::nullopt;
    }
    out.segments.push_back({number, consensus::Index()});
    const bool is_last = number == numbers.back();
    if (!ReplaySegment(path, is_last, replayer, out, why)) {
      return std::nullopt;
    }
  }
  return out;
}

// --- snapshots ---

namespace {

// Largest part of a snapshot that one frame holds, in bytes.
constexpr size_t kSnapshotFrameBytes = size_t{64} * 1024;

// Body of the first frame of a snapshot file.
struct SnapshotHeader {
  consensus::SnapshotMeta meta;
  uint64_t bytes = 0;  // size of the snapshot, over all its frames
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotHeader, meta, bytes)

}  // namespace

std::string EncodeSnapshot(const consensus::Snapshot& snapshot) {
  std::string out;
  const SnapshotHeader header{snapshot.meta, snapshot.bytes->size()};
  AppendFrame(FrameKind::kSnapshotMeta, wire::EncodeCbor(header), out);
  std::string_view rest = *snapshot.bytes;
  while (!rest.empty()) {
    const size_t n = std::min(rest.size(), kSnapshotFrameBytes);
    AppendFrame(FrameKind::kSnapshotBytes, rest.substr(0, n), out);
    rest.remove_prefix(n);
  }
  return out;
}

std::optional<consensus::Snapshot> ReadSnapshot(
    const std::filesystem::path& path,
    StorageReason& why) {
  const auto file = ReadFile(path, why);
  if (!file) {
    return std::nullopt;
  }
  FrameReader reader(*file);
  wire::CodecReason codec;
  std::optional<SnapshotHeader> header;
  if (reader.Next() == FrameReader::Status::kFrame &&
      reader.kind() == FrameKind::kSnapshotMeta) {
    header = wire::DecodeCbor<SnapshotHeader>(reader.body(), codec);
  }
  if (!header) {
    ReportDamage(path, reader.offset(), "invalid snapshot header", why);
    return std::nullopt;
  }
  auto bytes = std::make_shared<std::string>();
  auto status = reader.Next();
  while (status == FrameReader::Status::kFrame &&
         reader.kind() == FrameKind::kSnapshotBytes) {
    bytes->append(reader.body());
    status = reader.Next();
  }
  if (status != FrameReader::Status::kEnd || bytes->size() != header->bytes) {
    ReportDamage(path, reader.offset(), "checksum or length mismatch", why);
    return std::nullopt;
  }
  return consensus::Snapshot{header->meta, std::move(bytes)};
}

// --- identity ---

std::optional<consensus::ReplicaId> ReadIdentity(
    const std::filesystem::path& folder,
    StorageReason& why) {
  const auto path = folder / kIdentityName;
  std::error_code ec;
  if (!std::filesystem::exists(path, ec)) {
    return std::nullopt;
  }
  const auto bytes = ReadFile(path, why);
  if (!bytes) {
    return std::nullopt;
  }
  FrameReader reader(*bytes);
  if (reader.Next() != FrameReader::Status::kFrame ||
      reader.kind() != FrameKind::kIdentity || reader.body().empty()) {
    ReportDamage(path, reader.offset(),
                 "expected an identity frame with valid checksums and a "
                 "non-empty replica id",
                 why);
    return std::nullopt;
  }
  return consensus::ReplicaId(std::string(reader.body()));
}

bool WriteIdentity(const std::filesystem::path& folder,
                   const consensus::ReplicaId& id,
                   StorageReason& why) {
  std::string bytes;
  AppendFrame(FrameKind::kIdentity, id.str(), bytes);
  return ReplaceFile(folder / kIdentityName, bytes, why);
}

}  // namespace sassafras::storage
