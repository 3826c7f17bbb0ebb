// Records of the replicated state: entries, workers, jobs and admissions; and
// the changes that the state machine reports.

#ifndef STATE_RECORDS_H_
#define STATE_RECORDS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "wire/commands.h"
#include "wire/ids.h"
#include "wire/job.h"
#include "wire/resources.h"
#include "wire/worker.h"

namespace sassafras::state {

// The number of values of wire::TaskState.
inline constexpr size_t kTaskStates = 8;

// One sassafrasd process. `incarnation` is its latest run; `past` has earlier
// runs, newest last, at most kMaxPastIncarnations.
struct EntryRecord {
  wire::Incarnation incarnation;
  wire::ZoneId zone;
  bool is_live = false;    // false once the run `incarnation` has ended
  base::WallMs at_ms = 0;  // time of the last BeginEntry or EndEntry
  std::vector<wire::Incarnation> past;
};

// One worker. `incarnation` is its latest run; `past` has earlier runs, newest
// last, at most kMaxPastIncarnations.
struct WorkerRecord {
  wire::Incarnation incarnation;
  wire::ZoneId zone;
  wire::RackId rack;
  wire::WorkerState state = wire::WorkerState::kReady;
  wire::Resources capacity;
  bool is_live = false;  // false once the run `incarnation` has ended
  bool is_quarantined = false;
  std::string quarantine_reason;
  base::WallMs at_ms = 0;  // time of the last PutWorker or EndWorker
  std::vector<wire::Incarnation> past;

  // Derived, not in snapshots: the tasks whose attempts reserve resources of
  // this worker, and the sum of these reservations. Empty unless live.
  std::set<wire::TaskId> tasks;
  wire::Resources reserved;

  bool CanTakeWork() const {
    return is_live && !is_quarantined && state == wire::WorkerState::kReady;
  }
  // Returns true if more is reserved than the worker has. This happens when it
  // reports a smaller capacity while attempts are placed on it.
  bool IsOvercommitted() const { return !reserved.FitsIn(capacity); }
};

// One task. `worker` and `incarnation` are those of the current attempt, or of
// the last attempt if none holds resources. `attempt` is the empty ID before
// the first assignment and only increases.
struct TaskRecord {
  wire::TaskState state = wire::TaskState::kPending;
  wire::AttemptId attempt;
  wire::WorkerId worker;
  wire::Incarnation incarnation;
  wire::AttemptOrder order = wire::AttemptOrder::kRun;
  wire::Resources reserved;
  // Number of attempts that failed while they were not being stopped.
  uint32_t failures = 0;
  bool has_started = false;  // true if any attempt ran or may have run
  uint32_t generation = 0;   // JobRecord::generation at the last assignment
  std::string reason;

  // Returns true if the task has an attempt that reserves resources of its
  // worker.
  bool IsPlaced() const {
    return state == wire::TaskState::kAssigned ||
           state == wire::TaskState::kRunning ||
           state == wire::TaskState::kStopping;
  }
  bool IsEnded() const {
    return state == wire::TaskState::kDone ||
           state == wire::TaskState::kFailed ||
           state == wire::TaskState::kCancelled;
  }
};

// A job that became infeasible is parked (wire::ParkJob): its waiting tasks get
// no new attempts, while its existing attempts continue.
enum class JobState { kActive, kParked, kDone, kFailed, kCancelled };
NLOHMANN_JSON_SERIALIZE_ENUM(JobState,
                             {{JobState::kActive, "active"},
                              {JobState::kParked, "parked"},
                              {JobState::kDone, "done"},
                              {JobState::kFailed, "failed"},
                              {JobState::kCancelled, "cancelled"}})

// The outcome that an active job is being driven towards. kRestart applies to
// gangs: all attempts stop, then the gang runs again.
enum class JobGoal { kRun, kCancel, kFail, kRestart };
NLOHMANN_JSON_SERIALIZE_ENUM(JobGoal,
                             {{JobGoal::kRun, "run"},
                              {JobGoal::kCancel, "cancel"},
                              {JobGoal::kFail, "fail"},
                              {JobGoal::kRestart, "restart"}})

// `tasks` has one record per task index. While a service shrinks, it has more
// than spec.tasks records until the surplus tasks have stopped.
struct JobRecord {
  wire::JobSpec spec;
  JobState state = JobState::kActive;
  JobGoal goal = JobGoal::kRun;
  std::string reason;
  base::WallMs submitted_ms = 0;
  base::WallMs ended_ms = 0;  // zero until ended
  // Incremented when a service's resources per task or its payload change.
  uint32_t generation = 0;
  // True for an ended job whose tasks and payload were removed to keep its
  // owner within max_ended_tasks_per_owner.
  bool is_compacted = false;
  std::vector<TaskRecord> tasks;

  // Derived, not in snapshots: the number of tasks in each TaskState.
  std::array<uint32_t, kTaskStates> counts = {};

  uint32_t Count(wire::TaskState task_state) const {
    return counts[static_cast<size_t>(task_state)];
  }
  // Returns the number of tasks whose attempts reserve resources.
  uint32_t CountPlaced() const {
    return Count(wire::TaskState::kAssigned) +
           Count(wire::TaskState::kRunning) + Count(wire::TaskState::kStopping);
  }
  uint32_t CountEnded() const {
    return Count(wire::TaskState::kDone) + Count(wire::TaskState::kFailed) +
           Count(wire::TaskState::kCancelled);
  }
  bool IsEnded() const {
    return state == JobState::kDone || state == JobState::kFailed ||
           state == JobState::kCancelled;
  }
};

// One non-idempotent request. `entry` and `incarnation` identify the run of the
// entry that admitted it.
struct AdmissionRecord {
  wire::ServiceId service;
  std::string digest;
  wire::EntryId entry;
  wire::Incarnation incarnation;
  uint64_t serial = 0;  // serial of the newest Admit applied; see wire::Admit
  wire::AdmissionState state = wire::AdmissionState::kOpen;
  wire::StoredAnswer answer;  // set if completed
  base::WallMs opened_ms = 0;
  base::WallMs closed_ms = 0;
  int64_t retention_ms = 0;  // counted from closed_ms
};

using AdmissionKey = std::pair<wire::OwnerId, wire::RequestKey>;

// --- Changes returned by Machine::TakeChanges ---

// Any part of the state may have changed: the receiver must read all of it.
struct Rebuild {};

struct DocumentChanged {
  wire::Version version;
};

struct EntryChanged {
  wire::EntryId entry;
};

// The worker registered, changed its capacity, state or quarantine, ended
// (is_live is false) or was removed (FindWorker returns null).
struct WorkerChanged {
  wire::WorkerId worker;
};

struct JobAdded {
  wire::JobId job;
};

// The job's goal, reason, spec or task count changed, or it was parked or
// unparked.
struct JobChanged {
  wire::JobId job;
};

struct JobEnded {
  wire::JobId job;
};

// The ended job was removed: its retention expired, its owner had too many
// ended jobs, or a declared service with the same id replaced it.
struct JobForgotten {
  wire::JobId job;
};

// A task changed its state, or was created or got another order (`before`
// equals `after` in these two cases). `attempt`, `worker` and `reserved` are
// those of the attempt that started, changed or ended.
struct TaskChanged {
  wire::TaskId task;
  wire::TaskState before = wire::TaskState::kPending;
  wire::TaskState after = wire::TaskState::kPending;
  wire::AttemptId attempt;
  wire::WorkerId worker;
  wire::Resources reserved;
  bool has_failed = false;  // the attempt failed and was not being stopped
};

using Change = std::variant<Rebuild,
                            DocumentChanged,
                            EntryChanged,
                            WorkerChanged,
                            JobAdded,
                            JobChanged,
                            JobEnded,
                            JobForgotten,
                            TaskChanged>;

}  // namespace sassafras::state

#endif  // STATE_RECORDS_H_
