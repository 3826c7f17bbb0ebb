// One replica of the Raft log that holds the control state: election,
// replication, membership, snapshots and read barriers. It performs no I/O:
// Step() takes an event and the current time and returns the effects that the
// caller must carry out.

#ifndef CONSENSUS_REPLICA_H_
#define CONSENSUS_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/reason.h"
#include "base/time.h"
#include "consensus/message.h"
#include "consensus/types.h"

namespace sassafras::consensus {

enum class ConsensusError {
  kNone,
  kBadOptions,
  kBadLog,    // recovered records skip an index, decrease in term or do not
              // decode
  kHasState,  // Bootstrap on a replica that has records, a snapshot or a term
  kNotLeader,
  kBusy,  // uncommitted limit reached, or a leadership transfer is in progress
  kInProgress,  // the previous membership change is not committed yet
  kNotMember,
  kIsMember,
  kLastVoter,       // the only voter cannot be removed
  kLostLeader,      // the leader stepped down before the outcome was known
  kNoCommitInTerm,  // the new leader has not committed a record of its term
};
using ConsensusReason = base::Reason<ConsensusError>;

struct Options {
  wire::EntryId name;  // of the process that runs this replica

  // A follower campaigns after one to two election timeouts without contact to
  // a leader; a leader steps down after one election timeout without contact to
  // a quorum. Must be at least 3 heartbeats.
  base::Duration election_timeout = std::chrono::milliseconds(1000);
  base::Duration heartbeat = std::chrono::milliseconds(100);
  // Delay after which unanswered appends and snapshot chunks are resent.
  base::Duration resend_timeout = std::chrono::milliseconds(300);

  size_t max_append_records = 1024;
  size_t max_append_bytes =
      size_t{256} * 1024;  // per append; a single larger record is still sent
  size_t max_appends_in_flight = 8;  // per follower
  size_t max_uncommitted_records = size_t{16} * 1024;
  size_t max_uncommitted_bytes = size_t{64} * 1024 * 1024;
  size_t snapshot_chunk_bytes = size_t{256} * 1024;

  // A snapshot is requested once either amount of log has been applied since
  // the last one.
  size_t snapshot_after_records = 10'000;
  size_t snapshot_after_bytes = size_t{16} * 1024 * 1024;
  // A leader also requests one when this much was applied since the last one
  // and a learner has no records yet: a snapshot is much shorter than the log
  // that led to it, and until the learner votes, fewer losses can be borne.
  size_t learner_snapshot_bytes = size_t{2} * 1024 * 1024;
  // Records before a snapshot that stay in memory, so that followers slightly
  // behind catch up from the log instead of the snapshot.
  size_t retained_records = 1'000;
  // A learner becomes a voter once it is at most this many records behind the
  // leader's log.
  size_t promotion_lag_records = 64;
  // Further learners stay learners until PromoteLearner. With an even
  // number of voters the quorum is larger, and no more losses can be borne.
  size_t max_voters = SIZE_MAX;
};

// --- events ---

// Runs the timers that are due; see Replica::NextDeadline().
struct Tick {};
// A message from another replica has arrived.
struct Receive {
  Message message;
};
// Appends a command to the log. Rejected by replicas that do not lead.
struct Propose {
  Token token;
  std::string payload;
};
// Requests confirmation by a quorum that this replica is still the leader and
// has every record that was committed before the request.
struct ReadBarrier {
  Token token;
};
// Bootstraps a cluster with this replica as its only voter. Rejected if the
// replica has state.
struct Bootstrap {
  Token token;
};
// Adds a replica as a learner, which has no vote. The leader promotes it to
// voter once it has caught up. Resolved when the addition of the learner is
// committed.
struct AddLearner {
  Token token;
  Member member;
};
// Gives the vote to a learner that has caught up, even if Options::max_voters
// vote already, so that a voter can be removed afterwards. Ignored by replicas
// that do not lead, and while another membership change is pending.
struct PromoteLearner {};
// Removes a voter or learner. Resolved when the removal is committed.
struct RemoveMember {
  Token token;
  ReplicaId id;
};
// Transfers leadership to `target` or, if unset, to the voter with the longest
// matching log. Proposals are rejected until the transfer has completed or an
// election timeout has passed; a request in the meantime only repeats it.
// Ignored by replicas that do not lead and by a leader that is the only voter.
struct TransferLeadership {
  std::optional<ReplicaId> target;
};
// Storage has made every persist request up to `sequence` durable.
struct Synced {
  Sequence sequence;
};
// The response to Effects::take_snapshot_at; the caller may also send it
// without a request. `bytes` is the state machine's state exactly as of record
// `index`, which must have been applied.
struct SnapshotTaken {
  Index index;
  std::shared_ptr<const std::string> bytes;
};

using Event = std::variant<Tick,
                           Receive,
                           Propose,
                           ReadBarrier,
                           Bootstrap,
                           AddLearner,
                           PromoteLearner,
                           RemoveMember,
                           TransferLeadership,
                           Synced,
                           SnapshotTaken>;

// --- effects ---

enum class Outcome {
  kCommitted,      // at `index`; the record was returned in Effects::committed
  kNotRun,         // never appended, so it can never be committed
  kUnknown,        // appended; the next leader may commit or discard it
  kBarrierPassed,  // committed records up to `index` were returned
};

// The result of the request identified by `token`.
struct Resolved {
  Token token;
  Outcome outcome = Outcome::kNotRun;
  Index index;
  ConsensusReason why;  // set for kNotRun and kUnknown
};

enum class Role { kLearner, kFollower, kCandidate, kLeader };

struct RoleChange {
  Role role = Role::kFollower;
  Term term;
  Member leader;  // id is empty if the leader is unknown
};

// The caller must carry these out in the order of the members.
struct Effects {
  std::optional<PersistRequest> persist;
  std::vector<Message> messages;
  std::optional<Snapshot> restore;  // replaces the state machine's state
  std::vector<Record>
      committed;  // to apply in order; includes every record kind
  std::vector<Resolved> resolved;
  std::optional<RoleChange> role_change;
  std::optional<Index>
      take_snapshot_at;  // index of the last record of `committed`
};

// Not thread-safe; owned by one thread. The time passed to Step() must not
// decrease from call to call.
class Replica {
 public:
  // Creates a replica from the state that storage recovered; only `durable.id`
  // is required. `seed` only randomizes election timeouts. Returns std::nullopt
  // and sets `why` to kBadOptions or kBadLog on failure.
  static std::optional<Replica> Create(const Options& options,
                                       Recovered durable,
                                       uint64_t seed,
                                       base::Instant now,
                                       ConsensusReason& why);
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  ~Replica();

  // Runs due timers, processes `event` and returns the resulting effects.
  Effects Step(base::Instant now, const Event& event);

  // Returns the latest time by which Step() must be called with a Tick, or
  // Instant::max() if no timer is running.
  base::Instant NextDeadline() const;

  const Member& Self() const;
  Role GetRole() const;
  Term GetTerm() const;
  const Member& Leader() const;  // id is empty if the leader is unknown
  // Returns the latest membership in the log. It is in effect, but may be
  // undone until it is committed.
  const Membership& GetMembership() const;
  // Returns the latest membership that is known to be committed: no failure
  // undoes it.
  const Membership& CommittedMembership() const;
  Index CommitIndex() const;
  Index LastIndex() const;
  Index SnapshotIndex() const;

  // On a leader, returns the last index up to which the member's durable log is
  // known to match. Returns std::nullopt on other replicas and for non-members.
  std::optional<Index> MatchOf(const ReplicaId& id) const;
  // On a leader, returns when each other member last replied, or became a
  // member or this replica the leader, if that was later. Empty on other
  // replicas.
  std::map<ReplicaId, base::Instant> Contacts() const;
  // On a leader, returns the latest time at which a quorum is known to have
  // followed it: no later leader was elected before. Returns std::nullopt on
  // other replicas, and until a quorum has replied to a heartbeat of this term.
  std::optional<base::Instant> LeadershipConfirmedAt() const;
  // On a leader, returns the number of learners that have caught up and could
  // vote now. 0 on other replicas.
  size_t CountReadyLearners() const;
  // Returns the voters that granted this candidate their vote, or their
  // pre-vote in the round before the election. Of no meaning on other replicas.
  const std::set<ReplicaId>& Votes() const;
  // Returns whether this replica leads and has committed a record of its term;
  // a leader can serve reads only from then on.
  bool HasCommittedInTerm() const;

 private:
  class Core;
  explicit Replica(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_REPLICA_H_
