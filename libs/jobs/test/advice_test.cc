// Tests the validity of permits and the assignment of queries to hosts.

#include "jobs/advice.h"

#include <set>

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(ms));
}

StepKey Key(const std::string& job) {
  return {wire::JobId(job), 0, 0};
}

AdviceRequest MakeRequest(const std::string& job, double decide_ms = 20) {
  AdviceRequest request;
  request.step = Key(job);
  request.policy = {true, decide_ms, 0.3, 2000};
  request.candidates = {Boot("w0"), Boot("w1")};
  request.has_capacity = true;
  return request;
}

// Names 150 workers.
AdviceRequest MakeLargeRequest(const std::string& job, double decide_ms = 20) {
  AdviceRequest request = MakeRequest(job, decide_ms);
  request.candidates.clear();
  for (int n = 0; n < 150; ++n) {
    request.candidates.push_back(Boot("w" + std::to_string(n)));
  }
  return request;
}

std::vector<wire::EntryId> MakeHosts(int n) {
  std::vector<wire::EntryId> hosts;
  for (int i = 0; i < n; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  return hosts;
}

TEST(AdviceTracker, ATicketIsValidForOneBootAndALimitedTime) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeRequest("a")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(1), At(0));
  ASSERT_EQ(assigned.size(), 1U);
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  tracker.OnAnswer(assigned[0].query.id, permits, At(30));
  ASSERT_NE(tracker.Ticket(Key("a"), Boot("w1"), At(40)), nullptr);
  EXPECT_EQ(*tracker.Ticket(Key("a"), Boot("w1"), At(40)), "t");
  EXPECT_EQ(tracker.Ticket(Key("a"), Boot("w0"), At(40)), nullptr);
  EXPECT_EQ(tracker.Ticket(Key("a"), Boot("w1", 2), At(40)), nullptr);
  EXPECT_EQ(tracker.Ticket(Key("b"), Boot("w1"), At(40)), nullptr);
  EXPECT_EQ(tracker.Ticket(Key("a"), Boot("w1"), At(2020)), nullptr);
}

// A filler without memory needs claims nothing, on a worker that others claim.
TEST(AdviceTracker, ClaimsOfNothingEndBesideOthers) {
  AdviceTracker tracker;
  std::vector<AdviceRequest> requests = {MakeRequest("a"), MakeRequest("b")};
  requests[0].claims = {{Boot("w0"), 1, {1000, 0, 0}}};
  requests[1].claims = {{Boot("w0"), 1, {}}};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(2), At(0));
  ASSERT_EQ(assigned.size(), 2U);
  for (const AssignedQuery& it : assigned) {
    tracker.OnAnswer(it.query.id, {}, At(30));
  }
  EXPECT_EQ(tracker.ClaimedOn(Boot("w0")), Resources());
}

TEST(AdviceTracker, RenewsExpiredTicketsForPermittedWorkersOnly) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeRequest("a")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(1), At(0));
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  tracker.OnAnswer(assigned[0].query.id, permits, At(30));
  EXPECT_TRUE(tracker.AssignQueries(requests, MakeHosts(1), At(40)).empty());
  const auto again = tracker.AssignQueries(requests, MakeHosts(1), At(3000));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].query.workers,
            std::vector<wire::WorkerId>{wire::WorkerId("w1")});
}

// Tickets of two answers would otherwise never be valid at the same time.
TEST(AdviceTracker, RenewsTicketsTogetherThatWouldExpireBeforeTheAnswer) {
  AdviceTracker tracker;
  std::vector<AdviceRequest> requests = {MakeRequest("a", 800)};
  const auto query = [&](const std::string& worker, int64_t ms) {
    requests[0].candidates = {Boot(worker)};
    const auto assigned = tracker.AssignQueries(requests, MakeHosts(4), At(ms));
    ASSERT_EQ(assigned.size(), 1U);
    const std::vector<Permit> permits = {{wire::WorkerId(worker), "t"}};
    tracker.OnAnswer(assigned[0].query.id, permits, At(ms + 800));
  };
  ASSERT_NO_FATAL_FAILURE(query("w0", 0));    // valid until 2600
  ASSERT_NO_FATAL_FAILURE(query("w1", 900));  // valid until 3500
  requests[0].candidates = {Boot("w0"), Boot("w1")};
  requests[0].renews_early = true;
  EXPECT_FALSE(tracker.NeedsQuery(requests[0], At(1500)));
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(4), At(2550));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].query.workers.size(), 2U);
}

TEST(AdviceTracker, HostsShareTheWorkersOfALargeRequest) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeLargeRequest("a")};
  const auto parts = tracker.AssignQueries(requests, MakeHosts(10), At(0));
  ASSERT_EQ(parts.size(), 3U);
  std::set<wire::WorkerId> named;
  for (const AssignedQuery& it : parts) {
    EXPECT_EQ(it.query.workers.size(), 50U);
    named.insert(it.query.workers.begin(), it.query.workers.end());
  }
  EXPECT_EQ(named.size(), 150U);
  for (const AssignedQuery& it : parts) {
    EXPECT_TRUE(tracker.HasOpenQuery(Key("a")));
    tracker.OnAnswer(it.query.id, {}, At(30));
  }
  EXPECT_FALSE(tracker.HasOpenQuery(Key("a")));
}

TEST(AdviceTracker, PartsOfASlowRequestLeaveTheLastHostsToQuickOnes) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeLargeRequest("a", 500)};
  const auto parts = tracker.AssignQueries(requests, MakeHosts(4), At(0));
  EXPECT_EQ(parts.size(), 2U);
}

// Others would have to wait for the hosts that it takes.
TEST(AdviceTracker, ALargeRequestIsOneQueryWhereFewHostsAreIdle) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeLargeRequest("a")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(1), At(0));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].query.workers.size(), 100U);
}

// Many jobs arrive at once, and every query occupies a host.
TEST(AdviceTracker, EachHostHasOneQueryInFlight) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {
      MakeRequest("a"), MakeRequest("b"), MakeRequest("c"), MakeRequest("d")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(3), At(0));
  ASSERT_EQ(assigned.size(), 3U);
  EXPECT_EQ(assigned[0].query.step, Key("a"));
  EXPECT_NE(assigned[0].host, assigned[1].host);
  EXPECT_TRUE(tracker.AssignQueries(requests, MakeHosts(3), At(1)).empty());
  tracker.OnAnswer(assigned[0].query.id, {}, At(30));
  const auto next = tracker.AssignQueries(requests, MakeHosts(3), At(31));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].query.step, Key("d"));
}

TEST(AdviceTracker, SlowQueriesLeaveTheLastHostsToQuickOnes) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {
      MakeRequest("a", 500), MakeRequest("b", 500), MakeRequest("c", 500),
      MakeRequest("d")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(4), At(0));
  ASSERT_EQ(assigned.size(), 3U);
  EXPECT_EQ(assigned[2].query.step, Key("d"));
}

TEST(AdviceTracker, RetriesAFailedQueryAfterADelay) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeRequest("a")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(1), At(0));
  tracker.OnFailure(assigned[0].query.id, At(10));
  EXPECT_TRUE(tracker.AssignQueries(requests, MakeHosts(1), At(11)).empty());
  EXPECT_EQ(tracker.AssignQueries(requests, MakeHosts(1), At(600)).size(), 1U);
}

TEST(AdviceTracker, ForgetsThePermitsOfAnEndedJob) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeRequest("a"),
                                               MakeRequest("b")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(2), At(0));
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  tracker.OnAnswer(assigned[0].query.id, permits, At(30));
  tracker.OnAnswer(assigned[1].query.id, permits, At(30));
  tracker.ForgetJob(wire::JobId("a"));
  EXPECT_EQ(tracker.Ticket(Key("a"), Boot("w1"), At(40)), nullptr);
  EXPECT_NE(tracker.Ticket(Key("b"), Boot("w1"), At(40)), nullptr);
}

TEST(AdviceTracker, AFailedHostBacksOffWhileOthersQuery) {
  AdviceTracker tracker;
  const std::vector<AdviceRequest> requests = {MakeRequest("a")};
  const auto assigned = tracker.AssignQueries(requests, MakeHosts(2), At(0));
  tracker.OnFailure(assigned[0].query.id, At(4));
  const auto again = tracker.AssignQueries(requests, MakeHosts(2), At(50));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_NE(again[0].host, assigned[0].host);
}

}  // namespace
}  // namespace sassafras::jobs
