// An append-only text file in which a sample program notes what it really did,
// so that tests can compare it with what the cluster says.

#ifndef SAMPLES_SRC_LEDGER_H_
#define SAMPLES_SRC_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/reason.h"

namespace sassafras::samples {

enum class SampleError { kNone, kCannotOpen, kBadOption };
using SampleReason = base::Reason<SampleError>;

// Each line is one write, so that a killed process leaves whole lines only.
class Ledger {
 public:
  // An empty path gives a ledger that drops its lines. Error: kCannotOpen.
  static std::optional<Ledger> Open(const std::string& path, SampleReason& why);
  ~Ledger();
  Ledger(Ledger&& other) noexcept;
  Ledger& operator=(Ledger&& other) noexcept;

  // Appends `text` after the monotonic time in microseconds.
  void Note(std::string_view text);

 private:
  explicit Ledger(int file) : file_(file) {}

  int file_;  // -1: lines are dropped
};

// Monotonic time in microseconds, the same for all processes of a machine.
int64_t MonotonicUs();

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_LEDGER_H_
