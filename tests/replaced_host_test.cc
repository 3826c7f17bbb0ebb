// Control hosts of the job queues that are replaced for good, and the loss of
// another one after that.

#include <algorithm>
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

// inc1: the gone host still counted towards the quorum, so the wiped one left
// two of four voters, and nobody led any more.
TEST(ReplacedHostTest, LeaderThatLosesItsDiskAfterAReplacementIsFollowed) {
  JobHosts hosts(3);
  ASSERT_TRUE(AwaitGroup(hosts, 2));
  hosts.Remove(hosts.Followers().front());
  hosts.Add();
  ASSERT_TRUE(AwaitGroup(hosts, 2)) << "the successor doesn't vote";
  std::this_thread::sleep_for(kCatchUp);
  const std::string wiped = hosts.Leader();
  ASSERT_FALSE(wiped.empty());
  hosts.LoseDisk(wiped);
  EXPECT_TRUE(AwaitGroup(hosts, 2)) << "the cluster has no leader";
}

// A host that was told to stop still voted when it was gone, so that the loss
// of another left one of three votes.
TEST(ReplacedHostTest, LeaderLosesItsDiskWhenAReplacedHostHasJustStopped) {
  JobHosts hosts(3);
  ASSERT_TRUE(AwaitGroup(hosts, 2));
  hosts.Add();
  ASSERT_TRUE(Await([&] { return hosts.Learners().size() == 1; }));
  std::this_thread::sleep_for(kCatchUp);
  hosts.Retire(hosts.Followers().front());
  const std::string wiped = hosts.Leader();
  ASSERT_FALSE(wiped.empty());
  hosts.LoseDisk(wiped);
  EXPECT_TRUE(AwaitGroup(hosts, 2)) << "the cluster has no leader";
}

TEST(ReplacedHostTest, LeaderThatIsToldToStopGivesWayToALearner) {
  JobHosts hosts(3);
  ASSERT_TRUE(AwaitGroup(hosts, 2));
  hosts.Add();
  ASSERT_TRUE(Await([&] { return hosts.Learners().size() == 1; }));
  hosts.Retire(hosts.Leader());
  EXPECT_TRUE(AwaitGroup(hosts, 2)) << "the cluster has no three voters";
}

}  // namespace
}  // namespace sassafras::tests
