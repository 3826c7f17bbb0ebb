// Estimates the speed of workers from how long they take for identical tasks.
// Workers differ in hardware, and some become slow at run time. A step is done
// only when its slowest task is.

#ifndef JOBS_WORKER_SPEED_H_
#define JOBS_WORKER_SPEED_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

enum class SpeedClass { kNormal, kSlow, kVerySlow };

// Not thread-safe. Lives for one term of leadership.
class WorkerSpeed {
 public:
  void OnStart(const StartRun& start, base::Instant now);
  // `is_last` means that all tasks of the step are done now.
  void OnDone(const EndRun& end, bool is_last, base::Instant now);
  // Discards a run that ended without being done.
  void OnNotDone(const EndRun& end);
  void OnJobEnded(const wire::JobId& job);

  SpeedClass SpeedOf(const WorkerBoot& worker) const;

 private:
  struct Sample {
    WorkerBoot worker;
    base::Duration time{};
  };

  void AddSamples(const std::vector<Sample>& samples);

  std::map<std::pair<TaskKey, uint64_t>, base::Instant> started_at_;
  // Samples of unfinished steps.
  std::map<StepKey, std::vector<Sample>> samples_;
  struct Slowness {
    int64_t started_ms = 0;  // of the worker's boot
    // Moving average of the worker's task time divided by the mean time of the
    // step.
    double ratio = 1;
  };
  std::unordered_map<wire::WorkerId, Slowness> slowness_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_SPEED_H_
