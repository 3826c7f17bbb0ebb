// How fast filler tasks may work beside tasks that serve users of their own:
// halved at once when a tail comes near its target, raised step by step while
// every tail beside them is well below.

#ifndef JOBS_PACING_H_
#define JOBS_PACING_H_

#include <cstdint>
#include <span>
#include <vector>

#include "jobs/types.h"
#include "jobs/worker_session.h"

namespace sassafras::jobs {

inline constexpr uint32_t kFullPace = 100;  // percent

// One run on a worker, as its last look shows it.
struct PacedRun {
  TaskKey task;
  uint64_t run = 0;
  bool is_filler = false;
  int64_t target_ms = 0;  // of a task that serves users; 0: it serves none
  int64_t figure = 0;     // its tail latency in ms
  uint32_t percent = kFullPace;  // as ordered last
};

// The orders that change a pace, for the runs of one worker.
std::vector<PaceOrder> DecidePaces(std::span<const PacedRun> runs);

}  // namespace sassafras::jobs

#endif  // JOBS_PACING_H_
