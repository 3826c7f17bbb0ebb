// State transitions of single tasks and their effects on the job. All
// transitions go through PlaceTask or MoveTask, which update the derived sums
// of workers, owners and jobs.

#ifndef STATE_SRC_TASKS_H_
#define STATE_SRC_TASKS_H_

#include <cstdint>
#include <string>

#include "store.h"

namespace sassafras::state {

// The worker of a new attempt and the resources it reserves there.
struct Placement {
  wire::WorkerId worker;
  wire::Incarnation incarnation;
  wire::Resources reserved;
};

// Moves a task from pending to assigned, with the next attempt id of the cell.
// Returns that id.
wire::AttemptId PlaceTask(Store& store,
                          JobRecord& job,
                          uint32_t index,
                          const Placement& placement);

// Performs any other transition. Releases the reservation of the attempt unless
// `after` is a placed state too.
void MoveTask(Store& store,
              JobRecord& job,
              uint32_t index,
              wire::TaskState after,
              std::string reason = {},
              bool has_failed = false);

// Appends a task that waits for an attempt (pending, or parked in a parked
// job).
void AddTask(Store& store, JobRecord& job);

// Orders the worker to stop the task's attempt. Does nothing if the attempt is
// already stopping under the same or a stronger order.
void StopTask(Store& store,
              JobRecord& job,
              uint32_t index,
              wire::AttemptOrder order,
              const std::string& reason);

// Describes an attempt that neither completed nor failed.
struct AttemptEnd {
  bool has_started = true;  // true if it ran or may have run
  std::string reason;
};

// Ends an attempt that was stopped or lost. The task becomes pending or parked
// again, or is cancelled if its job is being cancelled, has failed or has
// shrunk below its index. A gang restarts as a whole.
void EndAttempt(Store& store,
                JobRecord& job,
                uint32_t index,
                const AttemptEnd& end);

// Ends an attempt that its worker reported as failed. Counts the failure unless
// the attempt was being stopped; at max_attempts failures the job fails, except
// for services.
void FailAttempt(Store& store,
                 JobRecord& job,
                 uint32_t index,
                 const std::string& reason);

// Ends an attempt that completed. A task of a service or of a restarting gang
// runs again.
void FinishAttempt(Store& store, JobRecord& job, uint32_t index);

// Sets the goal kCancel or kFail. Cancels tasks that are not placed and orders
// the others to stop.
void StopJob(Store& store,
             JobRecord& job,
             JobGoal goal,
             const std::string& reason);

// Derives the state of the job from the states of its tasks. Ends the job when
// all its tasks have ended, completes the restart of a gang, and removes
// surplus tasks and replaces outdated tasks of a service.
void UpdateJobState(Store& store, JobRecord& job);

}  // namespace sassafras::state

#endif  // STATE_SRC_TASKS_H_
