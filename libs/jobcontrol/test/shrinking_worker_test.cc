// Tests that a worker whose capacity shrinks and grows while tasks run is never
// brought over it by a start (LIMIT). The worker itself doesn't guard it.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

constexpr int64_t kFullCpu = 8000;
constexpr int64_t kSmallestCpu = 1000;
constexpr int32_t kMaxPercent = 90;

// What may happen next.
enum class Event {
  kTick,
  kCommit,
  kReport,  // the worker reports its present capacity
  kShrink,  // takes effect at the worker at once
  kGrow,
  kAnswerOrders,  // all open orders are carried out and answered
  kLoseOrders,    // all open orders get no answer; none is carried out
  kAnswerHolds,
  kEndOne,  // the oldest run at the worker is done
  kSubmit,
  kCancel,  // the oldest job that was not cancelled yet
};
class ShrinkingWorkerTest : public LeaderTest {
 protected:
  ShrinkingWorkerTest() {
    info_ = Worker("w");
    info_.capacity = {kFullCpu, 1000, 0};
    Report();
    Settle();
  }

  void Report() {
    context_.leader->OnHeartbeat(info_, context_.ClockMs(),
                                 [](RecordResult) {});
  }
  void SetCapacity(int64_t cpu_milli) { info_.capacity.cpu_milli = cpu_milli; }

  void AnswerOrders() {
    for (auto& order : std::exchange(context_.orders, {})) {
      if (const auto* start =
              std::get_if<jobs::StartOrder>(&order.call.order)) {
        CarryOut(*start);
      } else if (const auto* stop =
                     std::get_if<jobs::StopOrder>(&order.call.order)) {
        End(stop->task, stop->run, jobs::RunOutcome::kStopped);
      }
      order.done({jobs::OrderResult::kAccepted, context_.ClockMs()});
    }
  }
  // The worker starts whatever it is told to.
  void CarryOut(const jobs::StartOrder& start) {
    const bool is_repeated = std::ranges::any_of(running_, [&](auto& run) {
      return run.task == start.task && run.run == start.run;
    });
    if (is_repeated) {
      return;
    }
    running_.push_back({start.task, start.run, "", 1, 0});
    // A start may have been on its way when the report was recorded.
    const bool is_known = recorded_cpu() == info_.capacity.cpu_milli;
    is_over_ |= is_known && !may_be_early_.contains({start.task, start.run}) &&
                UsedCpu() > info_.capacity.cpu_milli;
  }
  void LoseOrders() {
    for (auto& order : std::exchange(context_.orders, {})) {
      order.done({jobs::OrderResult::kNoAnswer, std::nullopt});
    }
  }
  void AnswerHolds() {
    for (auto& hold : std::exchange(context_.holds, {})) {
      std::erase_if(ended_, [&](auto& end) {
        return end.number <= hold.call.end_cursor;
      });
      std::ranges::for_each(running_, [](auto& run) {
        run.percent = 1 + (run.percent + 1) % kMaxPercent;
      });
      hold.done({true, false, context_.ClockMs(), running_, ended_});
    }
  }
  void End(const jobs::TaskKey& task, uint64_t run, jobs::RunOutcome outcome) {
    const auto erased = std::erase_if(
        running_, [&](auto& it) { return it.task == task && it.run == run; });
    if (erased > 0) {
      ended_.push_back({++last_end_, task, run, outcome, ""});
    }
  }
  // Remembers which starts are on their way to the worker now.
  void NoteOrdersInFlight() {
    for (const auto& order : context_.orders) {
      if (const auto* start =
              std::get_if<jobs::StartOrder>(&order.call.order)) {
        may_be_early_.insert({start->task, start->run});
      }
    }
  }
  void Settle() {
    for (int n = 0; n < 20; ++n) {
      context_.Advance(milliseconds(200));
      context_.Commit();
      AnswerOrders();
      AnswerHolds();
      context_.Commit();
    }
  }
  int64_t UsedCpu() const {
    return 1000 * static_cast<int64_t>(running_.size());
  }
  int64_t recorded_cpu() const {
    const auto* record = context_.table().FindWorker(info_.boot.id);
    return record == nullptr ? 0 : record->info.capacity.cpu_milli;
  }

  void Apply(Event event) {
    switch (event) {
      case Event::kTick:
        return context_.Advance(milliseconds(200));
      case Event::kCommit:
        // Orders that have left can't be called back.
        NoteOrdersInFlight();
        return context_.CommitNext();
      case Event::kReport:
        return Report();
      case Event::kShrink:
        return SetCapacity(
            std::max(kSmallestCpu, info_.capacity.cpu_milli - 3000));
      case Event::kGrow:
        return SetCapacity(std::min(kFullCpu, info_.capacity.cpu_milli + 2000));
      case Event::kAnswerOrders:
        return AnswerOrders();
      case Event::kLoseOrders:
        return LoseOrders();
      case Event::kAnswerHolds:
        return AnswerHolds();
      case Event::kEndOne:
        if (!running_.empty()) {
          const auto run = running_.front();
          End(run.task, run.run, jobs::RunOutcome::kDone);
        }
        return;
      case Event::kSubmit:
        return Submit("job" + std::to_string(jobs_++), 2);
      case Event::kCancel:
        if (cancelled_ < jobs_) {
          context_.leader->Cancel(
              wire::JobId("job" + std::to_string(cancelled_++)),
              [](RecordResult) {});
        }
        return;
    }
  }

  jobs::WorkerInfo info_;
  std::vector<jobs::RunReport> running_;
  std::vector<jobs::EndReport> ended_;
  uint64_t last_end_ = 0;
  int jobs_ = 0;
  int cancelled_ = 0;
  // Starts that were on their way to the worker when a change was recorded.
  std::set<std::pair<jobs::TaskKey, uint64_t>> may_be_early_;
  bool is_over_ = false;
};

TEST_F(ShrinkingWorkerTest,
       AStartWithoutAnAnswerIsNotRepeatedOnceItNoLongerFits) {
  Submit("job", 8);
  context_.Commit();
  LoseOrders();
  SetCapacity(2000);
  Report();
  context_.Commit();
  Settle();
  EXPECT_LE(UsedCpu(), 2000);
}

TEST_F(ShrinkingWorkerTest, APlanUsesACapacityThatIsAboutToBeRecorded) {
  Submit("first", 8);
  Settle();
  Submit("second", 8);
  Settle();
  ASSERT_EQ(UsedCpu(), kFullCpu);
  while (!running_.empty()) {
    Apply(Event::kEndOne);
  }
  context_.Advance(milliseconds(200));
  AnswerHolds();
  // The ends are being recorded, so the next batch holds the report and the
  // starts that the ends make possible.
  SetCapacity(2000);
  Report();
  context_.Commit();
  AnswerOrders();
  EXPECT_LE(UsedCpu(), 2000);
}

TEST_F(ShrinkingWorkerTest, RoomThatComesBackIsUsed) {
  SetCapacity(2000);
  Report();
  context_.Commit();
  Submit("job", 8);
  Settle();
  EXPECT_EQ(UsedCpu(), 2000);
  SetCapacity(kFullCpu);
  Report();
  Settle();
  EXPECT_EQ(UsedCpu(), kFullCpu);
}

RC_GTEST_FIXTURE_PROP(ShrinkingWorkerTest,
                      NoStartBringsItOverItsCapacity,
                      (const std::vector<uint8_t>& events)) {
  constexpr uint8_t kEvents = static_cast<uint8_t>(Event::kCancel) + 1;
  Submit("first", 6);
  for (const uint8_t event : events) {
    Apply(static_cast<Event>(event % kEvents));
    RC_ASSERT(!is_over_);
  }
  SetCapacity(kFullCpu);
  Report();
  Submit("last", 8);
  for (int n = 0; n < 200 && !context_.table().active().empty(); ++n) {
    Settle();
    Apply(Event::kEndOne);
  }
  RC_ASSERT(!is_over_);
  RC_ASSERT(context_.table().active().empty());
}

// A control host that had been frozen passed an old heartbeat on, and tasks
// were started beyond the capacity that the worker had told since.
TEST_F(ShrinkingWorkerTest, ALateHeartbeatDoesNotBringCapacityBack) {
  const jobs::WorkerInfo earlier = info_;
  const int64_t earlier_ms = context_.ClockMs();
  context_.Advance(milliseconds(1500));
  SetCapacity(kSmallestCpu);
  Report();
  context_.Commit();
  bool is_acknowledged = false;
  context_.leader->OnHeartbeat(earlier, earlier_ms,
                               [&](RecordResult) { is_acknowledged = true; });
  context_.Commit();
  EXPECT_TRUE(is_acknowledged);
  const auto* record = context_.table().FindWorker(info_.boot.id);
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->info.capacity.cpu_milli, kSmallestCpu);
}

// Another control host may have heard the later one.
TEST_F(ShrinkingWorkerTest, AHeartbeatIsLateAfterOneThatAnotherHostHasHeard) {
  jobs::WorkerInfo earlier = info_;
  earlier.capacity.cpu_milli = kFullCpu / 2;
  const int64_t earlier_ms = context_.ClockMs();
  context_.Advance(milliseconds(1500));
  context_.leader->OnHeard(info_.boot, context_.ClockMs());
  context_.leader->OnHeartbeat(earlier, earlier_ms, [](RecordResult) {});
  context_.Commit();
  const auto* record = context_.table().FindWorker(info_.boot.id);
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->info.capacity.cpu_milli, kFullCpu);
}

}  // namespace
}  // namespace sassafras::jobcontrol
