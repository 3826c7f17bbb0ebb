// Tests the validity of permits and the assignment of queries to hosts.

#include "jobs/advice.h"

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

AdviceWish Wish(const std::string& job, double decide_ms = 20) {
  AdviceWish wish;
  wish.step = Key(job);
  wish.policy = {true, decide_ms, 0.3, 2000};
  wish.candidates = {Boot("w0"), Boot("w1")};
  wish.has_room = true;
  return wish;
}

std::vector<wire::EntryId> MakeHosts(int n) {
  std::vector<wire::EntryId> hosts;
  for (int i = 0; i < n; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  return hosts;
}

TEST(AdviceBook, ATicketIsValidForOneBootAndALimitedTime) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a")};
  const auto asked = book.Ask(wishes, MakeHosts(1), At(0));
  ASSERT_EQ(asked.size(), 1U);
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  book.OnAnswer(asked[0].question.id, permits, At(30));
  ASSERT_NE(book.Ticket(Key("a"), Boot("w1"), At(40)), nullptr);
  EXPECT_EQ(*book.Ticket(Key("a"), Boot("w1"), At(40)), "t");
  EXPECT_EQ(book.Ticket(Key("a"), Boot("w0"), At(40)), nullptr);
  EXPECT_EQ(book.Ticket(Key("a"), Boot("w1", 2), At(40)), nullptr);
  EXPECT_EQ(book.Ticket(Key("b"), Boot("w1"), At(40)), nullptr);
  EXPECT_EQ(book.Ticket(Key("a"), Boot("w1"), At(2020)), nullptr);
}

TEST(AdviceBook, RenewsExpiredTicketsForPermittedWorkersOnly) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a")};
  const auto asked = book.Ask(wishes, MakeHosts(1), At(0));
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  book.OnAnswer(asked[0].question.id, permits, At(30));
  EXPECT_TRUE(book.Ask(wishes, MakeHosts(1), At(40)).empty());
  const auto again = book.Ask(wishes, MakeHosts(1), At(3000));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].question.workers,
            std::vector<wire::WorkerId>{wire::WorkerId("w1")});
}

// Many jobs arrive at once, and every query occupies a host.
TEST(AdviceBook, EachHostHasOneQueryInFlight) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a"), Wish("b"), Wish("c"),
                                          Wish("d")};
  const auto asked = book.Ask(wishes, MakeHosts(3), At(0));
  ASSERT_EQ(asked.size(), 3U);
  EXPECT_EQ(asked[0].question.step, Key("a"));
  EXPECT_NE(asked[0].host, asked[1].host);
  EXPECT_TRUE(book.Ask(wishes, MakeHosts(3), At(1)).empty());
  book.OnAnswer(asked[0].question.id, {}, At(30));
  const auto next = book.Ask(wishes, MakeHosts(3), At(31));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].question.step, Key("d"));
}

TEST(AdviceBook, SlowQueriesLeaveTheLastHostsToQuickOnes) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a", 500), Wish("b", 500),
                                          Wish("c", 500), Wish("d")};
  const auto asked = book.Ask(wishes, MakeHosts(4), At(0));
  ASSERT_EQ(asked.size(), 3U);
  EXPECT_EQ(asked[2].question.step, Key("d"));
}

TEST(AdviceBook, RetriesAFailedQueryAfterADelay) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a")};
  const auto asked = book.Ask(wishes, MakeHosts(1), At(0));
  book.OnFailure(asked[0].question.id, At(10));
  EXPECT_TRUE(book.Ask(wishes, MakeHosts(1), At(11)).empty());
  EXPECT_EQ(book.Ask(wishes, MakeHosts(1), At(600)).size(), 1U);
}

TEST(AdviceBook, ForgetsThePermitsOfAnEndedJob) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a"), Wish("b")};
  const auto asked = book.Ask(wishes, MakeHosts(2), At(0));
  const std::vector<Permit> permits = {{wire::WorkerId("w1"), "t"}};
  book.OnAnswer(asked[0].question.id, permits, At(30));
  book.OnAnswer(asked[1].question.id, permits, At(30));
  book.ForgetJob(wire::JobId("a"));
  EXPECT_EQ(book.Ticket(Key("a"), Boot("w1"), At(40)), nullptr);
  EXPECT_NE(book.Ticket(Key("b"), Boot("w1"), At(40)), nullptr);
}

TEST(AdviceBook, AFailedHostBacksOffWhileOthersQuery) {
  AdviceBook book;
  const std::vector<AdviceWish> wishes = {Wish("a")};
  const auto asked = book.Ask(wishes, MakeHosts(2), At(0));
  book.OnFailure(asked[0].question.id, At(4));
  const auto again = book.Ask(wishes, MakeHosts(2), At(50));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_NE(again[0].host, asked[0].host);
}

}  // namespace
}  // namespace sassafras::jobs
