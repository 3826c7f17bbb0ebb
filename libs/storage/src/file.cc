// Implements file operations with POSIX calls.

#include "file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace sassafras::storage {

namespace {

constexpr int kFileMode = 0600;  // read and write for the owner only

std::string SystemMessage(int code) {
  return std::generic_category().message(code);
}

}  // namespace

File::File(std::filesystem::path path, int fd)
    : path_(std::move(path)), fd_(fd) {}

File::File(File&& other) noexcept
    : path_(std::move(other.path_)), fd_(std::exchange(other.fd_, -1)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(path_, other.path_);
  std::swap(fd_, other.fd_);
  return *this;
}

File::~File() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

bool File::SetError(std::string_view call, StorageReason& why) const {
  const int code = errno;
  return why.Set(StorageError::kIo, std::string(call) + " of \"" +
                                        path_.string() +
                                        "\": " + SystemMessage(code));
}

std::optional<File> File::Open(const std::filesystem::path& path,
                               int flags,
                               StorageReason& why) {
  File file(path, ::open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (file.fd_ < 0) {
    file.SetError("open", why);
    return std::nullopt;
  }
  return file;
}

bool File::Write(std::string_view bytes, StorageReason& why) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return SetError("write", why);
    }
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

std::optional<std::string> File::ReadAll(StorageReason& why) const {
  std::string bytes;
  std::array<char, size_t{64} * 1024> buf;
  while (true) {
    const ssize_t n =
        ::pread(fd_, buf.data(), buf.size(), static_cast<off_t>(bytes.size()));
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      SetError("read", why);
      return std::nullopt;
    }
    if (n == 0) {
      return bytes;
    }
    bytes.append(buf.data(), static_cast<size_t>(n));
  }
}

bool File::Truncate(size_t bytes, StorageReason& why) {
  return ::ftruncate(fd_, static_cast<off_t>(bytes)) == 0 ||
         SetError("truncate", why);
}

bool File::Sync(StorageReason& why) {
  return ::fdatasync(fd_) == 0 || SetError("sync", why);
}

bool File::Lock(StorageReason& why) {
  if (::flock(fd_, LOCK_EX | LOCK_NB) == 0) {
    return true;
  }
  if (errno != EWOULDBLOCK) {
    return SetError("lock", why);
  }
  return why.Set(StorageError::kLocked, "data folder \"" +
                                            path_.parent_path().string() +
                                            "\" is in use by another process");
}

bool SyncFolder(const std::filesystem::path& folder, StorageReason& why) {
  auto file = File::Open(folder, O_RDONLY | O_DIRECTORY, why);
  return file && file->Sync(why);
}

bool ReplaceFile(const std::filesystem::path& path,
                 std::string_view bytes,
                 StorageReason& why) {
  std::filesystem::path temporary = path;
  temporary += kTemporarySuffix;
  auto file = File::Open(temporary, O_WRONLY | O_CREAT | O_TRUNC, why);
  if (!file || !file->Write(bytes, why) || !file->Sync(why)) {
    return false;
  }
  std::error_code ec;
  std::filesystem::rename(temporary, path, ec);
  if (ec) {
    return why.Set(StorageError::kIo,
                   "rename of \"" + temporary.string() + "\": " + ec.message());
  }
  return SyncFolder(path.parent_path(), why);
}

bool RemoveFile(const std::filesystem::path& path, StorageReason& why) {
  std::error_code ec;
  std::filesystem::remove(path, ec);
  return !ec || why.Set(StorageError::kIo, "removal of \"" + path.string() +
                                               "\": " + ec.message());
}

}  // namespace sassafras::storage
