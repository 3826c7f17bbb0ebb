// Decides at the leader who makes a call and which jobs it may see.

#ifndef JOBCONTROL_SRC_LEADER_KEY_CHECK_H_
#define JOBCONTROL_SRC_LEADER_KEY_CHECK_H_

#include <functional>
#include <optional>
#include <string_view>

#include "jobcontrol/leader.h"
#include "jobcontrol/messages.h"
#include "jobs/job_table.h"
#include "wire/control.h"

namespace sassafras::jobcontrol {

// What a caller may do on a queue.
struct CallerRights {
  // Other than kNone if it may do nothing.
  wire::Denial denial = wire::Denial::kNone;
  std::string_view reason;  // of the denial, a literal
  // To whom jobs that it submits belong; empty without a key.
  jobs::CustomerId customer;
  bool sees_all_jobs = true;  // of the queue, not only those of `customer`

  bool MaySee(const jobs::JobRecord& job) const {
    return sees_all_jobs || job.customer == customer;
  }
};

// Decides by the table alone, not by what the entry says about the key.
CallerRights RightsOf(const Caller& caller,
                      const jobs::QueueId& queue,
                      const jobs::JobTable& table);

// Receives nullopt if the replica isn't known to lead.
using RightsDone = std::function<void(const std::optional<CallerRights>&)>;

// A caller whose key the table contains is served at once: if a later leader
// has removed the key, the lease of the entry bounds for how long that is
// possible. A denial is decided after a barrier, as a replaced leader may lack
// a new key. `context` must outlive the barrier.
void FindRights(LeaderContext& context,
                const Caller& caller,
                const jobs::QueueId& queue,
                RightsDone done);

// Returns the job that a caller asks for, if it exists and may be seen.
const jobs::JobRecord* FindVisibleJob(const jobs::JobTable& table,
                                      const JobQuery& query,
                                      const CallerRights& rights);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_LEADER_KEY_CHECK_H_
