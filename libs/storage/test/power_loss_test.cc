// Simulates a power loss before and after every sync. This binary replaces
// fdatasync() and write(), and a simulated disk records which data is durable
// at each sync.

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "journal_test_util.h"
#include "storage/journal.h"

namespace {

std::function<void(int fd)> sync_hook;  // called before each sync if set
bool is_sync_failing = false;
size_t max_write_bytes = SIZE_MAX;  // limit for one write() call

}  // namespace

extern "C" int fdatasync(int fd) {
  if (is_sync_failing) {
    errno = EIO;
    return -1;
  }
  if (sync_hook) {
    sync_hook(fd);
  }
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

extern "C" ssize_t write(int fd, const void* buf, size_t n) {
  return ::syscall(SYS_write, fd, buf, std::min(n, max_write_bytes));
}

namespace sassafras::storage {
namespace {

// Returns 0 if the file doesn't exist.
ino_t InodeOf(const fs::path& path) {
  struct stat it {};
  return ::stat(path.c_str(), &it) == 0 ? it.st_ino : 0;
}

// Tracks which names and contents of the data folder are durable. Contents
// become durable when the file is synced, names when the folder is synced, and
// the folder itself when its parent is synced. At a power loss, each change of
// a name since the last sync, alone or together with all others, may have
// reached the disk, and so may unsynced contents.
class SimulatedDisk {
 public:
  explicit SimulatedDisk(fs::path folder) : folder_(std::move(folder)) {}

  // Marks the file or folder behind `fd` as durable.
  void RecordSync(int fd) {
    struct stat it {};
    ::fstat(fd, &it);
    const auto names = CurrentNames();
    if (it.st_ino == InodeOf(folder_ / "..")) {
      is_folder_durable_ = true;
    } else if (it.st_ino == InodeOf(folder_)) {
      durable_names_ = names;
    }
    for (const auto& [name, inode] : names) {
      if (inode == it.st_ino) {
        durable_bytes_[inode] = ReadFile(folder_ / name);
      }
    }
  }

  // Calls `check` with a copy of each folder that a power loss may leave now.
  void ForEachCrashImage(const std::function<void(const fs::path&)>& check) {
    const auto current_names = CurrentNames();
    auto changed = current_names;
    changed.insert(durable_names_.begin(), durable_names_.end());
    if (!is_folder_durable_) {
      ForEachContent({}, check);
      return;
    }
    ForEachContent(durable_names_, check);
    ForEachContent(current_names, check);
    for (const auto& name : changed) {
      const auto it = current_names.find(name.first);
      auto names = durable_names_;
      names.erase(name.first);
      if (it != current_names.end()) {
        names.insert(*it);
      }
      if (names != durable_names_) {
        ForEachContent(names, check);
      }
    }
  }

 private:
  using NameMap = std::map<std::string, ino_t>;

  // Returns the current names. Keeps a hard link to each file, so that its
  // inode number isn't reused after the file is removed.
  NameMap CurrentNames() {
    NameMap out;
    for (const auto& it : FilesWithPrefix(folder_, "")) {
      out[it.filename().string()] = InodeOf(it);
      std::error_code ec;
      fs::create_hard_link(
          it, inode_links_.path() / std::to_string(out[it.filename().string()]),
          ec);
    }
    return out;
  }

  // Builds an image of the files `names`, once with durable contents only and
  // once with all written contents.
  void ForEachContent(const NameMap& names,
                      const std::function<void(const fs::path&)>& check) {
    for (const bool is_written : {false, true}) {
      const TemporaryFolder image;
      for (const auto& [name, inode] : names) {
        WriteFile(image.path() / name,
                  is_written
                      ? ReadFile(inode_links_.path() / std::to_string(inode))
                      : durable_bytes_[inode]);
      }
      check(image.path());
    }
  }

  fs::path folder_;
  TemporaryFolder inode_links_;
  NameMap durable_names_;
  std::map<ino_t, std::string> durable_bytes_;
  bool is_folder_durable_ = false;
};

// Returns the states that a crash during `request` may leave.
std::vector<Recovered> PossibleStates(const PersistRequest& request,
                                      Recovered model) {
  std::vector<Recovered> out = {model};
  const auto add = [&](const PersistRequest& part) {
    ApplyToModel(part, model);
    out.push_back(model);
  };
  add({.hard_state = request.hard_state});
  add({.truncate_from = request.truncate_from});
  add({.snapshot = request.snapshot});
  for (const Record& record : request.records) {
    add({.records = {record}});
  }
  return out;
}

class PowerLossTest : public testing::Test {
 protected:
  void SetUp() override {
    sync_hook = [this](int fd) {
      CheckCrashImages();
      disk_.RecordSync(fd);
      CheckCrashImages();
    };
    Open();
  }
  void TearDown() override {
    sync_hook = nullptr;
    is_sync_failing = false;
    max_write_bytes = SIZE_MAX;
  }

  // Opens the journal; the recovered state must be durable at once.
  void Open() {
    StorageReason why;
    journal_.reset();
    journal_ = Journal::Open(path_, model_, why,
                             {.segment_bytes = kSmallSegmentBytes});
    ASSERT_TRUE(journal_) << why.message;
    allowed_states_ = {model_};
    CheckCrashImages();
  }

  void Save(const PersistRequest& request) {
    StorageReason why;
    allowed_states_ = PossibleStates(request, model_);
    ASSERT_TRUE(journal_->Persist(request, why)) << why.message;
    ASSERT_TRUE(journal_->Sync(why)) << why.message;
    ApplyToModel(request, model_);
    allowed_states_ = {model_};
    CheckCrashImages();
  }

  void SaveRecords(uint64_t from, uint64_t to) {
    PersistRequest request;
    for (uint64_t i = from; i <= to; ++i) {
      request.records.push_back(MakeRecord(i, 1, std::string(90, 'r')));
    }
    Save(request);
  }

  // Checks that each possible crash image recovers one of `allowed_states_`.
  void CheckCrashImages() {
    const auto hook = std::exchange(sync_hook, nullptr);
    disk_.ForEachCrashImage([this](const fs::path& image) {
      Recovered out;
      StorageReason why;
      const auto journal = Journal::Open(image, out, why);
      ASSERT_TRUE(journal) << why.message;
      ASSERT_TRUE(std::ranges::any_of(
          allowed_states_,
          [&](const Recovered& it) { return IsSameState(it, out); }))
          << "records " << out.records.size();
      ASSERT_TRUE(model_.id.str().empty() || out.id == model_.id);
    });
    sync_hook = hook;
  }

  TemporaryFolder root_;
  fs::path path_ = root_.path() / "data";
  SimulatedDisk disk_{path_};
  Recovered model_;
  // States that a power loss may leave at this point.
  std::vector<Recovered> allowed_states_ = {Recovered()};
  std::optional<Journal> journal_;
};

TEST_F(PowerLossTest, SyncedStateSurvives) {
  Save({.hard_state = HardState{Term(1), ReplicaId("a")}});
  SaveRecords(1, 3);
  SaveRecords(4, 20);
  Save({.hard_state = HardState{Term(2), ReplicaId("b")},
        .truncate_from = Index(18),
        .records = {MakeRecord(18, 2, "replaced")}});
  Save({.snapshot = MakeSnapshot(15, 1, "taken")});
  SaveRecords(19, 30);
  // Snapshots installed by a leader: one beyond the end of the log, and one
  // within a log whose remaining records conflict with the leader's.
  Save({.snapshot = MakeSnapshot(100, 3, "installed"),
        .records = {MakeRecord(101, 3, "after it")}});
  SaveRecords(102, 110);
  Save({.truncate_from = Index(102), .snapshot = MakeSnapshot(105, 4, "new")});
  Save({.hard_state = HardState{Term(5), ReplicaId("c")}});
}

// The record exceeds the journal's write buffer, so it is written but not
// synced before the journal is reopened.
TEST_F(PowerLossTest, RecoveredStateIsDurable) {
  StorageReason why;
  const PersistRequest request{
      .records = {MakeRecord(1, 1, std::string(2 << 20, 'r'))}};
  allowed_states_ = PossibleStates(request, model_);
  ASSERT_TRUE(journal_->Persist(request, why));
  Open();
  EXPECT_EQ(model_.records, request.records);
}

TEST_F(PowerLossTest, FailedSyncIsReported) {
  StorageReason why;
  const Record record = MakeRecord(1, 1, "r");
  ASSERT_TRUE(journal_->Append({&record, 1}, why));
  is_sync_failing = true;
  EXPECT_FALSE(journal_->Sync(why));
  EXPECT_EQ(why.code, StorageError::kIo);
}

TEST_F(PowerLossTest, ShortWritesAreContinued) {
  max_write_bytes = 7;
  SaveRecords(1, 5);
}

}  // namespace
}  // namespace sassafras::storage
