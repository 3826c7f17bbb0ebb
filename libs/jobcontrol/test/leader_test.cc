// Tests of the leader with an in-memory job table, log and workers.

#include "jobcontrol/leader.h"

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

TEST_F(LeaderTest, ASubmissionIsAcceptedOnlyAfterItIsRecorded) {
  Submit("j");
  EXPECT_EQ(submitted_, RecordResult::kNotRecorded);
  context_.Commit();
  EXPECT_EQ(submitted_, RecordResult::kRecorded);
}

TEST_F(LeaderTest, AStartIsOrderedOnlyAfterItIsRecorded) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  EXPECT_TRUE(context_.orders.empty());
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 1U);
  EXPECT_EQ(FirstStart().run, 1U);
  EXPECT_GT(context_.orders[0].call.lease_until_ms, context_.ClockMs());
}

TEST_F(LeaderTest, AnEndIsAcknowledgedOnlyAfterItIsRecorded) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.Commit();
  context_.orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  jobs::HoldReply lists;
  lists.ended = {{1, FirstStart().task, 1, jobs::RunOutcome::kDone, ""}};
  context_.AnswerHolds(lists);
  EXPECT_TRUE(context_.holds.empty());
  context_.Commit();
  ASSERT_EQ(context_.holds.size(), 1U);
  EXPECT_EQ(context_.holds[0].call.end_cursor, 1U);
  EXPECT_EQ(context_.table().FindJob(wire::JobId("j"))->phase,
            jobs::JobPhase::kCompleted);
}

// A worker that loses its connection may keep running its tasks, so restarting
// them before its lease expires would run them twice.
TEST_F(LeaderTest,
       ATaskOfASilentWorkerRestartsElsewhereOnlyAfterItsLeaseExpires) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.Commit();
  const base::Instant ordered = context_.Now();
  context_.orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  AddWorker("v");
  const auto count_starts = [&] { return context_.orders.size(); };
  const size_t before = count_starts();
  while (count_starts() == before &&
         context_.Now() - ordered < milliseconds(20'000)) {
    for (auto& hold : std::exchange(context_.holds, {})) {
      jobs::HoldReply reply;
      reply.is_answered = hold.worker.boot.id == wire::WorkerId("v");
      reply.clock_ms = context_.ClockMs();
      hold.done(reply);
    }
    context_.Advance(milliseconds(100));
    context_.Commit();
  }
  ASSERT_GT(count_starts(), before);
  EXPECT_EQ(context_.orders.back().worker.boot.id, wire::WorkerId("v"));
  EXPECT_EQ(std::get<jobs::StartOrder>(context_.orders.back().call.order).run,
            2U);
  EXPECT_GT(context_.Now() - ordered, milliseconds(4000));
}

// A cut that answers with resets looks like a crash from all hosts, so a
// refused connection proves no more than silence.
TEST_F(LeaderTest,
       ATaskOfARefusingWorkerRestartsElsewhereOnlyAfterItsLeaseExpires) {
  ASSERT_NO_FATAL_FAILURE(RunTask());
  const base::Instant ordered = context_.Now();
  AddWorker("v");
  const size_t before = context_.orders.size();
  while (context_.orders.size() == before &&
         context_.Now() - ordered < milliseconds(20'000)) {
    for (auto& hold : std::exchange(context_.holds, {})) {
      jobs::HoldReply reply;
      reply.is_answered = hold.worker.boot.id == wire::WorkerId("v");
      reply.is_refused = !reply.is_answered;
      reply.clock_ms = context_.ClockMs();
      hold.done(reply);
    }
    context_.Advance(milliseconds(100));
    context_.Commit();
  }
  ASSERT_GT(context_.orders.size(), before);
  EXPECT_GT(context_.Now() - ordered, milliseconds(4000));
}

// The process of a leader was stopped for 4 s. It went on with a lease of its
// workers that outlived the time for which its successor waits.
TEST_F(LeaderTest, ALeaderThatWasStoppedExtendsLeasesOnlyAsOfItsLastProof) {
  AddWorker("w");
  context_.AnswerHolds({});
  const int64_t led_until = context_.ClockMs();
  context_.leads_at = context_.Now();
  context_.Advance(milliseconds(4000));
  // The reply had arrived while the process was stopped.
  context_.AnswerHolds({});
  ASSERT_EQ(context_.holds.size(), 1U);
  EXPECT_LE(context_.holds[0].call.lease_until_ms, led_until + 4000);
}

// A disconnected worker may return as the same boot, take work again and be
// lost later. The leader must not skip it as already removed.
TEST_F(LeaderTest, AReturnedWorkerIsDeclaredLostAgain) {
  AddWorker("w");
  context_.AnswerHolds({});
  const auto lose = [&] {
    const base::Instant begun = context_.Now();
    while (context_.table().FindWorker(wire::WorkerId("w")) != nullptr &&
           context_.Now() - begun < milliseconds(20'000)) {
      for (auto& hold : std::exchange(context_.holds, {})) {
        hold.done({});
      }
      context_.Advance(milliseconds(100));
      context_.Commit();
    }
  };
  lose();
  ASSERT_EQ(context_.table().FindWorker(wire::WorkerId("w")), nullptr);
  ASSERT_NO_FATAL_FAILURE(RunTask());
  lose();
  EXPECT_EQ(context_.table().FindWorker(wire::WorkerId("w")), nullptr);
}

TEST_F(LeaderTest, RunsOfACancelledJobAreStopped) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j", 2);
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 2U);
  for (auto& order : std::exchange(context_.orders, {})) {
    order.done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  }
  context_.leader->Cancel(wire::JobId("j"), [](RecordResult) {});
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 2U);
  EXPECT_TRUE(
      std::holds_alternative<jobs::StopOrder>(context_.orders[0].call.order));
}

TEST_F(LeaderTest, ANewLeaderStartsNoRunOnAWorkerBeforeItsHoldReply) {
  AddWorker("w");
  Elect(2);
  Submit("j");
  context_.Commit();
  EXPECT_TRUE(context_.orders.empty());
  context_.AnswerHolds({});
  context_.Commit();
  EXPECT_EQ(context_.orders.size(), 1U);
}

TEST_F(LeaderTest, ANewLeaderKeepsActiveRuns) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.Commit();
  const jobs::TaskKey task = FirstStart().task;
  Elect(2);
  jobs::HoldReply lists;
  lists.running = {{task, 1, "", 50, 0}};
  context_.AnswerHolds(lists);
  context_.Commit();
  EXPECT_TRUE(context_.orders.empty());
  EXPECT_TRUE(
      context_.table().FindJob(wire::JobId("j"))->FindTask(task)->is_open);
}

// The worker "w" was taken for gone, and its task was started on "v". Then "w"
// reported it done, and the leader changed before the stop was carried out.
TEST_F(LeaderTest, ANewLeaderStopsASurplusRun) {
  const auto answer = [&](const std::string& id, jobs::HoldReply reply) {
    for (auto& hold : std::exchange(context_.holds, {})) {
      reply.is_answered = hold.worker.boot.id == wire::WorkerId(id);
      reply.clock_ms = context_.ClockMs();
      hold.done(reply);
    }
  };
  AddWorker("w");
  context_.AnswerHolds({});
  jobs::StepSpec first;
  first.need.cpu_milli = 1000;
  jobs::StepSpec second = first;
  second.after = {0};
  context_.leader->Submit(
      {wire::JobId("j"), jobs::QueueId("q"), {"text", {first, second}}},
      [](RecordResult) {});
  context_.Commit();
  const jobs::TaskKey task = FirstStart().task;
  context_.orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  while (context_.table().FindWorker(wire::WorkerId("w")) != nullptr &&
         context_.ClockMs() < kGiveUpMs) {
    answer("v", {});
    context_.Advance(milliseconds(100));
    context_.Commit();
  }
  AddWorker("v");
  answer("v", {});
  context_.Commit();
  ASSERT_EQ(context_.orders.back().worker.boot.id, wire::WorkerId("v"));
  AddWorker("w");
  jobs::HoldReply report;
  report.ended = {{1, task, 1, jobs::RunOutcome::kDone, ""}};
  answer("w", report);
  Elect(2);
  context_.Commit();
  Elect(3);
  jobs::HoldReply running;
  running.running = {{task, 2, "", 10, 0}};
  answer("v", running);
  ASSERT_EQ(context_.orders.size(), 1U);
  const auto* stop =
      std::get_if<jobs::StopOrder>(&context_.orders[0].call.order);
  ASSERT_NE(stop, nullptr);
  EXPECT_EQ(stop->run, 2U);
}

// After all control hosts lose power, the next leader has to call every worker
// while its followers wait for its heartbeats. Sending all calls at once would
// delay the heartbeats.
TEST_F(LeaderTest, ANewLeaderCallsWorkersInSmallGroups) {
  constexpr size_t kWorkers = 100;
  constexpr size_t kMaxCallsPerTurn = 16;
  for (size_t n = 0; n < kWorkers; ++n) {
    AddWorker("w" + std::to_string(n));
  }
  Elect(2);
  size_t called = context_.holds.size();
  EXPECT_LE(called, kMaxCallsPerTurn);
  while (context_.RunDeferred()) {
    EXPECT_LE(context_.holds.size() - called, kMaxCallsPerTurn);
    called = context_.holds.size();
  }
  EXPECT_EQ(called, kWorkers);
}

// A worker may leave calls unanswered for a while. Its last known progress must
// not be taken for a run without progress.
TEST_F(LeaderTest, AnUnansweredHoldDoesNotMarkARunAsStuck) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.Commit();
  for (auto& order : std::exchange(context_.orders, {})) {
    order.done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  }
  jobs::HoldReply lists;
  const jobs::TaskKey task{{wire::JobId("j"), 0, 0}, 0};
  lists.running.push_back({task, 1, "", 40, 0});
  context_.AnswerHolds(lists);
  context_.Advance(milliseconds(1'600));
  for (auto& hold : std::exchange(context_.holds, {})) {
    hold.done({});
  }
  context_.Advance(milliseconds(300));
  EXPECT_TRUE(context_.orders.empty());
}

// A worker rejects one gang member because it has no valid ticket. The other
// members would wait for it and occupy their workers.
TEST_F(LeaderTest, OtherGangMembersAreStoppedWhenOneIsRejected) {
  AddWorker("w");
  AddWorker("v");
  context_.AnswerHolds({});
  jobs::StepSpec gang;
  gang.count = 2;
  gang.is_gang = true;
  gang.need.cpu_milli = 4000;
  context_.leader->Submit({wire::JobId("g"), jobs::QueueId("q"), {"", {gang}}},
                          [](RecordResult) {});
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 2U);
  auto orders = std::exchange(context_.orders, {});
  orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  orders[1].done({jobs::OrderResult::kNoTicket, context_.ClockMs()});
  context_.Advance(milliseconds(1));
  ASSERT_EQ(context_.orders.size(), 1U);
  EXPECT_TRUE(
      std::holds_alternative<jobs::StopOrder>(context_.orders[0].call.order));
  EXPECT_EQ(context_.orders[0].worker.boot.id, orders[0].worker.boot.id);
}

TEST_F(LeaderTest, ARejectedStartIsRetried) {
  AddWorker("w");
  context_.AnswerHolds({});
  Submit("j");
  context_.Commit();
  context_.orders[0].done({jobs::OrderResult::kNoCapacity, context_.ClockMs()});
  context_.Commit();
  ASSERT_EQ(context_.orders.size(), 2U);
  EXPECT_EQ(std::get<jobs::StartOrder>(context_.orders[1].call.order).run, 2U);
}

}  // namespace
}  // namespace sassafras::jobcontrol
