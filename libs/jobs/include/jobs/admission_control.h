// Decides which submissions are refused because their result would certainly
// come too late to be of use. Has no clock.

#ifndef JOBS_ADMISSION_CONTROL_H_
#define JOBS_ADMISSION_CONTROL_H_

#include <map>
#include <optional>

#include "base/time.h"
#include "jobs/backlog.h"
#include "jobs/job_table.h"
#include "jobs/job_timing.h"
#include "jobs/pool_capacities.h"
#include "jobs/replica_history.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// How long a job that is submitted now waits.
struct WaitVerdict {
  // At least this long; may be base::Duration::max().
  base::Duration wait{};
  // Beyond this wait, the result is certainly of no use.
  base::Duration limit{};

  bool IsTooLate() const { return wait > limit; }
  // Returns when the wait of a job like it is likely to be below the limit,
  // between 1 and 30 s.
  base::Duration RetryAfter() const;
};

// Not thread-safe. Lives for one term of leadership. The table must be the same
// in all calls, and `now` must not decrease.
class AdmissionControl {
 public:
  // Counts what waits in the table. Must be called first.
  void Assign(const JobTable& table,
              const ReplicaHistory& history,
              base::Instant now);
  // The table has applied a batch with these effects.
  void OnApplied(const JobTable& table,
                 const ReplicaHistory& history,
                 const Changes& changes,
                 base::Instant now);

  // Judges a job that isn't in the table, by AddJob::is_excess as it is.
  // Returns nullopt if nothing is certain: the job is long-running, recurring
  // or a filler, it has no estimates, no worker fits its first step, or the
  // capacity of its pool isn't known yet.
  std::optional<WaitVerdict> Judge(const JobTable& table,
                                   const AddJob& job,
                                   base::Instant now);

  const Backlog& backlog() const { return backlog_; }

 private:
  void CountAgain(const JobTable& table,
                  const ReplicaHistory& history,
                  base::Instant now);
  void AddJob(const JobTable& table,
              const ReplicaHistory& history,
              const JobRecord& job,
              base::Instant now);
  void UpdateSteps(const JobTable& table,
                   const JobRecord& job,
                   uint64_t occurrence);
  std::optional<Backlog::Item> ItemOf(const JobRecord& job,
                                      const Queue& queue,
                                      const JobTiming& timing,
                                      const StepKey& key) const;
  // Whether a queue of which jobs are counted is defined in another way than
  // when they were.
  bool HasOtherQueues(const JobTable& table) const;
  double LowestWaitMs(const JobTable& table,
                      const Backlog::Item& item,
                      const Resources& need,
                      const Resources& capacity,
                      Backlog::DueBy due_by) const;
  // Returns the sum of the weights of the customers that share the pool.
  static double SumOfWeights(
      const JobTable& table,
      const wire::ServiceId& pool,
      const CustomerId& own,
      const std::map<CustomerId, Backlog::Ahead>& waiting);

  PoolCapacities capacities_;
  Backlog backlog_;
  std::map<wire::JobId, JobTiming> timings_;  // of the jobs that are counted
  std::map<QueueId, Queue> queues_;           // of the same, as they were then
};

}  // namespace sassafras::jobs

#endif  // JOBS_ADMISSION_CONTROL_H_
