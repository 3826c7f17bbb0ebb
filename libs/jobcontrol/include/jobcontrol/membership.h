// Cluster membership decisions that need no operator: which host bootstraps the
// cluster, how a new replica joins, and how a lost voter is replaced.

#ifndef JOBCONTROL_MEMBERSHIP_H_
#define JOBCONTROL_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>

#include "base/time.h"
#include "consensus/replica.h"
#include "consensus/types.h"
#include "settings/settings.h"
#include "wire/ids.h"

namespace sassafras::jobcontrol {

// Whether the process at `self` bootstraps the cluster. Only the seed with the
// lowest address does, and only at the first start of the cluster, when all
// processes have the same seeds. A replica with stored state never does.
bool ShouldBootstrap(const settings::Endpoint& self,
                     const settings::ClusterSettings& cluster,
                     bool has_state);

// How many control hosts the group needs, and how soon it gives one up.
struct GroupPolicy {
  // Hosts that may be lost at the same time, with their disks.
  size_t tolerated_losses = 1;
  // A voter that has not replied for longer than this is presumed lost. A new
  // leader starts to count anew, so a limit far above an election timeout would
  // not be reached while leaders change.
  base::Duration max_silence = std::chrono::milliseconds(600);
  // The same for a learner. It costs the group no loss that it could bear.
  base::Duration max_learner_silence = std::chrono::seconds(10);

  // Returns the number of voters that bears these losses: a majority remains,
  // and each acknowledged record is on a disk that remains.
  size_t Voters() const;
};

// The leader's response to a join request.
struct AlreadyMember {};  // no change is needed
struct AddMember {
  consensus::Member member;
};
struct RemoveMember {
  consensus::ReplicaId id;
};
using JoinAction = std::variant<AlreadyMember, AddMember, RemoveMember>;

// Decides how to handle a join request. A candidate with a known name but a new
// identity has lost its disk: the old identity is removed first, so that it
// never counts towards a quorum again.
JoinAction DecideJoin(const consensus::Membership& members,
                      const consensus::Member& candidate);

// What a leader knows about the replicas, at one moment.
struct GroupView {
  consensus::Membership members;
  consensus::ReplicaId self;
  std::map<consensus::ReplicaId, base::Instant> contacts;  // but for `self`
  size_t ready_learners = 0;                               // could vote at once
  std::set<consensus::ReplicaId> stopping;                 // were told to stop

  static GroupView Of(const consensus::Replica& leader);
};

// What the leader does about a member that is lost.
struct KeepMembers {};   // nothing
struct PromoteSpare {};  // gives the vote to a learner
using LossAction = std::variant<KeepMembers, PromoteSpare, RemoveMember>;

// Decides how a voter that is silent or stopping gives way: as long as it
// counts towards the quorum, the group bears one loss less. A learner votes
// first, and the lost voter is removed after that; in the other order, the
// group would have a voter too few in between. Without a learner nothing
// changes, since the voter may come back. A learner that is silent for long is
// removed. A removed replica joins again if it returns.
LossAction DecideLoss(const GroupView& group,
                      const GroupPolicy& policy,
                      base::Instant now);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_MEMBERSHIP_H_
