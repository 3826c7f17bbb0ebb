// Tells which due time a job can still meet. Under overload, serving jobs in
// the order of their objectives makes every job late: each one is started when
// its own objective has just passed. A job whose objective is out of reach
// therefore yields to those that can still meet theirs, and is served before
// the time at which its result is of no use any more.

#ifndef JOBS_JOB_TIMING_H_
#define JOBS_JOB_TIMING_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "jobs/manifest.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// The share of an estimated time that work takes at least. Estimates are rough,
// and work that is wrongly given up as late misses its objective.
inline constexpr double kMinEstimateShare = 0.5;

// When waiting work should be done.
struct DueTime {
  base::Instant at;
  // The objective can't be met any more; `at` is when the result is of no use.
  bool is_late = false;
  // No due time can be met any more; the work waits behind all other work.
  bool is_missed = false;
};

// The due times of a step, and until when it can meet them if its tasks take
// kMinEstimateShare of their estimates.
struct StepDates {
  base::Instant objective;    // of the job
  base::Instant last_useful;  // the job's result is of no use after it
  base::Instant last_start_for_objective;
  base::Instant last_useful_start;
};

// Estimates for one job, computed when it is accepted.
class JobTiming {
 public:
  // `queue` may be null; the estimates then contain no advice queries.
  JobTiming(const JobSpec& spec, const Queue* queue, base::Instant accepted_at);

  base::Instant accepted_at() const { return accepted_at_; }

  // An occurrence of a recurring job has begun; it is due from then on. Does
  // nothing if that is known.
  void OnOccurrence(uint64_t occurrence, base::Instant begun_at);

  // `step` is the index of a step of the job. Occurrences of which the
  // beginning isn't known count from the acceptance.
  StepDates DatesOf(const Queue& queue,
                    uint32_t step,
                    uint64_t occurrence = 0) const;

  // Returns the earliest due time that `step` can meet if its tasks start at
  // `now`.
  DueTime DueTimeOf(const Queue& queue,
                    uint32_t step,
                    base::Instant now,
                    uint64_t occurrence = 0) const;

  // Returns how fast a worker must be, in relation to the one that estimates
  // assume, so that the longest chain that begins with `step` is likely to be
  // done by `due` if its tasks start at `now` on such workers. Infinity if none
  // is fast enough.
  double NeededSpeed(uint32_t step, base::Instant due, base::Instant now) const;

 private:
  base::Instant accepted_at_;
  std::map<uint64_t, base::Instant> begun_at_;  // of occurrences
  // Estimated time in ms of the longest chain of steps that begins with each
  // step, that step included.
  std::vector<int64_t> remaining_ms_;
  int64_t longest_chain_ms_ = 0;
};

}  // namespace sassafras::jobs

#endif  // JOBS_JOB_TIMING_H_
