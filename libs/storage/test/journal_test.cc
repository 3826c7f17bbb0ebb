// Compares the journal with an in-memory model for random requests, and tests
// which calls and folders it rejects and which files it removes.

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "journal_test_util.h"
#include "storage/journal.h"

namespace sassafras::storage {
namespace {

// Returns a random request that a replica may make in the state `model`.
PersistRequest ArbitraryRequest(const Recovered& model) {
  PersistRequest out;
  const uint64_t base = model.snapshot ? model.snapshot->meta.index.value() : 0;
  uint64_t last = LastIndex(model).value();
  const uint64_t term = model.hard_state.term.value() + 1;
  const int kind = *rc::gen::inRange(0, 8);
  if (kind <= 1) {
    out.hard_state = HardState{Term(term), ReplicaId("b")};
  }
  if (kind == 1 && last > base) {
    last = *rc::gen::inRange(base, last);
    out.truncate_from = Index(last + 1);
  }
  if (kind == 2 || kind == 3) {
    const uint64_t index = base + *rc::gen::inRange<uint64_t>(1, 20);
    out.snapshot =
        MakeSnapshot(index, term, *rc::gen::arbitrary<std::string>());
    last = std::max(last, index);
  }
  const auto payloads = *rc::gen::arbitrary<std::vector<std::string>>();
  for (const auto& payload : payloads) {
    out.records.push_back(MakeRecord(++last, term, payload));
  }
  return out;
}

RC_GTEST_PROP(JournalTest, RecoversSyncedState, ()) {
  const TemporaryFolder folder;
  StorageReason why;
  Recovered model;
  auto journal = Journal::Open(folder.path(), model, why,
                               {.segment_bytes = kSmallSegmentBytes});
  RC_ASSERT(journal.has_value());
  const ReplicaId id = model.id;
  const int requests = *rc::gen::inRange(1, 8);
  for (int i = 0; i < requests; ++i) {
    const PersistRequest request = ArbitraryRequest(model);
    RC_ASSERT(journal->Persist(request, why));
    ApplyToModel(request, model);
    if (i + 1 == requests || *rc::gen::inRange(0, 3) == 0) {
      RC_ASSERT(journal->Sync(why));
      journal.reset();
      Recovered out;
      journal = Journal::Open(folder.path(), out, why,
                              {.segment_bytes = kSmallSegmentBytes});
      RC_ASSERT(journal.has_value());
      RC_ASSERT(IsSameState(out, model));
      RC_ASSERT(out.id == id);
    }
  }
  journal.reset();
  const auto out = Reopen(folder.path(), why);
  RC_ASSERT(out.has_value());
  RC_ASSERT(IsSameState(*out, model));
}

TEST(JournalFolderTest, IsLockedWhileOpen) {
  const TemporaryFolder folder;
  StorageReason why;
  Recovered out;
  auto first = Journal::Open(folder.path(), out, why);
  ASSERT_TRUE(first);
  EXPECT_FALSE(Journal::Open(folder.path(), out, why));
  EXPECT_EQ(why.code, StorageError::kLocked);
  first.reset();
  EXPECT_TRUE(Journal::Open(folder.path(), out, why)) << why.message;
}

TEST(JournalFolderTest, RefusesGapsAndCoveredTruncations) {
  const TemporaryFolder folder;
  StorageReason why;
  Recovered out;
  auto journal = Journal::Open(folder.path(), out, why);
  ASSERT_TRUE(journal);
  const Record gap = MakeRecord(2, 1, "gap");
  EXPECT_FALSE(journal->Append({&gap, 1}, why));
  EXPECT_EQ(why.code, StorageError::kNotContiguous);
  ASSERT_TRUE(journal->SaveSnapshot(MakeSnapshot(5, 1, "s"), why));
  EXPECT_FALSE(journal->Truncate(Index(5), why));
}

// A folder without an identity file that holds a vote, records or a snapshot
// must not be opened as a new one.
TEST(JournalFolderTest, LostIdentityIsRefused) {
  StorageReason why;
  const auto reopen_without = [&](const PersistRequest& request) {
    const TemporaryFolder folder;
    Recovered out;
    auto journal = Journal::Open(folder.path(), out, why);
    EXPECT_TRUE(journal->Persist(request, why) && journal->Sync(why));
    journal.reset();
    fs::remove(folder.path() / "identity");
    return Reopen(folder.path(), why).has_value();
  };
  EXPECT_FALSE(reopen_without({.hard_state = HardState{Term(1), ReplicaId()}}));
  EXPECT_FALSE(reopen_without({.records = {MakeRecord(1, 1, "r")}}));
  EXPECT_FALSE(reopen_without({.snapshot = MakeSnapshot(5, 1, "s")}));
}

TEST(JournalFolderTest, KeepsTheNewestSnapshotOnly) {
  const TemporaryFolder folder;
  StorageReason why;
  Recovered out;
  auto journal = Journal::Open(folder.path(), out, why);
  for (const uint64_t index : {5, 9, 7}) {
    ASSERT_TRUE(journal->SaveSnapshot(MakeSnapshot(index, 1, "s"), why));
  }
  EXPECT_EQ(FilesWithPrefix(folder.path(), "snapshot-").size(), 1U);
  journal.reset();
  EXPECT_EQ(Reopen(folder.path(), why)->snapshot->meta.index, Index(9));
}

// Each new snapshot must remove older snapshots and the segments it covers.
TEST(JournalFolderTest, DiskUseStaysBounded) {
  constexpr size_t kSegmentBytes = (16 << 10);
  constexpr uint64_t kRounds = 20;
  constexpr uint64_t kPerRound = 200;
  const TemporaryFolder folder;
  StorageReason why;
  Recovered out;
  auto journal =
      Journal::Open(folder.path(), out, why, {.segment_bytes = kSegmentBytes});
  ASSERT_TRUE(journal);
  uint64_t last = 0;
  for (uint64_t round = 0; round < kRounds; ++round) {
    for (uint64_t i = 0; i < kPerRound; ++i) {
      const Record it = MakeRecord(++last, 1, std::string(100, 'p'));
      ASSERT_TRUE(journal->Append({&it, 1}, why));
    }
    ASSERT_TRUE(journal->SaveSnapshot(MakeSnapshot(last, 1, "s"), why));
    // Bound: the open segment, the one before it, and the snapshot.
    ASSERT_LE(journal->DiskBytes(), 3 * kSegmentBytes);
  }
}

}  // namespace
}  // namespace sassafras::storage
