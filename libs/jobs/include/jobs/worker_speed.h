// Estimates the speed of workers from how long they take for identical tasks.
// Workers differ in hardware, and some become slow at run time. A step is done
// only when its slowest task is.

#ifndef JOBS_WORKER_SPEED_H_
#define JOBS_WORKER_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// Workers are compared within steps only, as estimates are wrong by more than
// workers differ. The speed of a worker is the median of its last samples, so
// that single long or short tasks don't change it. Not thread-safe. A few
// operations for each run that is done.
class WorkerSpeed {
 public:
  // A run was done.
  void OnDone(const DoneRun& run);
  void OnJobEnded(const wire::JobId& job);
  // Forgets jobs that aren't active in the table, and workers that aren't in it
  // once they are the majority: one that was declared lost may return.
  void Prune(const JobTable& table);

  // Returns the speed in relation to that of the typical worker; 1 while too
  // little is known.
  double SpeedOf(const WorkerBoot& worker) const;

 private:
  // Times of the tasks of one step that were done so far.
  struct TaskTime {
    WorkerBoot worker;
    double log_seconds = 0;
  };
  // Logarithms of the last samples of one boot of a worker.
  struct Samples {
    int64_t started_ms = 0;  // of the worker's boot
    std::array<double, 11> values{};
    size_t count = 0;      // of all samples; the last ones are kept
    double log_speed = 0;  // estimate
  };

  void AddSamples(const std::vector<TaskTime>& times);
  void AddSample(const WorkerBoot& worker, double log_speed);
  double LogSpeedOf(const WorkerBoot& worker) const;

  std::map<StepKey, std::vector<TaskTime>> times_;  // of unfinished steps
  std::unordered_map<wire::WorkerId, Samples> samples_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_WORKER_SPEED_H_
