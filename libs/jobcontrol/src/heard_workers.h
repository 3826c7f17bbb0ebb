// Decides which heartbeats a control host that doesn't lead may answer by
// itself, and collects them for the leader. In a large fleet heartbeats would
// take a good part of the leader's time, and nearly all of them change nothing.

#ifndef JOBCONTROL_SRC_HEARD_WORKERS_H_
#define JOBCONTROL_SRC_HEARD_WORKERS_H_

#include <vector>

#include "jobcontrol/messages.h"
#include "jobs/job_table.h"

namespace sassafras::jobcontrol {

// Not thread-safe.
class HeardWorkers {
 public:
  // Takes note of the heartbeat and returns true if `table` already holds all
  // that it says. Otherwise the leader must handle it.
  bool Take(const jobs::JobTable& table, const WorkerHeartbeat& heartbeat);

  // Returns the heartbeats to report to the leader and forgets them.
  std::vector<HeardWorker> TakeReport();

 private:
  std::vector<HeardWorker> unreported_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_HEARD_WORKERS_H_
