// The ledger on a file opened for appending.

#include "ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace sassafras::samples {

namespace {

constexpr int kClosed = -1;
constexpr mode_t kFileMode = 0644;

}  // namespace

std::optional<Ledger> Ledger::Open(const std::string& path, SampleReason& why) {
  if (path.empty()) {
    return Ledger(kClosed);
  }
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (file < 0) {
    why.Set(SampleError::kCannotOpen,
            "cannot open ledger \"" + path + "\": " + std::strerror(errno));
    return std::nullopt;
  }
  return Ledger(file);
}

Ledger::~Ledger() {
  if (file_ != kClosed) {
    close(file_);
  }
}

Ledger::Ledger(Ledger&& other) noexcept
    : file_(std::exchange(other.file_, kClosed)) {}

Ledger& Ledger::operator=(Ledger&& other) noexcept {
  std::swap(file_, other.file_);
  return *this;
}

void Ledger::Note(std::string_view text) {
  if (file_ == kClosed) {
    return;
  }
  const std::string line =
      std::to_string(MonotonicUs()) + " " + std::string(text) + "\n";
  // A test reads the file; what couldn't be written is missing there.
  [[maybe_unused]] const auto n = write(file_, line.data(), line.size());
}

int64_t MonotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace sassafras::samples
