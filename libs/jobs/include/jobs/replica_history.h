// What a replica observes of the batches that it applies, whether it leads or
// not, so that a new leader knows it at once.

#ifndef JOBS_REPLICA_HISTORY_H_
#define JOBS_REPLICA_HISTORY_H_

#include <optional>
#include <unordered_map>

#include "base/time.h"
#include "jobs/job_table.h"
#include "jobs/worker_speed.h"

namespace sassafras::jobs {

// Instants are on the clock of this process. Not thread-safe. Lives as long as
// the replica's table.
class ReplicaHistory {
 public:
  // Batches with these effects were applied to `table` at `now`.
  void OnApplied(const Changes& changes,
                 const JobTable& table,
                 base::Instant now);
  // `table` was read from a snapshot at `now`. Active jobs that are new to this
  // replica count as accepted now, as their true time is unknown.
  void OnRestored(const JobTable& table, base::Instant now);

  // Returns when this replica learned that the job was accepted, or nullopt if
  // the job isn't active.
  std::optional<base::Instant> AcceptedAt(const wire::JobId& job) const;
  const WorkerSpeed& speed() const { return speed_; }

 private:
  std::unordered_map<wire::JobId, base::Instant> accepted_at_;  // active jobs
  WorkerSpeed speed_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_REPLICA_HISTORY_H_
