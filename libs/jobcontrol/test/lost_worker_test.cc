// Tests what counts when a worker is declared lost and its report that a run is
// done arrives before, during or after the recording of that loss.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

// A worker process that carries out every order at once. Its runs go on until
// they are stopped or the test ends them.
class FakeWorker {
 public:
  jobs::OrderReply Answer(const jobs::OrderCall& call, int64_t clock_ms) {
    if (const auto* start = std::get_if<jobs::StartOrder>(&call.order)) {
      running_.push_back({start->task, start->run, start->checkpoint, 1, 0});
    } else if (const auto* stop = std::get_if<jobs::StopOrder>(&call.order)) {
      End(stop->task, stop->run, jobs::RunOutcome::kStopped);
    }
    return {jobs::OrderResult::kAccepted, clock_ms};
  }

  jobs::HoldReply Answer(const jobs::HoldCall& call, int64_t clock_ms) {
    std::erase_if(ended_,
                  [&](auto& end) { return end.number <= call.end_cursor; });
    std::ranges::for_each(running_, [](auto& run) {
      run.percent = 1 + (run.percent + 1) % kMaxPercent;
    });
    return {true, false, clock_ms, running_, ended_};
  }

  void EndAll(jobs::RunOutcome outcome) {
    for (const jobs::RunReport& run : std::vector(running_)) {
      End(run.task, run.run, outcome);
    }
  }

  bool IsRunning(const jobs::StepKey& step) const {
    return std::ranges::any_of(
        running_, [&](auto& run) { return run.task.step == step; });
  }
  const std::vector<jobs::RunReport>& running() const { return running_; }
  bool HasUnacknowledgedEnds() const { return !ended_.empty(); }

 private:
  void End(const jobs::TaskKey& task, uint64_t run, jobs::RunOutcome outcome) {
    const auto is_meant = [&](auto& it) {
      return it.task == task && it.run == run;
    };
    if (std::erase_if(running_, is_meant) > 0) {
      ended_.push_back({++last_number_, task, run, outcome, "saved"});
    }
  }

  static constexpr int32_t kMaxPercent = 90;

  std::vector<jobs::RunReport> running_;
  std::vector<jobs::EndReport> ended_;
  uint64_t last_number_ = 0;
};

enum class StepKind { kSingle, kCheckpointed, kGang, kLasting };
std::ostream& operator<<(std::ostream& out, StepKind kind) {
  return out << "kind " << static_cast<int>(kind);
}

// What may happen next around the loss of the worker.
enum class Event {
  kTick,
  kCommit,           // the oldest batch in flight is recorded
  kLostHoldReplies,  // the lost worker's open holds are answered
  kLostHeartbeat,    // the lost worker sends a heartbeat
  kOtherReplies,     // the other worker answers its calls
  kManifest,         // an unrelated change keeps the log busy
};
std::ostream& operator<<(std::ostream& out, Event event) {
  return out << "event " << static_cast<int>(event);
}

std::vector<jobs::StepSpec> Steps(StepKind kind) {
  jobs::StepSpec first;
  first.need.cpu_milli = 1000;
  first.count = kind == StepKind::kGang ? 2 : 1;
  first.is_gang = kind == StepKind::kGang;
  first.is_lasting = kind == StepKind::kLasting;
  first.has_checkpoints = kind == StepKind::kCheckpointed;
  jobs::StepSpec second;
  second.need.cpu_milli = 1000;
  second.after = {0};
  return kind == StepKind::kLasting ? std::vector{first}
                                    : std::vector{first, second};
}

// The first step of a job runs on the worker "1", which has become silent. Its
// runs have ended there, and the leader has yet to hear of it. The worker "2"
// has room for them.
class LostWorkerScenario {
 public:
  explicit LostWorkerScenario(
      StepKind kind,
      jobs::RunOutcome outcome = jobs::RunOutcome::kDone) {
    context_.leader = Leader::Create(context_, {1, {}}, metrics_);
    Hear("1");
    context_.Commit();
    Hear("1");
    AnswerHoldsOf("1");
    context_.leader->Submit(
        {wire::JobId("j"), jobs::QueueId("q"), {"text", Steps(kind)}},
        [](RecordResult) {});
    context_.Commit();
    AnswerOrders();
    AnswerHoldsOf("1");
    context_.Advance(kTick);
    lost_.EndAll(outcome);
    Hear("2");
    context_.Commit();
    Hear("2");
  }

  // Passes time until the next tick of the leader declares the worker lost.
  void AdvanceUntilLossIsDue(int ticks) {
    for (int n = 0; n < ticks; ++n) {
      Pass();
    }
  }

  // Returns the number of ticks before the one that declares the worker lost.
  static int TicksUntilLoss(StepKind kind) {
    LostWorkerScenario scenario(kind);
    int ticks = 0;
    while (scenario.IsRecorded("1") && ticks < kMaxTicks) {
      scenario.Pass();
      ++ticks;
    }
    return ticks - 1;
  }

  void Handle(Event event) {
    switch (event) {
      case Event::kTick:
        context_.Advance(kTick);
        break;
      case Event::kCommit:
        context_.CommitNext();
        break;
      case Event::kLostHoldReplies:
        AnswerHoldsOf("1");
        break;
      case Event::kLostHeartbeat:
        Hear("1");
        break;
      case Event::kOtherReplies:
        AnswerHoldsOf("2");
        AnswerOrders();
        break;
      case Event::kManifest:
        context_.leader->PutManifest({}, [](RecordResult) {});
        break;
    }
  }

  // Leaves the open holds of the worker without a reply.
  void FailLostHolds() {
    for (auto& hold : TakeHolds("1")) {
      hold.done({});
    }
  }

  // The worker is heard again, and all calls get replies until nothing changes
  // any more.
  void Settle() {
    for (int n = 0; n < kMaxTicks; ++n) {
      Hear("1");
      AnswerHoldsOf("1");
      Pass();
    }
  }

  bool IsRecorded(const std::string& worker) const {
    return context_.table().FindWorker(wire::WorkerId(worker)) != nullptr;
  }
  const jobs::TaskRecord& TaskAt(uint32_t step) const {
    return *Job().FindTask({Step(step), 0});
  }
  uint64_t LastRun(uint32_t step) const {
    return context_.LastStartedRun({Step(step), 0});
  }
  bool IsRunning(uint32_t step) const {
    return lost_.IsRunning(Step(step)) || other_.IsRunning(Step(step));
  }
  const jobs::StepRecord& StepAt(uint32_t step) const {
    return *context_.table().FindStep(Step(step));
  }
  // Returns the runs on the worker that isn't lost.
  const std::vector<jobs::RunReport>& other_runs() const {
    return other_.running();
  }
  // Returns the last run that was proposed when the leader got the report, or
  // nullopt if it has not got it.
  std::optional<uint64_t> last_run_at_report() const {
    return last_run_at_report_;
  }
  // Whether the worker was told to forget its report while the table didn't
  // count it.
  bool has_forgotten_report() const { return has_forgotten_report_; }
  bool HasUnacknowledgedEnds() const { return lost_.HasUnacknowledgedEnds(); }

 private:
  static constexpr auto kTick = milliseconds(50);
  static constexpr int kMaxTicks = 400;

  static jobs::StepKey Step(uint32_t step) {
    return {wire::JobId("j"), 0, step};
  }
  const jobs::JobRecord& Job() const {
    return *context_.table().FindJob(wire::JobId("j"));
  }

  void Hear(const std::string& id) {
    jobs::WorkerInfo info;
    info.boot = {wire::WorkerId(id), 1};
    info.address = "10.0.0." + id;
    info.service = wire::ServiceId("batch");
    info.capacity = {4000, 1000, 0};
    context_.leader->OnHeartbeat(info, context_.ClockMs(), [](RecordResult) {});
  }

  void Pass() {
    AnswerHoldsOf("2");
    AnswerOrders();
    context_.Advance(kTick);
    context_.Commit();
  }

  std::vector<FakeLeaderContext::SentHold> TakeHolds(const std::string& id) {
    std::vector<FakeLeaderContext::SentHold> taken;
    std::vector<FakeLeaderContext::SentHold> others;
    for (auto& hold : std::exchange(context_.holds, {})) {
      const bool is_meant = hold.worker.boot.id == wire::WorkerId(id);
      (is_meant ? taken : others).push_back(std::move(hold));
    }
    context_.holds = std::move(others);
    return taken;
  }

  void AnswerHoldsOf(const std::string& id) {
    for (auto& hold : TakeHolds(id)) {
      jobs::HoldReply reply =
          WorkerAt(id).Answer(hold.call, context_.ClockMs());
      if (id == "1" && hold.call.end_cursor > 0) {
        has_forgotten_report_ |= !TaskAt(0).is_done;
      }
      if (id == "1" && !reply.ended.empty() && !last_run_at_report_) {
        last_run_at_report_ = context_.LastProposedRun({Step(0), 0});
      }
      hold.done(reply);
    }
  }

  void AnswerOrders() {
    for (auto& order : std::exchange(context_.orders, {})) {
      order.done(WorkerAt(order.worker.boot.id.str())
                     .Answer(order.call, context_.ClockMs()));
    }
  }

  FakeWorker& WorkerAt(const std::string& id) {
    return id == "1" ? lost_ : other_;
  }

  std::unique_ptr<telemetry::Metrics> registry_ = telemetry::Metrics::Create();
  LeaderMetrics metrics_{*registry_};
  FakeLeaderContext context_;
  FakeWorker lost_;
  FakeWorker other_;
  std::optional<uint64_t> last_run_at_report_;
  bool has_forgotten_report_ = false;
};

rc::Gen<StepKind> AnyFiniteKind() {
  return rc::gen::element(StepKind::kSingle, StepKind::kCheckpointed,
                          StepKind::kGang);
}

rc::Gen<std::vector<Event>> AnyEvents() {
  return rc::gen::container<std::vector<Event>>(rc::gen::element(
      Event::kTick, Event::kCommit, Event::kLostHoldReplies,
      Event::kLostHeartbeat, Event::kOtherReplies, Event::kManifest));
}

// The report is a fact, and the loss an assumption: the task is done in every
// order of the two. A later run, if one was started before the report came, is
// stopped.
RC_GTEST_PROP(LostWorkerProperty, AReportOfDoneCountsInEveryOrder, ()) {
  const StepKind kind = *AnyFiniteKind();
  LostWorkerScenario scenario(kind);
  scenario.AdvanceUntilLossIsDue(LostWorkerScenario::TicksUntilLoss(kind));
  const bool may_reply_late = *rc::gen::arbitrary<bool>();
  for (const Event event : *AnyEvents()) {
    if (!may_reply_late && !scenario.IsRecorded("1")) {
      scenario.FailLostHolds();
    }
    scenario.Handle(event);
  }
  scenario.Settle();
  RC_ASSERT(scenario.TaskAt(0).is_done);
  RC_ASSERT(scenario.last_run_at_report().has_value());
  RC_ASSERT(scenario.LastRun(0) == *scenario.last_run_at_report());
  RC_ASSERT(!scenario.has_forgotten_report());
  RC_ASSERT(!scenario.IsRunning(0));
  RC_ASSERT(scenario.TaskAt(1).is_open);
}

// A task that lasts is started again however it ended.
RC_GTEST_PROP(LostWorkerProperty, ATaskThatLastsRunsAgainInEveryOrder, ()) {
  LostWorkerScenario scenario(StepKind::kLasting);
  scenario.AdvanceUntilLossIsDue(
      LostWorkerScenario::TicksUntilLoss(StepKind::kLasting));
  for (const Event event : *AnyEvents()) {
    scenario.Handle(event);
  }
  scenario.Settle();
  RC_ASSERT(!scenario.TaskAt(0).is_done);
  RC_ASSERT(scenario.TaskAt(0).is_open);
  RC_ASSERT(scenario.LastRun(0) >= 2U);
  RC_ASSERT(scenario.IsRunning(0));
  RC_ASSERT(!scenario.HasUnacknowledgedEnds());
}

class LostWorkerTest : public testing::TestWithParam<StepKind> {
 protected:
  LostWorkerTest() : scenario_(GetParam()) {
    scenario_.AdvanceUntilLossIsDue(
        LostWorkerScenario::TicksUntilLoss(GetParam()));
  }

  void Handle(std::initializer_list<Event> events) {
    std::ranges::for_each(events, [this](Event it) { scenario_.Handle(it); });
  }

  LostWorkerScenario scenario_;
};

// A worker answers at the moment at which its loss is proposed. Its finished
// task must not run again.
TEST_P(LostWorkerTest, AReportBeforeTheLossIsProposedCounts) {
  Handle({Event::kManifest, Event::kTick, Event::kLostHoldReplies,
          Event::kCommit, Event::kCommit, Event::kCommit});
  EXPECT_TRUE(scenario_.TaskAt(0).is_done);
  EXPECT_EQ(scenario_.LastRun(0), 1U);
}

TEST_P(LostWorkerTest, AReportWhileTheLossIsRecordedCounts) {
  Handle(
      {Event::kTick, Event::kLostHoldReplies, Event::kCommit, Event::kCommit});
  EXPECT_TRUE(scenario_.TaskAt(0).is_done);
  EXPECT_EQ(scenario_.LastRun(0), 1U);
}

// The reply took its time, for instance on its way through a relay. The worker
// may never be heard again.
TEST_P(LostWorkerTest, AReportAfterTheLossWasRecordedCounts) {
  Handle({Event::kTick, Event::kCommit, Event::kLostHoldReplies, Event::kCommit,
          Event::kCommit});
  EXPECT_FALSE(scenario_.IsRecorded("1"));
  EXPECT_TRUE(scenario_.TaskAt(0).is_done);
}

// The task has been started elsewhere. Its dependents need not wait for that
// run, which is stopped.
TEST_P(LostWorkerTest, AReportAfterARestartElsewhereStopsTheLaterRun) {
  Handle({Event::kTick, Event::kCommit, Event::kCommit, Event::kOtherReplies});
  scenario_.FailLostHolds();
  ASSERT_TRUE(scenario_.IsRunning(0));
  ASSERT_EQ(scenario_.LastRun(0), 2U);
  scenario_.Settle();
  EXPECT_TRUE(scenario_.TaskAt(0).is_done);
  EXPECT_FALSE(scenario_.IsRunning(0));
  EXPECT_TRUE(scenario_.TaskAt(1).is_open);
}

// A worker without any report is given up as soon as its lease has expired.
TEST_P(LostWorkerTest, ATaskOfAWorkerWithoutAReportRestartsAtOnce) {
  Handle({Event::kTick, Event::kCommit, Event::kCommit});
  EXPECT_FALSE(scenario_.IsRecorded("1"));
  EXPECT_TRUE(scenario_.TaskAt(0).is_open);
  EXPECT_EQ(scenario_.LastRun(0), 2U);
}

// The orders in which the report reaches the leader before it plans a restart.
const std::vector<std::vector<Event>>& OrdersBeforeARestart() {
  static const std::vector<std::vector<Event>> orders = {
      {Event::kManifest, Event::kTick, Event::kLostHoldReplies, Event::kCommit,
       Event::kCommit, Event::kCommit, Event::kOtherReplies},
      {Event::kTick, Event::kLostHoldReplies, Event::kCommit, Event::kCommit,
       Event::kOtherReplies}};
  return orders;
}

// The worker saved progress while it was silent, which the leader knows from
// the report alone.
TEST(LostWorkerReportTest, TheNextRunContinuesFromTheReportedCheckpoint) {
  for (const auto& events : OrdersBeforeARestart()) {
    LostWorkerScenario scenario(StepKind::kCheckpointed,
                                jobs::RunOutcome::kLeaseExpired);
    scenario.AdvanceUntilLossIsDue(
        LostWorkerScenario::TicksUntilLoss(StepKind::kCheckpointed));
    std::ranges::for_each(events, [&](Event it) { scenario.Handle(it); });
    ASSERT_EQ(scenario.other_runs().size(), 1U);
    EXPECT_EQ(scenario.other_runs()[0].checkpoint, "saved");
  }
}

TEST(LostWorkerReportTest, AReportedFailureCountsOnceAsAnAttempt) {
  for (const StepKind kind : {StepKind::kSingle, StepKind::kGang}) {
    for (const auto& events : OrdersBeforeARestart()) {
      LostWorkerScenario scenario(kind, jobs::RunOutcome::kFailed);
      scenario.AdvanceUntilLossIsDue(LostWorkerScenario::TicksUntilLoss(kind));
      std::ranges::for_each(events, [&](Event it) { scenario.Handle(it); });
      scenario.Settle();
      EXPECT_EQ(scenario.TaskAt(0).failures + scenario.StepAt(0).failed_runs,
                1U);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         LostWorkerTest,
                         testing::Values(StepKind::kSingle,
                                         StepKind::kCheckpointed,
                                         StepKind::kGang));

}  // namespace
}  // namespace sassafras::jobcontrol
