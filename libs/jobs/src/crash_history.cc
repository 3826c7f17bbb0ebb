// Compares crashes of workers by their time and by the tasks that may be their
// cause.

#include "jobs/crash_history.h"

#include <algorithm>
#include <utility>

namespace sassafras::jobs {
namespace {

// A loss is proved this long after the crash at the latest, by the end of the
// lease.
constexpr base::Duration kKeptTime = std::chrono::seconds(20);

bool IsSameTask(const CrashSuspect& suspect, const TaskKey& task) {
  return suspect.is_gang ? suspect.task.step == task.step
                         : suspect.task == task;
}

bool IsSameMoment(base::Instant left, base::Instant right) {
  return std::max(left, right) - std::min(left, right) <=
         CrashHistory::kSameMoment;
}

}  // namespace

void CrashHistory::Add(WorkerCrash crash) {
  while (!crashes_.empty() && crashes_.front().at < crash.at - kKeptTime) {
    crashes_.pop_front();
  }
  const bool is_known = std::ranges::any_of(crashes_, [&](auto& it) {
    return it.worker == crash.worker && it.at == crash.at;
  });
  if (!is_known) {
    crashes_.push_back(std::move(crash));
  }
}

CrashRole CrashHistory::Weigh(const CrashSuspect& suspect,
                              CrashRole role) const {
  // Another job's task explains the other crash, and so does the suspect
  // itself.
  const auto explains = [&](const TaskKey& task) {
    return task.step.job != suspect.task.step.job || IsSameTask(suspect, task);
  };
  for (const WorkerCrash& crash : crashes_) {
    if (crash.worker == suspect.worker || !IsSameMoment(crash.at, suspect.at)) {
      continue;
    }
    if (crash.suspects.empty()) {
      return CrashRole::kNone;
    }
    if (role == CrashRole::kSole &&
        std::ranges::none_of(crash.suspects, explains)) {
      role = CrashRole::kEarly;
    }
  }
  return role;
}

}  // namespace sassafras::jobs
