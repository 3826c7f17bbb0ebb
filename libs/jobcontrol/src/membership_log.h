// Writes decision lines about the group of control hosts, from which a reader
// can tell who counts towards a quorum and why nobody leads.

#ifndef JOBCONTROL_SRC_MEMBERSHIP_LOG_H_
#define JOBCONTROL_SRC_MEMBERSHIP_LOG_H_

#include "base/time.h"
#include "consensus/replica.h"

namespace sassafras::jobcontrol {

// Not thread-safe; used on the control thread.
class MembershipLog {
 public:
  // Writes what changed since the last call, and once a second what lasts. To
  // be called every few tens of milliseconds.
  void Report(const consensus::Replica& replica, base::Instant now);

 private:
  void ReportMembers(const consensus::Membership& members);

  consensus::Membership reported_;
  base::Instant last_report_;  // of what lasts
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_MEMBERSHIP_LOG_H_
