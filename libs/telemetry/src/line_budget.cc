// Counts lines by kind and second.

#include "line_budget.h"

#include <chrono>
#include <utility>

namespace sassafras::telemetry {
namespace {

int64_t SecondOf(base::Instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

}  // namespace

bool LineBudget::Take(std::string_view kind, base::Instant now) {
  if (limit_ == 0) {
    return true;
  }
  auto it = usages_.find(kind);
  if (it == usages_.end()) {
    it = usages_.emplace(std::string(kind), Usage{}).first;
  }
  Usage& usage = it->second;
  const int64_t second = SecondOf(now);
  if (usage.second != second) {
    usage.second = second;
    usage.written = 0;
  }
  if (usage.written >= limit_) {
    ++usage.omitted;
    return false;
  }
  ++usage.written;
  return true;
}

std::vector<OmittedLines> LineBudget::TakeOmitted(base::Instant now) {
  std::vector<OmittedLines> omitted;
  for (auto& [kind, usage] : usages_) {
    if (usage.omitted > 0 && usage.second < SecondOf(now)) {
      omitted.push_back({kind, std::exchange(usage.omitted, 0)});
    }
  }
  return omitted;
}

}  // namespace sassafras::telemetry
