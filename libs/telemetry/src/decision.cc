// Builds decision lines; quoting keeps foreign values inside their field.

#include "telemetry/decision.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include "escape.h"
#include "line_budget.h"
#include "telemetry/log.h"

namespace sassafras::telemetry {

namespace {

constexpr size_t kMaxValueBytes = 256;

// The budget of the process and what guards it.
struct SharedBudget {
  std::mutex mutex;
  LineBudget budget{0};
};

SharedBudget& Shared() {
  static auto* const shared = new SharedBudget;
  return *shared;
}

base::Instant Now() {
  return base::Instant(std::chrono::duration_cast<base::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

bool IsBareCharacter(char c) {
  constexpr std::string_view kPunctuation = "._:/@+-";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         kPunctuation.find(c) != std::string_view::npos;
}

}  // namespace

std::string QuoteValue(std::string_view text) {
  const auto cut = text.substr(0, kMaxValueBytes);
  const std::string_view mark = cut.size() < text.size() ? "..." : "";
  if (!text.empty() && mark.empty() &&
      std::ranges::all_of(cut, IsBareCharacter)) {
    return std::string(cut);
  }
  return "\"" + EscapeQuoted(cut) + std::string(mark) + "\"";
}

void LimitDecisions(uint32_t lines_per_second) {
  SharedBudget& shared = Shared();
  const std::lock_guard lock(shared.mutex);
  shared.budget = LineBudget(lines_per_second);
}

void ReportOmittedDecisions() {
  SharedBudget& shared = Shared();
  std::vector<OmittedLines> omitted;
  {
    const std::lock_guard lock(shared.mutex);
    omitted = shared.budget.TakeOmitted(Now());
  }
  for (const OmittedLines& it : omitted) {
    Decision("left-out").With("kind", it.kind).With("count", it.count).Write();
  }
}

Decision::Decision(std::string_view kind) {
  SharedBudget& shared = Shared();
  const std::lock_guard lock(shared.mutex);
  is_omitted_ = !shared.budget.Take(kind, Now());
  if (!is_omitted_) {
    line_ = "decision=" + QuoteValue(kind);
  }
}

Decision& Decision::With(std::string_view key, std::string_view value) {
  return is_omitted_ ? *this : WithBare(key, QuoteValue(value));
}

Decision& Decision::With(std::string_view key, bool value) {
  return WithBare(key, value ? "true" : "false");
}

Decision& Decision::With(std::string_view key, double value) {
  return WithBare(key, RenderNumber(value));
}

Decision& Decision::WithBare(std::string_view key, std::string_view value) {
  if (is_omitted_) {
    return *this;
  }
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += value;
  return *this;
}

void Decision::Write() const {
  if (!is_omitted_) {
    Log(LogLevel::kInfo, line_);
  }
}

}  // namespace sassafras::telemetry
