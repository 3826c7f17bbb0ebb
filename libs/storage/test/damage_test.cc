// Opens data folders that were damaged as a crash or a faulty disk would damage
// them: cut off, zeroed, with flipped bits, or with missing files.

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "journal_test_util.h"
#include "storage/journal.h"

namespace sassafras::storage {
namespace {

constexpr char kFlip = 0x10;  // the bit that is inverted in a byte

// Inverts one bit of byte `n`, whose value is `before`.
void FlipByte(const fs::path& path, size_t n, char before) {
  std::fstream out(path, std::ios::binary | std::ios::in | std::ios::out);
  out.seekp(static_cast<std::streamoff>(n));
  out.put(static_cast<char>(before ^ kFlip));
}

// Returns the offset of the frame that contains byte `n`.
size_t FrameStart(const std::string& file, size_t n) {
  constexpr size_t kHeaderBytes = 12;
  size_t at = 0;
  while (true) {
    size_t length = 0;
    for (size_t i = 0; i < 4; ++i) {
      length |= size_t{static_cast<uint8_t>(file[at + i])} << (8 * i);
    }
    if (n < at + kHeaderBytes + length) {
      return at;
    }
    at += kHeaderBytes + length;
  }
}

// Sets up a folder with several segments and a snapshot. `synced_states_` holds
// the model after each Sync(), with the number of segments and the size of the
// newest one at that time.
class DamageTest : public testing::Test {
 protected:
  struct SyncedState {
    size_t segments = 0;
    size_t bytes = 0;  // size of the newest segment
    Recovered model;
  };

  void SetUp() override {
    StorageReason why;
    Recovered model;
    auto journal = Journal::Open(folder_.path(), model, why,
                                 {.segment_bytes = kSmallSegmentBytes});
    ASSERT_TRUE(journal) << why.message;
    Save({.hard_state = HardState{Term(1), ReplicaId("a")}}, *journal, model);
    for (uint64_t i = 1; i <= 30; ++i) {
      PersistRequest request;
      request.records = {MakeRecord(i, 1, "payload " + std::to_string(i))};
      if (i == 12) {
        request.snapshot = MakeSnapshot(10, 1, std::string(1000, 'x'));
      }
      Save(request, *journal, model);
    }
    Save({.hard_state = HardState{Term(2), ReplicaId("b")},
          .truncate_from = Index(29),
          .records = {MakeRecord(29, 2, "replaced")}},
         *journal, model);
  }

  void Save(const PersistRequest& request, Journal& journal, Recovered& model) {
    StorageReason why;
    ASSERT_TRUE(journal.Persist(request, why)) << why.message;
    ASSERT_TRUE(journal.Sync(why)) << why.message;
    ApplyToModel(request, model);
    const auto files = FilesWithPrefix(folder_.path(), "log-");
    synced_states_.push_back(
        {files.size(), fs::file_size(files.back()), model});
  }

  TemporaryFolder folder_;
  std::vector<SyncedState> synced_states_;
};

TEST_F(DamageTest, TornTailIsCutOffAtEveryByte) {
  const auto last = FilesWithPrefix(folder_.path(), "log-").back();
  const std::string whole = ReadFile(last);
  const size_t segments = FilesWithPrefix(folder_.path(), "log-").size();
  const TemporaryFolder copy;
  for (size_t n = 0; n <= whole.size(); ++n) {
    copy.CopyFrom(folder_.path());
    WriteFile(copy.path() / last.filename(), whole.substr(0, n));
    StorageReason why;
    const auto out = Reopen(copy.path(), why);
    ASSERT_TRUE(out) << n << ": " << why.message;
    // Everything that was synced within the first `n` bytes is recovered; the
    // + 2 allows for the two records that the last request truncates.
    const Recovered* synced = nullptr;
    for (const SyncedState& state : synced_states_) {
      if (state.segments < segments ||
          (state.segments == segments && state.bytes <= n)) {
        synced = &state.model;
      }
    }
    ASSERT_GE(out->hard_state.term, synced->hard_state.term);
    ASSERT_GE(out->records.size() + 2, synced->records.size());
    if (n == whole.size()) {
      ASSERT_TRUE(IsSameState(*out, *synced));
    }
    // The repaired folder recovers the same state again and accepts records.
    Recovered again;
    auto journal = Journal::Open(copy.path(), again, why);
    ASSERT_TRUE(journal) << why.message;
    ASSERT_TRUE(IsSameState(again, *out));
    const Record next = MakeRecord(LastIndex(again).value() + 1, 3, "next");
    ASSERT_TRUE(journal->Append({&next, 1}, why) && journal->Sync(why));
    journal.reset();
    ASSERT_EQ(Reopen(copy.path(), why)->records.back(), next);
  }
}

TEST_F(DamageTest, ZeroSectorsAtTheEndAreTorn) {
  const auto last = FilesWithPrefix(folder_.path(), "log-").back();
  WriteFile(last, ReadFile(last) + std::string(4096, '\0'));
  StorageReason why;
  const auto out = Reopen(folder_.path(), why);
  ASSERT_TRUE(out) << why.message;
  EXPECT_TRUE(IsSameState(*out, synced_states_.back().model));
}

TEST_F(DamageTest, FlippedByteIsRefusedWithFileAndOffset) {
  for (const auto& file : fs::directory_iterator(folder_.path())) {
    const std::string name = file.path().filename().string();
    const std::string whole = ReadFile(file.path());
    for (size_t n = 0; n < whole.size(); ++n) {
      FlipByte(file.path(), n, whole[n]);
      StorageReason why;
      ASSERT_FALSE(Reopen(folder_.path(), why)) << name << " byte " << n;
      ASSERT_EQ(why.code, StorageError::kCorrupt) << why.message;
      ASSERT_NE(why.message.find(name), std::string::npos) << why.message;
      const auto offset =
          "offset " + std::to_string(FrameStart(whole, n)) + ":";
      ASSERT_NE(why.message.find(offset), std::string::npos) << why.message;
      ASSERT_EQ(fs::file_size(file.path()), whole.size());  // not truncated
      FlipByte(file.path(), n, static_cast<char>(whole[n] ^ kFlip));
    }
    ASSERT_EQ(ReadFile(file.path()), whole);
  }
}

TEST_F(DamageTest, TornOldSegmentIsRefused) {
  const auto first = FilesWithPrefix(folder_.path(), "log-").front();
  const std::string whole = ReadFile(first);
  WriteFile(first, whole.substr(0, whole.size() - 3));
  StorageReason why;
  EXPECT_FALSE(Reopen(folder_.path(), why));
  EXPECT_EQ(why.code, StorageError::kCorrupt);
  EXPECT_NE(why.message.find(first.filename().string()), std::string::npos)
      << why.message;
}

TEST_F(DamageTest, LostFilesAreRefused) {
  const TemporaryFolder copy;
  StorageReason why;
  for (const std::string prefix : {"log-", "identity", "snapshot-"}) {
    copy.CopyFrom(folder_.path());
    fs::remove(FilesWithPrefix(copy.path(), prefix).front());
    EXPECT_FALSE(Reopen(copy.path(), why)) << prefix;
    EXPECT_EQ(why.code, StorageError::kCorrupt);
  }
  copy.CopyFrom(folder_.path());
  for (const auto& it : FilesWithPrefix(copy.path(), "log-")) {
    fs::remove(it);
  }
  EXPECT_FALSE(Reopen(copy.path(), why));
}

// A power loss leaves whole unwritten sectors at the end of a large last frame.
// Zeros that don't fill whole sectors from inside the frame are damage.
TEST_F(DamageTest, OnlyWholeUnwrittenSectorsAreTorn) {
  constexpr size_t kSectorBytes = 512;
  const TemporaryFolder folder;
  StorageReason why;
  {
    Recovered out;
    auto journal = Journal::Open(folder.path(), out, why);
    const std::vector<Record> records = {
        MakeRecord(1, 1, "kept"), MakeRecord(2, 1, std::string(4000, 'p'))};
    ASSERT_TRUE(journal->Append(records, why) && journal->Sync(why));
  }
  const auto file = FilesWithPrefix(folder.path(), "log-").front();
  const std::string whole = ReadFile(file);
  ASSERT_GT(whole.size() % kSectorBytes, 8U);
  const auto with_zeros_from = [&](size_t n) {
    return whole.substr(0, n) + std::string(whole.size() - n, '\0');
  };
  std::string flipped = whole;
  flipped[whole.size() - 1] ^= kFlip;
  for (const auto& damaged :
       {with_zeros_from(whole.size() - 4), flipped + std::string(4096, '\0')}) {
    WriteFile(file, damaged);
    EXPECT_FALSE(Reopen(folder.path(), why));
    EXPECT_EQ(why.code, StorageError::kCorrupt);
  }
  WriteFile(file, with_zeros_from(4 * kSectorBytes));
  const auto out = Reopen(folder.path(), why);
  ASSERT_TRUE(out) << why.message;
  EXPECT_EQ(out->records.size(), 1U);
}

TEST_F(DamageTest, EmptyFrameIsRefused) {
  const auto last = FilesWithPrefix(folder_.path(), "log-").back();
  // Length 0, the checksum of the length, and the checksum of no bytes.
  const std::string frame("\0\0\0\0\xC7\x4B\x67\x48\0\0\0\0", 12);
  WriteFile(last, ReadFile(last) + frame + "R");
  StorageReason why;
  EXPECT_FALSE(Reopen(folder_.path(), why));
  EXPECT_EQ(why.code, StorageError::kCorrupt);
}

TEST_F(DamageTest, SnapshotThatIsNotWholeIsRefused) {
  const auto file = FilesWithPrefix(folder_.path(), "snapshot-").front();
  const std::string whole = ReadFile(file);
  StorageReason why;
  for (size_t n = 0; n < whole.size(); ++n) {
    WriteFile(file, whole.substr(0, n));
    ASSERT_FALSE(Reopen(folder_.path(), why)) << n;
    ASSERT_EQ(why.code, StorageError::kCorrupt);
  }
  WriteFile(file, whole + "more");
  EXPECT_FALSE(Reopen(folder_.path(), why));
  WriteFile(file, whole);
  fs::rename(file, file.parent_path() / "snapshot-00000000000000000011");
  EXPECT_FALSE(Reopen(folder_.path(), why));
  EXPECT_EQ(why.code, StorageError::kCorrupt);
}

TEST_F(DamageTest, MissingSegmentIsReported) {
  fs::remove(FilesWithPrefix(folder_.path(), "log-")[1]);
  StorageReason why;
  EXPECT_FALSE(Reopen(folder_.path(), why));
  EXPECT_NE(why.message.find("is missing"), std::string::npos) << why.message;
}

// A crash left the newest segment without its hard state. The vote must survive
// the removal of the older segments.
TEST_F(DamageTest, EmptyLastSegmentKeepsTheVote) {
  WriteFile(FilesWithPrefix(folder_.path(), "log-").back(), "");
  StorageReason why;
  Recovered model;
  {
    auto journal = Journal::Open(folder_.path(), model, why);
    ASSERT_TRUE(journal) << why.message;
    ASSERT_TRUE(journal->SaveSnapshot(MakeSnapshot(40, 1, "s"), why));
  }
  ASSERT_EQ(FilesWithPrefix(folder_.path(), "log-").size(), 1U);
  EXPECT_EQ(Reopen(folder_.path(), why)->hard_state, model.hard_state);
}

// A crash between any two steps of saving a snapshot and compacting must not
// lose state.
TEST_F(DamageTest, CrashWhileSavingASnapshotKeepsTheState) {
  const TemporaryFolder after;
  after.CopyFrom(folder_.path());
  StorageReason why;
  Recovered model;
  {
    auto journal = Journal::Open(after.path(), model, why,
                                 {.segment_bytes = kSmallSegmentBytes});
    ASSERT_TRUE(journal);
    ASSERT_TRUE(journal->SaveSnapshot(MakeSnapshot(25, 1, "newer"), why));
  }
  const auto new_snapshot = FilesWithPrefix(after.path(), "snapshot-").back();
  const auto removed_segments = FilesWithPrefix(folder_.path(), "log-").size() -
                                FilesWithPrefix(after.path(), "log-").size();
  ASSERT_GT(removed_segments, 0U);

  // Crash before the rename: the temporary file has any size.
  const std::string bytes = ReadFile(new_snapshot);
  const fs::path temporary =
      folder_.path() / (new_snapshot.filename().string() + ".tmp");
  for (size_t n = 0; n <= bytes.size(); ++n) {
    WriteFile(temporary, bytes.substr(0, n));
    const auto out = Reopen(folder_.path(), why);
    ASSERT_TRUE(out) << why.message;
    ASSERT_TRUE(IsSameState(*out, model));
    ASSERT_FALSE(fs::exists(temporary));
  }
  // Crash after the rename: some of the old segments are removed.
  ApplyToModel({.snapshot = MakeSnapshot(25, 1, "newer")}, model);
  for (size_t n = 0; n <= removed_segments; ++n) {
    const TemporaryFolder copy;
    copy.CopyFrom(folder_.path());
    WriteFile(copy.path() / new_snapshot.filename(), bytes);
    const auto segments = FilesWithPrefix(copy.path(), "log-");
    for (size_t i = 0; i < n; ++i) {
      fs::remove(segments[i]);
    }
    const auto out = Reopen(copy.path(), why);
    ASSERT_TRUE(out) << why.message;
    ASSERT_TRUE(IsSameState(*out, model));
    ASSERT_EQ(FilesWithPrefix(copy.path(), "log-").size(),
              FilesWithPrefix(after.path(), "log-").size());
  }
}

}  // namespace
}  // namespace sassafras::storage
