// Tests what becomes of the runs of a worker that is back under its id, where
// calls that were meant for the boot before may reach the next one.

#include <optional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kTick = milliseconds(50);

class NextBootTest : public LeaderTest {
 protected:
  NextBootTest() {
    session_options_.max_lease = milliseconds(10'000);
    Elect(1);
    ++next_boot_.boot.started_ms;
  }

  // The worker "w" may have begun the task of the job "j", and "v" is free.
  void LeaveStartUnanswered() {
    ASSERT_NO_FATAL_FAILURE(OrderTask());
    first_ = FirstStart();
    start_token_ = context_.orders.at(0).fencing_token;
    std::exchange(context_.orders, {}).at(0).done({});
    AddWorker("v");
    PassTime(kTick);
  }

  void HearNextBoot() {
    context_.leader->OnHeartbeat(next_boot_, context_.ClockMs(),
                                 [](RecordResult) {});
    context_.Commit();
  }

  // Holds to the boots are answered: those of "v" with empty lists, those of
  // the next boot of "w" with `lists`, if any, and others not at all.
  void AnswerHoldsOf(const std::optional<jobs::HoldReply>& lists) {
    for (auto& hold : std::exchange(context_.holds, {})) {
      const bool is_next = hold.worker.boot == next_boot_.boot;
      if (is_next) {
        next_token_ = hold.fencing_token;
      }
      if (is_next && !lists) {
        context_.holds.push_back(std::move(hold));
        continue;
      }
      jobs::HoldReply reply = is_next ? *lists : jobs::HoldReply{};
      reply.is_answered = is_next || hold.worker.boot.id.str() == "v";
      reply.clock_ms = context_.ClockMs();
      hold.done(reply);
    }
    context_.Commit();
  }

  void PassTime(milliseconds time,
                const std::optional<jobs::HoldReply>& lists = std::nullopt) {
    for (milliseconds passed{}; passed < time; passed += kTick) {
      context_.Advance(kTick);
      context_.Commit();
      AnswerHoldsOf(lists);
      for (auto& order : std::exchange(context_.orders, {})) {
        Note(order);
      }
    }
  }

  void Note(FakeLeaderContext::SentOrder& order) {
    if (std::holds_alternative<jobs::StopOrder>(order.call.order)) {
      stopped_on_.push_back(order.worker.boot);
    } else if (const auto* start =
                   std::get_if<jobs::StartOrder>(&order.call.order)) {
      started_.push_back(*start);
    }
    order.done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  }

  jobs::HoldReply FirstRunIsRunning() const {
    jobs::HoldReply lists;
    lists.running = {{first_.task, first_.run, "", 10, 0}};
    return lists;
  }
  jobs::HoldReply FirstRunHasEnded(jobs::RunOutcome outcome) const {
    jobs::HoldReply lists;
    lists.ended = {{1, first_.task, first_.run, outcome, ""}};
    return lists;
  }

  jobs::WorkerInfo next_boot_ = Worker("w");
  jobs::StartOrder first_;
  uint64_t start_token_ = 0;
  uint64_t next_token_ = 0;  // of the last hold sent to the next boot
  std::vector<jobs::StartOrder> started_;
  std::vector<jobs::WorkerBoot> stopped_on_;
};

// The next boot of a worker under the same id carried out a start that was
// meant for the boot before, beside the run that was started elsewhere.
TEST_F(NextBootTest, ATaskRestartsOnceItsNextBootTakesNoEarlierStart) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(3000));
  EXPECT_TRUE(started_.empty()) << "the first run may begin in the next boot";
  ASSERT_GT(next_token_, start_token_)
      << "the next boot would carry out the first start";
  PassTime(milliseconds(500), jobs::HoldReply{});
  ASSERT_EQ(started_.size(), 1U);
  EXPECT_GT(started_[0].run, first_.run);
}

TEST_F(NextBootTest, AStartThatItCarriedOutIsStoppedBeforeItsTaskRestarts) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(2000), FirstRunIsRunning());
  EXPECT_TRUE(started_.empty());
  ASSERT_FALSE(stopped_on_.empty());
  EXPECT_EQ(stopped_on_[0], next_boot_.boot);
  PassTime(milliseconds(1500), FirstRunHasEnded(jobs::RunOutcome::kStopped));
  ASSERT_EQ(started_.size(), 1U);
  EXPECT_GT(started_[0].run, first_.run);
}

TEST_F(NextBootTest, ATaskThatItHasDoneIsNotStartedAgain) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(3000), FirstRunHasEnded(jobs::RunOutcome::kDone));
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(context_.table().FindJob(wire::JobId("j"))->phase,
            jobs::JobPhase::kCompleted);
}

TEST_F(NextBootTest, AWorkerWhoseNextBootRunsNothingGetsWorkAgain) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(500), jobs::HoldReply{});
  Submit("k", 8);
  PassTime(milliseconds(500), jobs::HoldReply{});
  const auto* record = context_.table().FindWorker(wire::WorkerId("w"));
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->info.boot, next_boot_.boot);
  EXPECT_FALSE(record->runs.empty());
}

// What reached the next boot before it fell silent may run for as long as a
// worker allows a lease to last.
TEST_F(NextBootTest, ASilentOneIsGivenUpAfterTheLongestLease) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(10'000));
  EXPECT_TRUE(started_.empty());
  PassTime(milliseconds(1000));
  EXPECT_EQ(started_.size(), 1U);
}

// Calls that were meant for the boot before acknowledged ends of the next one
// that nobody had read, and gave its runs longer leases.
TEST_F(NextBootTest, EachSessionHasAHigherFencingToken) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  PassTime(milliseconds(100));
  const uint64_t asked = next_token_;
  EXPECT_GT(asked, start_token_);
  PassTime(milliseconds(1000), jobs::HoldReply{});
  const uint64_t admitted = next_token_;
  EXPECT_GT(admitted, asked);
  Elect(2);
  PassTime(milliseconds(200));
  EXPECT_GT(next_token_, admitted);
}

// A batch of an earlier leader may record the next boot meanwhile.
TEST_F(NextBootTest, OneThatIsRecordedMeanwhileIsNotDeclaredLost) {
  ASSERT_NO_FATAL_FAILURE(LeaveStartUnanswered());
  HearNextBoot();
  jobs::Batch batch;
  batch.workers = {next_boot_};
  context_.Record(std::make_shared<const jobs::Batch>(batch),
                  [](RecordResult) {});
  context_.Commit();
  PassTime(milliseconds(1000), jobs::HoldReply{});
  const auto* record = context_.table().FindWorker(next_boot_.boot.id);
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->info.boot, next_boot_.boot);
  Submit("k", 8);
  PassTime(milliseconds(500), jobs::HoldReply{});
  EXPECT_FALSE(record->runs.empty());
}

class NewBootLeaseTest : public NextBootTest {
 protected:
  // Has a new boot of the worker "w" run the task of the job "j" after `time`;
  // then "v" joins.
  void RunTaskAfter(milliseconds time) {
    AddWorker("w");
    Answer(time);
    Submit("j");
    Answer(milliseconds(100));
    ASSERT_EQ(started_.size(), 1U);
    AddWorker("v");
    started_.clear();
  }
  void Answer(milliseconds time) {
    for (milliseconds passed{}; passed < time; passed += kTick) {
      context_.Advance(kTick);
      context_.Commit();
      jobs::HoldReply lists;
      for (const auto& start : started_) {
        lists.running.push_back({start.task, start.run, "", 10, 0});
      }
      context_.AnswerHolds(lists);
      for (auto& order : std::exchange(context_.orders, {})) {
        Note(order);
      }
      context_.Commit();
    }
  }
  // Returns how long the worker "w" is silent until its task restarts.
  milliseconds TimeUntilRestart() {
    milliseconds silent{};
    while (started_.empty() && silent < milliseconds(20'000)) {
      PassTime(kTick);
      silent += kTick;
    }
    return silent;
  }
};

// A late call that was meant for an earlier boot gave runs of the next one a
// lease that outlasted the leader's, and they went on beside their tasks' next
// runs.
TEST_F(NewBootLeaseTest, ANewBootIsGivenUpAfterTheLongestLeaseOfAnEarlierCall) {
  ASSERT_NO_FATAL_FAILURE(RunTaskAfter(milliseconds(500)));
  EXPECT_GT(TimeUntilRestart(), milliseconds(9000));
}

TEST_F(NewBootLeaseTest, OneThatHasSettledIsGivenUpAfterTheLeadersOwnLease) {
  ASSERT_NO_FATAL_FAILURE(RunTaskAfter(milliseconds(11'000)));
  EXPECT_LT(TimeUntilRestart(), milliseconds(5500));
}

TEST_F(NewBootLeaseTest, ANewLeaderWaitsAsLongForOneThatHasNotSettled) {
  ASSERT_NO_FATAL_FAILURE(RunTaskAfter(milliseconds(500)));
  Elect(2);
  EXPECT_GT(TimeUntilRestart(), milliseconds(9000));
}

TEST_F(NewBootLeaseTest, ANewLeaderKnowsWhichHaveSettled) {
  session_options_.inherited_lease = session_options_.lease;
  ASSERT_NO_FATAL_FAILURE(RunTaskAfter(milliseconds(11'000)));
  Elect(2);
  EXPECT_LT(TimeUntilRestart(), milliseconds(5500));
}

// Calls that were meant for the boot before acknowledged ends of the next one
// that nobody had read, so that tasks ran again although they were done.
TEST_F(LeaderTest, CallsForALaterBootHaveAHigherFencingToken) {
  AddWorker("w");
  uint64_t highest = context_.holds.at(0).fencing_token;
  context_.AnswerHolds({});
  jobs::WorkerInfo later_boot = Worker("w");
  for (int n = 0; n < 3; ++n) {
    context_.holds.clear();
    ++later_boot.boot.started_ms;
    context_.leader->OnHeartbeat(later_boot, context_.ClockMs(),
                                 [](RecordResult) {});
    context_.Commit();
    ASSERT_EQ(context_.holds.size(), 1U);
    EXPECT_EQ(context_.holds[0].worker.boot, later_boot.boot);
    EXPECT_GT(context_.holds[0].fencing_token, highest);
    highest = context_.holds[0].fencing_token;
  }
  Elect(2);
  context_.Advance(milliseconds(50));
  ASSERT_EQ(context_.holds.size(), 1U);
  EXPECT_GT(context_.holds[0].fencing_token, highest);
}

}  // namespace
}  // namespace sassafras::jobcontrol
