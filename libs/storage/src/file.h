// File operations used by the journal. Failed calls set an error message that
// names the operation, the file and the system error.

#ifndef STORAGE_FILE_H_
#define STORAGE_FILE_H_

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "storage/journal.h"

namespace sassafras::storage {

// Owns one file descriptor and closes it on destruction. Not thread-safe.
class File {
 public:
  // Opens `path` with the flags of open(2); O_CLOEXEC is added. Returns nullopt
  // and sets `why` on failure. Error: kIo.
  static std::optional<File> Open(const std::filesystem::path& path,
                                  int flags,
                                  StorageReason& why);
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  ~File();

  const std::filesystem::path& path() const { return path_; }

  // Writes all of `bytes`; continues after short writes. Error: kIo.
  bool Write(std::string_view bytes, StorageReason& why);
  // Returns the contents of the whole file, or nullopt on failure. Error: kIo.
  std::optional<std::string> ReadAll(StorageReason& why) const;
  // Sets the file size to `bytes`. Error: kIo.
  bool Truncate(size_t bytes, StorageReason& why);
  // Makes written data durable with fdatasync(2). Error: kIo.
  bool Sync(StorageReason& why);
  // Takes an exclusive lock that is held until the descriptor is closed; does
  // not block. Errors: kLocked, kIo.
  bool Lock(StorageReason& why);

 private:
  File(std::filesystem::path path, int fd);
  // Sets `why` from errno; always returns false.
  bool SetError(std::string_view call, StorageReason& why) const;

  std::filesystem::path path_;
  int fd_ = -1;  // -1: no descriptor
};

// Makes the directory entries of `folder` durable. Error: kIo.
bool SyncFolder(const std::filesystem::path& folder, StorageReason& why);

// Replaces the file at `path` atomically: writes and syncs a temporary file
// beside it, renames that to `path` and syncs the folder. Error: kIo.
bool ReplaceFile(const std::filesystem::path& path,
                 std::string_view bytes,
                 StorageReason& why);

// Removes the file; succeeds if it doesn't exist. Error: kIo.
bool RemoveFile(const std::filesystem::path& path, StorageReason& why);

// Suffix of the temporary files that ReplaceFile() writes.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

}  // namespace sassafras::storage

#endif  // STORAGE_FILE_H_
