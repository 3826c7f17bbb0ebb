// Keeps the group of control hosts at its size: hosts that ask to join become
// members, and lost voters give way to learners.

#ifndef JOBCONTROL_SRC_GROUP_KEEPER_H_
#define JOBCONTROL_SRC_GROUP_KEEPER_H_

#include <memory>
#include <set>

#include "base/time.h"
#include "cluster/replica_driver.h"
#include "jobcontrol/membership.h"
#include "membership_log.h"

namespace sassafras::jobcontrol {

// Carries out what membership.h decides, on the replica that leads. Not
// thread-safe; used on the control thread.
class GroupKeeper : public std::enable_shared_from_this<GroupKeeper> {
 public:
  static std::shared_ptr<GroupKeeper> Create(
      std::shared_ptr<cluster::ReplicaDriver> driver,
      const GroupPolicy& policy);

  // A host that isn't a member asks to become one.
  void Join(const consensus::Member& candidate);
  // A replica says whether it was told to stop.
  void OnStopping(const consensus::ReplicaId& replica, bool is_stopping);
  // Must be called after each change of this replica's role.
  void OnRole();
  // Replaces a lost member if this replica leads, and writes what changed in
  // the group. Must be called every few tens of milliseconds.
  void Tick(base::Instant now);

 private:
  GroupKeeper(std::shared_ptr<cluster::ReplicaDriver> driver,
              const GroupPolicy& policy);

  void ReplaceLostMember(base::Instant now);
  void RemoveLostMember(const consensus::ReplicaId& id);

  const std::shared_ptr<cluster::ReplicaDriver> driver_;
  const GroupPolicy policy_;
  // Replicas that said so to this leader. One that runs again says it doesn't.
  std::set<consensus::ReplicaId> stopping_;
  bool is_removing_ = false;  // the removal of a member is being recorded
  MembershipLog log_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_GROUP_KEEPER_H_
