// Weighs the crashes of workers under a task.

#include "jobs/crash.h"

#include <algorithm>
#include <iterator>

namespace sassafras::jobs {
namespace {

// Crashes of which the task was the only possible cause, before it is given up.
constexpr int64_t kMinSoleCrashes = 2;
// Crashes after which even a task whose runs lived longer than kTrialTime is
// suspected.
constexpr size_t kMaxLateCrashes = 3;

CrashRole RoleOf(const CrashedRun& run,
                 std::span<const CrashedRun> runs,
                 bool has_crashed) {
  if (!MayBeCause(run)) {
    return run.age <= kLongTrialTime ? CrashRole::kLate : CrashRole::kNone;
  }
  // A job fails as a whole, so its runs needn't be told apart.
  const bool is_sole =
      has_crashed && std::ranges::none_of(runs, [&](auto& other) {
        return other.task.step.job != run.task.step.job && MayBeCause(other);
      });
  return is_sole ? CrashRole::kSole : CrashRole::kEarly;
}

}  // namespace

bool MayBeCause(const CrashedRun& run) {
  return run.age <= TrialTime(run.earlier);
}

bool IsSuspect(std::span<const CrashRecord> crashes) {
  const bool has_early = std::ranges::any_of(
      crashes, [](auto& it) { return it.role != CrashRole::kLate; });
  return has_early || crashes.size() >= kMaxLateCrashes;
}

bool IsCrashCause(std::span<const CrashRecord> crashes, uint32_t max_attempts) {
  const auto sole =
      std::ranges::count(crashes, CrashRole::kSole, &CrashRecord::role);
  const bool is_convicted =
      sole >= kMinSoleCrashes || crashes.size() >= kMaxCrashes;
  return is_convicted &&
         crashes.size() >= std::min<size_t>(max_attempts, kMaxCrashes);
}

base::Duration TrialTime(std::span<const CrashRecord> crashes) {
  return crashes.size() >= kMaxLateCrashes ? kLongTrialTime : kTrialTime;
}

base::Duration ProofTime(std::span<const CrashRecord> crashes) {
  const bool has_late = std::ranges::any_of(
      crashes, [](auto& it) { return it.role == CrashRole::kLate; });
  return has_late ? kLongTrialTime : TrialTime(crashes);
}

std::vector<CrashRole> RolesOf(std::span<const CrashedRun> runs,
                               bool has_crashed) {
  std::vector<CrashRole> roles;
  std::ranges::transform(runs, std::back_inserter(roles), [&](auto& run) {
    return RoleOf(run, runs, has_crashed);
  });
  return roles;
}

}  // namespace sassafras::jobs
