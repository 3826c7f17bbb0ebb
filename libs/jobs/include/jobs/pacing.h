// Controls the pace of filler tasks on workers that also run tasks with a
// latency target. The pace is halved at once when a tail latency nears its
// target, and raised step by step while all tail latencies on the worker are
// well below their targets.

#ifndef JOBS_PACING_H_
#define JOBS_PACING_H_

#include <cstdint>
#include <span>
#include <vector>

#include "jobs/types.h"
#include "jobs/worker_session.h"

namespace sassafras::jobs {

inline constexpr uint32_t kFullPace = 100;  // percent

// One run as reported by the last hold reply of its worker.
struct PacedRun {
  TaskKey task;
  uint64_t run = 0;
  bool is_filler = false;
  int64_t target_ms = 0;         // latency target; 0 if the task has none
  int64_t tail_latency_ms = 0;   // meaningful only if `target_ms` is set
  uint32_t percent = kFullPace;  // last pace ordered
};

// Returns orders for the fillers among `runs` whose pace changes. `runs` are
// all runs on one worker.
std::vector<PaceOrder> DecidePaces(std::span<const PacedRun> runs);

}  // namespace sassafras::jobs

#endif  // JOBS_PACING_H_
