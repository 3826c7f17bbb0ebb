// Distinguishes faulty workers, which fail any task, from faulty workloads,
// which fail on any worker.

#ifndef PLACEMENT_WORKER_HEALTH_H_
#define PLACEMENT_WORKER_HEALTH_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/options.h"

namespace sassafras::placement {

// Recent successes and failures of one workload across all workers.
class WorkloadHealth {
 public:
  // Records a success. Returns the other workers on which the workload failed
  // since its previous success.
  std::vector<uint32_t> RecordSuccess(base::Instant now, uint32_t worker);
  void RecordFailure(base::Instant now,
                     uint32_t worker,
                     const Options& options);

  // Whether the workload succeeded on another worker within the quarantine
  // window.
  bool HasSucceededElsewhere(base::Instant now,
                             uint32_t worker,
                             const Options& options) const;
  // Whether the workload failed on Options::faulty_task_workers distinct
  // workers within the quarantine window without any success. The workload is
  // then considered faulty instead of the workers.
  bool IsFaulty(base::Instant now, const Options& options) const;

 private:
  struct Event {
    base::Instant at;
    uint32_t worker = 0;
  };
  static constexpr size_t kMaxEvents = 4;

  // The most recent events, at most one per worker.
  std::deque<Event> successes_;
  std::deque<Event> failures_;
};

// Recent fast failures on one worker, and the state of its probes while it is
// quarantined.
class WorkerHealth {
 public:
  void RecordSuccess(base::Instant now);
  void RecordFastFailure(base::Instant now,
                         uint64_t workload,
                         uint32_t owner,
                         bool has_succeeded_elsewhere,
                         const Options& options);
  // Records that a workload that failed here succeeded on another worker.
  void RecordSuccessElsewhere(uint64_t workload);

  // Returns the reason to quarantine the worker, or nullopt if there is none.
  // `owners` is the number of owners in the cell.
  std::optional<std::string> QuarantineReason(base::Instant now,
                                              uint32_t owners,
                                              const Options& options);

  // Starts the delay before the first probe.
  void Quarantine(base::Instant now, const Options& options);
  void Release();
  bool MayProbe(base::Instant now) const;
  void StartProbe() { is_probing_ = true; }
  void CancelProbe() { is_probing_ = false; }
  void FailProbe(base::Instant now, const Options& options);
  bool is_probing() const { return is_probing_; }
  base::Instant next_probe() const { return next_probe_; }

 private:
  struct Failure {
    base::Instant at;
    uint64_t workload = 0;  // Workload::sequence
    uint32_t owner = 0;
    bool has_succeeded_elsewhere = false;
  };
  static constexpr size_t kMaxFailures = 32;

  void Expire(base::Instant now, const Options& options);

  std::deque<Failure> failures_;  // at most one per workload, in time order
  std::deque<base::Instant> successes_;
  bool is_probing_ = false;
  base::Instant next_probe_;
  base::Duration probe_wait_{};
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_WORKER_HEALTH_H_
