// Control hosts of the job queues that are replaced for good, and the loss of
// another one after that.

#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "await.h"
#include "job_hosts.h"

namespace sassafras::tests {
namespace {

// A replaced host stops counting as lost once its successor has run this long;
// from then on the cluster must bear another loss.
constexpr auto kCatchUp = std::chrono::seconds(4);

bool AwaitGroup(const JobHosts& hosts, size_t followers) {
  return Await([&] {
    return !hosts.Leader().empty() && hosts.Followers().size() == followers;
  });
}

class ReplacedHostTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(AwaitGroup(hosts_, 2)); }

  // Adds a host that takes part without a vote.
  void AddStandby() {
    hosts_.Add();
    ASSERT_TRUE(Await([&] { return hosts_.Learners().size() == 1; }));
  }

  void WipeLeader() {
    const std::string wiped = hosts_.Leader();
    ASSERT_FALSE(wiped.empty());
    hosts_.LoseDisk(wiped);
  }

  JobHosts hosts_{3};
};

// inc1: the gone host still counted towards the quorum, so the wiped one left
// two of four voters, and nobody led any more.
TEST_F(ReplacedHostTest, LeaderThatLosesItsDiskAfterAReplacementIsFollowed) {
  hosts_.Remove(hosts_.Followers().front());
  hosts_.Add();
  ASSERT_TRUE(AwaitGroup(hosts_, 2)) << "the successor doesn't vote";
  std::this_thread::sleep_for(kCatchUp);
  ASSERT_NO_FATAL_FAILURE(WipeLeader());
  EXPECT_TRUE(AwaitGroup(hosts_, 2)) << "the cluster has no leader";
}

// A host that was told to stop still voted when it was gone, so that the loss
// of another left one of three votes.
TEST_F(ReplacedHostTest, LeaderLosesItsDiskWhenAReplacedHostHasJustStopped) {
  ASSERT_NO_FATAL_FAILURE(AddStandby());
  std::this_thread::sleep_for(kCatchUp);
  hosts_.Retire(hosts_.Followers().front());
  ASSERT_NO_FATAL_FAILURE(WipeLeader());
  EXPECT_TRUE(AwaitGroup(hosts_, 2)) << "the cluster has no leader";
}

TEST_F(ReplacedHostTest, LeaderThatIsToldToStopGivesWayToALearner) {
  ASSERT_NO_FATAL_FAILURE(AddStandby());
  hosts_.Retire(hosts_.Leader());
  EXPECT_TRUE(AwaitGroup(hosts_, 2)) << "the cluster has no three voters";
}

}  // namespace
}  // namespace sassafras::tests
