// Conversion of job records to the status that callers see.

#include "jobcontrol/messages.h"

namespace sassafras::jobcontrol {

JobStatus JobStatusOf(const jobs::JobRecord& job) {
  switch (job.phase) {
    case jobs::JobPhase::kCompleted:
      return {true, JobState::kCompleted};
    case jobs::JobPhase::kFailed:
      return {true, JobState::kFailed};
    case jobs::JobPhase::kCancelled:
      return {true, JobState::kCancelled};
    case jobs::JobPhase::kActive:
      break;
  }
  return {true, job.has_started ? JobState::kRunning : JobState::kQueued};
}

}  // namespace sassafras::jobcontrol
