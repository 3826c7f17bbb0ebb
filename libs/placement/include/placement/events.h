// Input events of the scheduler: the full state when a leader starts, then each
// committed change.

#ifndef PLACEMENT_EVENTS_H_
#define PLACEMENT_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"
#include "wire/job.h"
#include "wire/resources.h"
#include "wire/worker.h"

namespace sassafras::placement {

// Adds or changes an owner. `weight` is at least 1 (0 counts as 1).
struct PutOwner {
  wire::OwnerId owner;
  uint32_t weight = 1;
  std::optional<wire::Resources> quota;  // nullopt: limited by the share only
};

// Removes the owner's weight and quota. Its jobs remain and count with
// weight 1.
struct RemoveOwner {
  wire::OwnerId owner;
};

// Adds or changes a worker. Attempts of an earlier incarnation stay assigned to
// the worker until a TaskEnded event ends each of them.
struct PutWorker {
  wire::WorkerId worker;
  wire::Incarnation incarnation;
  wire::ZoneId zone;
  wire::RackId rack;
  wire::WorkerState state = wire::WorkerState::kReady;
  wire::Resources capacity;
};

// The worker's lease expired, so all its attempts are lost. The TaskEnded event
// of each attempt may arrive before or after this one.
struct RemoveWorker {
  wire::WorkerId worker;
};

// A committed start or end of a worker's quarantine.
struct SetQuarantine {
  wire::WorkerId worker;
  bool is_quarantined = false;
};

// Adds a job. A TaskPending event follows for each of its waiting tasks.
struct PutJob {
  wire::JobSpec spec;
  base::Instant submitted;
};

// The job was cancelled or has finished. Its waiting tasks leave the queue at
// once; running attempts keep their reservation until TaskEnded.
struct RemoveJob {
  wire::JobId job;
};

// The job was parked, which takes it out of the queue. An empty reason means
// that it was unparked.
struct JobParked {
  wire::JobId job;
  std::string reason;
};

struct TaskPending {
  wire::TaskId task;
};

// A committed assignment, possibly proposed by an earlier leader.
struct TaskAssigned {
  wire::TaskId task;
  wire::AttemptId attempt;
  wire::WorkerId worker;
  wire::Resources reserved;
};

// A proposed assignment was not committed. The task returns to the queue.
struct AssignmentRefused {
  wire::TaskId task;
};

struct TaskRunning {
  wire::TaskId task;
  wire::AttemptId attempt;
};

// A committed order other than stop, possibly from an earlier leader.
struct TaskOrdered {
  wire::TaskId task;
  wire::AttemptId attempt;
  wire::AttemptOrder order = wire::AttemptOrder::kRun;
};

// A committed stop order. The attempt keeps its reservation until TaskEnded.
struct TaskStopping {
  wire::TaskId task;
  wire::AttemptId attempt;
};

enum class TaskOutcome { kDone, kFailed, kCancelled, kLost, kPreempted };

// The attempt has ended and its reservation is released. A TaskPending event
// follows if the task is to run again. Events of attempts older than the task's
// current attempt are ignored.
struct TaskEnded {
  wire::TaskId task;
  wire::AttemptId attempt;
  TaskOutcome outcome = TaskOutcome::kDone;
  int64_t ran_ms = 0;
  std::string reason;
};

// Observed resource use of attempts on one worker. Reports may arrive late or
// more than once.
struct Usage {
  struct Sample {
    wire::TaskId task;
    wire::AttemptId attempt;
    wire::Resources used;
  };
  wire::WorkerId worker;
  std::vector<Sample> samples;
};

using Event = std::variant<PutOwner,
                           RemoveOwner,
                           PutWorker,
                           RemoveWorker,
                           SetQuarantine,
                           PutJob,
                           RemoveJob,
                           JobParked,
                           TaskPending,
                           TaskAssigned,
                           AssignmentRefused,
                           TaskRunning,
                           TaskOrdered,
                           TaskStopping,
                           TaskEnded,
                           Usage>;

}  // namespace sassafras::placement

#endif  // PLACEMENT_EVENTS_H_
