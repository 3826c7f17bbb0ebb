// Jobs as submitted and as the document declares them, and their tasks.

#ifndef WIRE_JOB_H_
#define WIRE_JOB_H_

#include <compare>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "wire/ids.h"
#include "wire/resources.h"

namespace sassafras::wire {

// Which placement policy applies.
enum class JobKind { kService, kBatch, kGang };
NLOHMANN_JSON_SERIALIZE_ENUM(JobKind,
                             {{JobKind::kBatch, "batch"},
                              {JobKind::kService, "service"},
                              {JobKind::kGang, "gang"}})

// Order of work within one owner's share; lower values go first.
enum class Priority { kUrgent, kNormal, kLow };
NLOHMANN_JSON_SERIALIZE_ENUM(Priority,
                             {{Priority::kNormal, "normal"},
                              {Priority::kUrgent, "urgent"},
                              {Priority::kLow, "low"}})

// What an owner asks for. `per_task` is declared and may be wrong.
struct JobSpec {
  JobId id;
  OwnerId owner;
  WorkloadId workload;  // use is learned per workload; empty: the job's id
  JobKind kind = JobKind::kBatch;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;  // at least 1; of a service, the count to keep running
  Resources per_task;
  int64_t expected_run_ms = 0;  // 0: unknown
  uint32_t max_attempts = 3;    // failures of one task before its job fails
  std::string payload;          // passed to the worker unread
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec,
                                                id,
                                                owner,
                                                workload,
                                                kind,
                                                priority,
                                                tasks,
                                                per_task,
                                                expected_run_ms,
                                                max_attempts,
                                                payload)

// One task of a job; `index` is in [0, JobSpec::tasks).
struct TaskId {
  JobId job;
  uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  std::string ToString() const {
    return job.str() + "/" + std::to_string(index);
  }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskId, job, index)

// kStopping holds its worker's resources until the stop is confirmed or the
// worker's lease has run out.
enum class TaskState {
  kPending,
  kAssigned,
  kRunning,
  kStopping,
  kDone,
  kFailed,
  kCancelled,
  kParked
};
NLOHMANN_JSON_SERIALIZE_ENUM(TaskState,
                             {{TaskState::kPending, "pending"},
                              {TaskState::kAssigned, "assigned"},
                              {TaskState::kRunning, "running"},
                              {TaskState::kStopping, "stopping"},
                              {TaskState::kDone, "done"},
                              {TaskState::kFailed, "failed"},
                              {TaskState::kCancelled, "cancelled"},
                              {TaskState::kParked, "parked"}})

}  // namespace sassafras::wire

template <>
struct std::hash<sassafras::wire::TaskId> {
  size_t operator()(const sassafras::wire::TaskId& task) const {
    return std::hash<sassafras::wire::JobId>()(task.job) * 31 + task.index;
  }
};

#endif  // WIRE_JOB_H_
