// Keeps the job table within the memory that jobs may take: decides which
// submissions and which due occurrences there is room for, and when jobs that
// have ended are forgotten.

#ifndef JOBCONTROL_TABLE_GUARD_H_
#define JOBCONTROL_TABLE_GUARD_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobcontrol/leader_metrics.h"
#include "jobs/job_table.h"
#include "jobs/table_size.h"

namespace sassafras::jobcontrol {

struct TableLimits {
  // What jobs may take by what was asked for, in bytes.
  size_t max_bytes = size_t{32} * 1024 * 1024;
  // The state of a job can be read for this long after its end.
  base::Duration keep_ended = std::chrono::seconds(120);

  // Leaves the rest to what runs, to the log and to the encoding of snapshots.
  static size_t MaxBytesOf(size_t memory_mb);
};

// Says when a condition that is noticed again and again begins and ends.
class Episode {
 public:
  // The condition holds at `now`. Returns whether it didn't before.
  bool Note(base::Instant now);
  // Returns whether the condition was noted before, but not lately.
  bool HasEnded(base::Instant now);

 private:
  std::optional<base::Instant> last_;  // unset unless the condition holds
};

// Not thread-safe. Lives for one term of leadership. The table must be the same
// in all calls.
class TableGuard {
 public:
  // `metrics` must outlive this.
  TableGuard(const TableLimits& limits, const LeaderMetrics& metrics);

  // Notes the jobs of the table that ended under an earlier leader.
  void Begin(const jobs::JobTable& table, base::Instant now);

  // Returns when the submission of a job may be repeated for which there is no
  // room now, or nullopt if there is room.
  std::optional<base::Duration> RetryAfter(const jobs::JobTable& table,
                                           const jobs::AddJob& job,
                                           base::Instant now);
  // A job takes room from its acceptance until it is recorded, when the table
  // counts it, or won't ever be recorded.
  void OnAccepted(const jobs::AddJob& job);
  void OnResolved(const jobs::AddJob& job);

  // Returns the next occurrences of recurring jobs that begin now: those that
  // are due, unless many earlier ones of their job wait or too little room is
  // left. Each job with no open occurrence begins one.
  std::vector<jobs::BeginOccurrence> DueOccurrences(const jobs::JobTable& table,
                                                    base::WallMs wall,
                                                    base::Instant now);

  void OnJobEnded(const wire::JobId& job, base::Instant now);
  // Returns jobs that ended long enough ago to be forgotten, a limited number
  // at once. Those that `table` still contains are returned again later.
  std::vector<wire::JobId> JobsToForget(const jobs::JobTable& table,
                                        base::Instant now);

  // Sets the metrics, and logs the end of a shortage.
  void Report(const jobs::JobTable& table, base::Instant now);

 private:
  struct EndedJob {
    base::Instant ended_at;
    wire::JobId job;
  };

  bool MayBegin(const jobs::JobTable& table,
                const jobs::JobRecord& job,
                const jobs::OwnerSizes& begun) const;

  const jobs::TableBudget budget_;
  const base::Duration retention_;
  const LeaderMetrics& metrics_;
  jobs::OwnerSizes pending_;  // of jobs that are accepted but not recorded
  jobs::ReleaseRate release_rate_;
  std::deque<EndedJob> ended_;  // by time
  Episode refuses_;
  Episode holds_back_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_TABLE_GUARD_H_
