// Tells which tasks may have crashed the workers that they ran on. A task that
// crashes its worker does so soon after its start, so of the runs on a crashed
// worker only the youngest are suspected. A suspect is next started in a trial:
// on a worker without other young runs, which gets no other work for a while.

#ifndef JOBS_CRASH_H_
#define JOBS_CRASH_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"
#include "jobs/types.h"
#include "wire/array_json.h"

namespace sassafras::jobs {

// What the crash of a worker says about one run that was on it.
enum class CrashRole {
  kNone,   // lived too long to be the cause
  kLate,   // lived longer than tasks that crash their workers usually do
  kEarly,  // one of several jobs whose runs may be the cause
  kSole,   // no run of another job may be the cause
};
NLOHMANN_JSON_SERIALIZE_ENUM(CrashRole,
                             {{CrashRole::kNone, "none"},
                              {CrashRole::kLate, "late"},
                              {CrashRole::kEarly, "early"},
                              {CrashRole::kSole, "sole"}})

// A crash of a worker under a run of a task. Counted once for each run.
struct CrashRecord {
  WorkerBoot worker;
  uint64_t run = 0;
  CrashRole role = CrashRole::kNone;
  int64_t at_ms = 0;  // leader's wall clock, ms since 1970; for reports only
};
WIRE_DEFINE_ARRAY(CrashRecord, worker, run, role, at_ms)

// The crashes of a task since one of its runs has proved that it is sound; at
// most kMaxCrashes.
using Crashes = std::vector<CrashRecord>;

// A task with so many crashes is given up, whatever their roles.
constexpr size_t kMaxCrashes = 5;
// Time from its start during which a run may be the cause of a crash.
constexpr base::Duration kTrialTime = std::chrono::milliseconds(500);
// The same for a task that has crashed several workers later than that.
constexpr base::Duration kLongTrialTime = std::chrono::seconds(5);

// Whether the task must be started in a trial.
bool IsSuspect(std::span<const CrashRecord> crashes);
// Whether the crashes show that the task is their cause, so that it must not be
// started again. A task with fewer crashes than its queue allows attempts isn't
// given up: workers crash for other reasons, too.
bool IsCrashCause(std::span<const CrashRecord> crashes, uint32_t max_attempts);
// How long the worker of a run gets no other work, if the task is a suspect.
base::Duration TrialTime(std::span<const CrashRecord> crashes);
// How long a run must live to prove that the task is sound.
base::Duration ProofTime(std::span<const CrashRecord> crashes);

// A run on a worker that has crashed.
struct CrashedRun {
  TaskKey task;
  base::Duration age{};                  // at the worker's last sign of life
  std::span<const CrashRecord> earlier;  // of the task
};
// Whether the run is so young that it may have caused the crash.
bool MayBeCause(const CrashedRun& run);
// Returns the roles of the runs that were on one worker, in the same order.
// `has_crashed` tells that the worker's process has probably ended; otherwise
// it may only have been out of reach, which says nothing against a task.
std::vector<CrashRole> RolesOf(std::span<const CrashedRun> runs,
                               bool has_crashed);

}  // namespace sassafras::jobs

#endif  // JOBS_CRASH_H_
