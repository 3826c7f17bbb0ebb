// Retention of ended jobs: kept for a limited time and in limited numbers per
// owner, then removed.

#ifndef STATE_SRC_ENDED_JOBS_H_
#define STATE_SRC_ENDED_JOBS_H_

#include <cstddef>

#include "store.h"

namespace sassafras::state {

// Ends the job in this state. References to job records stay valid: trimming is
// deferred until the command has been applied.
void EndJob(Store& store, JobRecord& job, JobState state);

// Adds an ended job to the usage of its owner.
void IndexEndedJob(Store& store, const JobRecord& job);

// Removes an ended job. `id` is passed by value because the ID in the job
// record is destroyed.
void ForgetJob(Store& store, wire::JobId id);

// Enforces the limits on ended jobs for the owners in Store::owners_to_trim.
// Compacts the oldest jobs over the task limit, but never the newest job; then
// removes the oldest jobs over the job limit.
void TrimEndedJobs(Store& store);

// Removes the ended jobs whose retention has expired. Returns their number.
size_t ExpireJobs(Store& store);

}  // namespace sassafras::state

#endif  // STATE_SRC_ENDED_JOBS_H_
