// Tells whether all replicas apply starts of copies, so that their tables stay
// the same during a rolling upgrade.

#ifndef JOBCONTROL_SRC_COPY_SUPPORT_H_
#define JOBCONTROL_SRC_COPY_SUPPORT_H_

#include <set>

#include "consensus/types.h"
#include "jobcontrol/messages.h"

namespace sassafras::jobcontrol {

// Not thread-safe. Used while this replica leads.
class CopySupport {
 public:
  void OnHello(const Hello& hello);
  // The role of this replica has changed.
  void OnRole() { supporting_.clear(); }
  // Whether all members but `self` have said so to this leader.
  bool IsComplete(const consensus::Membership& members,
                  const consensus::ReplicaId& self) const;

 private:
  std::set<consensus::ReplicaId> supporting_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_COPY_SUPPORT_H_
