// Tests what the report of the cluster says of a membership change that is
// still under way.

#include "reports.h"

#include <string>

#include <gtest/gtest.h>

#include "single_replica_test.h"

namespace sassafras::control {
namespace {

using consensus::kB;
using consensus::Token;

class ReportReplicasTest : public consensus::SingleReplicaTest {
 protected:
  // Makes the replica the leader of a cluster of its own.
  void SetUp() override {
    ASSERT_NO_FATAL_FAILURE(BootstrapAlone());
    Sync();
    Sync();
    ASSERT_TRUE(replica_->HasCommittedInTerm());
  }

  // The new replica has every record that the leader has.
  void AcknowledgeAll() { Deliver(Ack(kB, replica_->LastIndex().value())); }

  // Returns the role that the report gives the new replica, or an empty string.
  std::string RoleOfNew() const {
    for (const auto& it : ReportReplicas(*replica_)) {
      if (it["name"] == kB.name.str()) {
        return it["role"];
      }
    }
    return "";
  }
};

// Guards against a report that calls a replica a voter while the loss of one
// host still undoes its promotion: the host that is replaced next took the
// quorum with it.
TEST_F(ReportReplicasTest, AReplicaIsAVoterOnlyOnceItsPromotionIsCommitted) {
  Step(consensus::AddLearner{Token(2), kB});
  EXPECT_EQ(RoleOfNew(), "");
  Sync();
  EXPECT_EQ(RoleOfNew(), "learner");
  AcknowledgeAll();
  Sync();
  ASSERT_TRUE(replica_->GetMembership().IsVoter(kB.id));
  EXPECT_EQ(RoleOfNew(), "learner");
  AcknowledgeAll();
  EXPECT_EQ(RoleOfNew(), "voter");
}

// Guards against a removal that is reported while it can still be undone.
TEST_F(ReportReplicasTest, AReplicaIsGoneOnlyOnceItsRemovalIsCommitted) {
  Step(consensus::AddLearner{Token(2), kB});
  Sync();
  ASSERT_EQ(RoleOfNew(), "learner");
  Step(consensus::RemoveMember{Token(3), kB.id});
  EXPECT_EQ(RoleOfNew(), "learner");
  Sync();
  EXPECT_EQ(RoleOfNew(), "");
}

}  // namespace
}  // namespace sassafras::control
