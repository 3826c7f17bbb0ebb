// How fast workers are, told from how long they take for tasks that are alike.
// Kinds of workers differ in speed, and some turn slow; a step is only done
// when its last task is.

#ifndef JOBS_WORKER_SPEED_H_
#define JOBS_WORKER_SPEED_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

enum class Pace { kUsual, kSlow, kVerySlow };

// Not thread-safe. Lives for one term of leadership.
class WorkerSpeed {
 public:
  void OnStart(const StartRun& start, base::Instant now);
  // `is_last`: all tasks of the step are done now.
  void OnDone(const EndRun& end, bool is_last, base::Instant now);
  // A run that ended otherwise tells nothing.
  void OnLost(const EndRun& end);
  void OnJobEnded(const wire::JobId& job);

  Pace PaceOf(const WorkerBoot& worker) const;

 private:
  struct Sample {
    WorkerBoot worker;
    base::Duration time{};
  };

  void Judge(const std::vector<Sample>& samples);

  std::map<std::pair<TaskKey, uint64_t>, base::Instant> running_;
  std::map<StepKey, std::vector<Sample>> done_;  // of steps that aren't done
  // Moving average of a worker's time against the mean of its step.
  std::map<WorkerBoot, double> slowness_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_SPEED_H_
