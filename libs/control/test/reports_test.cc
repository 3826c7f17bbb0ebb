// Tests what the report of the cluster says of a membership change that is
// still under way.

#include "reports.h"

#include <cstdint>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "consensus/replica.h"

namespace sassafras::control {
namespace {

using consensus::Effects;
using consensus::Event;
using consensus::Index;
using consensus::Member;
using consensus::Message;
using consensus::MessageKind;
using consensus::ReplicaId;
using consensus::Token;

const Member kLeader{ReplicaId("a"), wire::EntryId("entry-a")};
const Member kNew{ReplicaId("b"), wire::EntryId("entry-b")};

class ReportReplicasTest : public testing::Test {
 protected:
  // Makes kLeader the leader of a cluster of its own.
  void SetUp() override {
    consensus::Options options;
    options.name = kLeader.name;
    consensus::Recovered disk;
    disk.id = kLeader.id;
    consensus::ConsensusReason why;
    replica_ = consensus::Replica::Create(options, disk, 1, now_, why);
    ASSERT_TRUE(replica_) << why.message;
    Step(consensus::Bootstrap{Token(1)});
    Sync();
    Sync();
    ASSERT_TRUE(replica_->HasCommittedInTerm());
  }

  void Step(const Event& event) {
    const Effects effects = replica_->Step(now_, event);
    if (effects.persist) {
      sequence_ = effects.persist->sequence;
    }
  }
  void Sync() { Step(consensus::Synced{sequence_}); }

  // kNew has every record that the leader has.
  void AcknowledgeAll() {
    Message ack;
    ack.kind = MessageKind::kAppendReply;
    ack.from = kNew;
    ack.to = kLeader;
    ack.term = replica_->GetTerm();
    ack.is_granted = true;
    ack.index = replica_->LastIndex();
    Step(consensus::Receive{ack});
  }

  // Returns the role that the report gives kNew, or an empty string.
  std::string RoleOfNew() const {
    for (const auto& it : ReportReplicas(*replica_)) {
      if (it["name"] == kNew.name.str()) {
        return it["role"];
      }
    }
    return "";
  }

  base::Instant now_{std::chrono::seconds(10)};
  std::optional<consensus::Replica> replica_;
  consensus::Sequence sequence_;
};

// Guards against a report that calls a replica a voter while the loss of one
// host still undoes its promotion: the host that is replaced next took the
// quorum with it.
TEST_F(ReportReplicasTest, AReplicaIsAVoterOnlyOnceItsPromotionIsCommitted) {
  Step(consensus::AddLearner{Token(2), kNew});
  EXPECT_EQ(RoleOfNew(), "");
  Sync();
  EXPECT_EQ(RoleOfNew(), "learner");
  AcknowledgeAll();
  Sync();
  ASSERT_TRUE(replica_->GetMembership().IsVoter(kNew.id));
  EXPECT_EQ(RoleOfNew(), "learner");
  AcknowledgeAll();
  EXPECT_EQ(RoleOfNew(), "voter");
}

// Guards against a removal that is reported while it can still be undone.
TEST_F(ReportReplicasTest, AReplicaIsGoneOnlyOnceItsRemovalIsCommitted) {
  Step(consensus::AddLearner{Token(2), kNew});
  Sync();
  ASSERT_EQ(RoleOfNew(), "learner");
  Step(consensus::RemoveMember{Token(3), kNew.id});
  EXPECT_EQ(RoleOfNew(), "learner");
  Sync();
  EXPECT_EQ(RoleOfNew(), "");
}

}  // namespace
}  // namespace sassafras::control
