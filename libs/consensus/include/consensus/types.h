// Types shared by the replication core, its storage and its callers: ids, log
// records, membership, and the state recovered from a data folder on restart.

#ifndef CONSENSUS_TYPES_H_
#define CONSENSUS_TYPES_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/id.h"
#include "wire/ids.h"

namespace sassafras::consensus {

// Identifies one data folder: 32 random hexadecimal digits. A host that has
// lost its disk rejoins under a new id.
using ReplicaId = base::Name<struct ReplicaTag>;
using Term = base::Number<struct TermTag>;
using Index = base::Number<struct IndexTag>;  // log index of a record, from 1

// Identifies a request such as Propose; chosen by the caller. Each token is
// resolved exactly once.
using Token = base::Number<struct TokenTag>;

// Numbers the persist requests of one run of a replica, from 1.
using Sequence = base::Number<struct SequenceTag>;

enum class RecordKind { kCommand, kMembership, kNoop };
NLOHMANN_JSON_SERIALIZE_ENUM(RecordKind,
                             {{RecordKind::kCommand, "command"},
                              {RecordKind::kMembership, "membership"},
                              {RecordKind::kNoop, "noop"}})

// One entry of the replicated log. `payload` is arbitrary bytes: the caller's
// command, or a CBOR-encoded Membership.
struct Record {
  Term term;
  Index index;
  RecordKind kind = RecordKind::kCommand;
  std::string payload;

  friend bool operator==(const Record&, const Record&) = default;
};
void to_json(nlohmann::json& out, const Record& record);
void from_json(const nlohmann::json& in, Record& record);

struct Member {
  ReplicaId id;
  wire::EntryId
      name;  // the process that runs the replica; determines its address

  friend bool operator==(const Member&, const Member&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Member, id, name)

// The replicas that hold copies of the log. Only voters count toward a quorum;
// a learner is promoted to voter once it has caught up. No id is in both lists.
struct Membership {
  std::vector<Member> voters;
  std::vector<Member> learners;

  bool IsEmpty() const { return voters.empty() && learners.empty(); }
  bool IsVoter(const ReplicaId& id) const;
  bool IsLearner(const ReplicaId& id) const;
  const Member* Find(const ReplicaId& id) const;
  const Member* FindByName(const wire::EntryId& name) const;
  size_t Quorum() const { return voters.size() / 2 + 1; }

  friend bool operator==(const Membership&, const Membership&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, voters, learners)

// The durable state of a replica besides its log. The term never decreases;
// within one term `voted_for` is set at most once.
struct HardState {
  Term term;
  ReplicaId voted_for;  // empty: no vote granted in this term

  friend bool operator==(const HardState&, const HardState&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HardState, term, voted_for)

// The last record that a snapshot covers, and the membership as of that record.
struct SnapshotMeta {
  Index index;
  Term term;
  Membership membership;

  friend bool operator==(const SnapshotMeta&, const SnapshotMeta&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SnapshotMeta,
                                                index,
                                                term,
                                                membership)

// The serialized state machine as of `meta.index`. The bytes are immutable and
// shared, as they may be large.
struct Snapshot {
  SnapshotMeta meta;
  std::shared_ptr<const std::string> bytes;
};

// The contents of a data folder when it was opened. The caller restores its
// state machine from `snapshot`, if set, before it creates the replica; the
// replica returns records after the snapshot through Effects::committed.
struct Recovered {
  ReplicaId id;  // generated when the folder was first opened
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<Record> records;  // consecutive, starting after the snapshot
};

// A request to storage. The members are carried out in this order, then the
// request is made durable as a whole together with all earlier ones; the caller
// reports completion with Synced{sequence}. Requests of one replica are carried
// out in the order of their sequence.
struct PersistRequest {
  Sequence sequence;
  std::optional<HardState> hard_state;
  std::optional<Index> truncate_from;  // delete this record and all later ones
  std::optional<Snapshot> snapshot;    // delete the records up to meta.index
  std::vector<Record> records;         // records to append

  bool IsEmpty() const {
    return !hard_state && !truncate_from && !snapshot && records.empty();
  }
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_TYPES_H_
