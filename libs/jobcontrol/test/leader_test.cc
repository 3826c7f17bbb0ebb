// One term of leadership against a table, a log and workers in memory.

#include "jobcontrol/leader.h"

#include <deque>

#include <gtest/gtest.h>

namespace sassafras::jobcontrol {
namespace {

using std::chrono::milliseconds;

// Records batches when told to, and keeps all calls that leave the system.
class FakeHost : public LeaderHost, public WorkerLink {
 public:
  struct SentOrder {
    jobs::WorkerInfo worker;
    jobs::OrderCall call;
    OrderDone done;
  };
  struct SentHold {
    jobs::WorkerInfo worker;
    jobs::HoldCall call;
    HoldDone done;
  };

  FakeHost() {
    jobs::Manifest manifest;
    manifest.version = 1;
    jobs::Queue queue;
    queue.id = jobs::QueueId("q");
    queue.service = wire::ServiceId("batch");
    queue.max_attempts = 3;
    manifest.queues = {queue};
    jobs::Batch batch;
    batch.manifests = {manifest};
    table_.Apply(batch);
  }

  const jobs::JobTable& table() const override { return table_; }
  void Record(std::shared_ptr<const jobs::Batch> batch,
              RecordedDone done) override {
    waiting_.emplace_back(std::move(batch), std::move(done));
  }
  WorkerLink& workers() override { return *this; }
  std::vector<wire::EntryId> Advisers(base::Instant) override { return {}; }
  void Ask(const wire::EntryId&,
           const jobs::AdviceQuery&,
           base::Duration,
           AdviceDone) override {}
  void Defer(std::function<void()> then) override {
    deferred_.push_back(std::move(then));
  }
  base::Instant Now() const override { return now_; }
  base::WallMs WallNow() const override { return 0; }

  void Order(const jobs::WorkerInfo& worker,
             const jobs::OrderCall& call,
             uint64_t,
             OrderDone done) override {
    orders.push_back({worker, call, std::move(done)});
  }
  void Hold(const jobs::WorkerInfo& worker,
            const jobs::HoldCall& call,
            uint64_t,
            HoldDone done) override {
    holds.push_back({worker, call, std::move(done)});
  }
  void Ask(const jobs::AdviceQuery&, base::Duration, AdviceDone) override {}

  // Commits what is waiting, also what that leads to.
  void Commit() {
    while (!waiting_.empty()) {
      auto [batch, done] = std::move(waiting_.front());
      waiting_.pop_front();
      leader->OnApplied(table_.Apply(*batch));
      done(Recorded::kYes);
    }
  }
  size_t waiting() const { return waiting_.size(); }

  // Lets the leader go on with what it put off once.
  bool RunDeferred() {
    const auto deferred = std::exchange(deferred_, {});
    std::ranges::for_each(deferred, [](auto& then) { then(); });
    return !deferred.empty();
  }

  void Advance(milliseconds time) {
    now_ += time;
    leader->Tick();
  }

  // Answers each hold that is open now, as a worker with these lists.
  void AnswerHolds(const jobs::HoldReply& lists) {
    for (SentHold& hold : std::exchange(holds, {})) {
      jobs::HoldReply reply = lists;
      reply.is_answered = true;
      reply.clock_ms = ClockMs();
      hold.done(reply);
    }
  }
  int64_t ClockMs() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
        .count();
  }

  std::vector<SentOrder> orders;
  std::vector<SentHold> holds;
  std::shared_ptr<Leader> leader;

 private:
  jobs::JobTable table_;
  std::deque<std::pair<std::shared_ptr<const jobs::Batch>, RecordedDone>>
      waiting_;
  std::vector<std::function<void()>> deferred_;
  base::Instant now_ = base::Instant(milliseconds(1'000'000));
};

class LeaderTest : public testing::Test {
 protected:
  LeaderTest() : metrics_(*registry_) { Elect(1); }

  void Elect(uint64_t term) {
    host_.holds.clear();
    host_.orders.clear();
    host_.leader = Leader::Create(host_, {term, {}}, metrics_);
  }

  jobs::WorkerInfo Worker(const std::string& id) const {
    jobs::WorkerInfo info;
    info.boot = {wire::WorkerId(id), 1};
    info.address = "10.0.0." + id;  // an address for each worker
    info.service = wire::ServiceId("batch");
    info.capacity = {4000, 1000, 0};
    return info;
  }

  void AddWorker(const std::string& id) {
    host_.leader->OnHeartbeat(Worker(id), host_.ClockMs(), [](Recorded) {});
    host_.Commit();
    host_.leader->OnHeartbeat(Worker(id), host_.ClockMs(), [](Recorded) {});
  }

  void Submit(const std::string& id, uint32_t count = 1) {
    jobs::StepSpec step;
    step.count = count;
    step.need.cpu_milli = 1000;
    host_.leader->Submit(
        {wire::JobId(id), jobs::QueueId("q"), {"text", {step}}},
        [this](Recorded it) { submitted_ = it; });
  }

  const jobs::StartOrder& FirstStart() const {
    return std::get<jobs::StartOrder>(host_.orders.at(0).call.order);
  }

  std::unique_ptr<telemetry::Metrics> registry_ = telemetry::Metrics::Create();
  LeaderMetrics metrics_;
  FakeHost host_;
  Recorded submitted_ = Recorded::kNo;
};

TEST_F(LeaderTest, ASubmissionIsAcceptedOnlyOnceItIsRecorded) {
  Submit("j");
  EXPECT_EQ(submitted_, Recorded::kNo);
  host_.Commit();
  EXPECT_EQ(submitted_, Recorded::kYes);
}

TEST_F(LeaderTest, AStartIsOrderedOnlyOnceItIsRecorded) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  EXPECT_TRUE(host_.orders.empty());
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 1U);
  EXPECT_EQ(FirstStart().run, 1U);
  EXPECT_GT(host_.orders[0].call.lease_until_ms, host_.ClockMs());
}

TEST_F(LeaderTest, AnEndIsForgottenByTheWorkerOnlyOnceItIsRecorded) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  host_.orders[0].done({jobs::OrderResult::kAccepted, std::nullopt});
  jobs::HoldReply lists;
  lists.ended = {{1, FirstStart().task, 1, jobs::RunOutcome::kDone, ""}};
  host_.AnswerHolds(lists);
  EXPECT_TRUE(host_.holds.empty());
  host_.Commit();
  ASSERT_EQ(host_.holds.size(), 1U);
  EXPECT_EQ(host_.holds[0].call.end_cursor, 1U);
  EXPECT_EQ(host_.table().FindJob(wire::JobId("j"))->phase,
            jobs::JobPhase::kCompleted);
}

// The load pattern: a worker is cut off with its tasks and runs on.
TEST_F(LeaderTest, ATaskOfASilentWorkerStartsElsewhereOnlyAfterItsLease) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  const base::Instant ordered = host_.Now();
  host_.orders[0].done({jobs::OrderResult::kAccepted, std::nullopt});
  AddWorker("v");
  const auto count_starts = [&] { return host_.orders.size(); };
  const size_t before = count_starts();
  while (count_starts() == before &&
         host_.Now() - ordered < milliseconds(20'000)) {
    for (auto& hold : std::exchange(host_.holds, {})) {
      jobs::HoldReply reply;
      reply.is_answered = hold.worker.boot.id == wire::WorkerId("v");
      reply.clock_ms = host_.ClockMs();
      hold.done(reply);
    }
    host_.Advance(milliseconds(100));
    host_.Commit();
  }
  ASSERT_GT(count_starts(), before);
  EXPECT_EQ(host_.orders.back().worker.boot.id, wire::WorkerId("v"));
  EXPECT_EQ(std::get<jobs::StartOrder>(host_.orders.back().call.order).run, 2U);
  EXPECT_GT(host_.Now() - ordered, milliseconds(4000));
}

// The load pattern: a worker is cut off, comes back as the same boot, takes
// work again, and is gone later.
TEST_F(LeaderTest, AWorkerThatCameBackIsGivenUpAgain) {
  AddWorker("w");
  host_.AnswerHolds({});
  const auto lose = [&] {
    const base::Instant begun = host_.Now();
    while (host_.table().FindWorker(wire::WorkerId("w")) != nullptr &&
           host_.Now() - begun < milliseconds(20'000)) {
      for (auto& hold : std::exchange(host_.holds, {})) {
        hold.done({});
      }
      host_.Advance(milliseconds(100));
      host_.Commit();
    }
  };
  lose();
  ASSERT_EQ(host_.table().FindWorker(wire::WorkerId("w")), nullptr);
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 1U);
  host_.orders[0].done({jobs::OrderResult::kAccepted, std::nullopt});
  lose();
  EXPECT_EQ(host_.table().FindWorker(wire::WorkerId("w")), nullptr);
}

TEST_F(LeaderTest, ACancelledJobsRunsAreStopped) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j", 2);
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 2U);
  for (auto& order : std::exchange(host_.orders, {})) {
    order.done({jobs::OrderResult::kAccepted, std::nullopt});
  }
  host_.leader->Cancel(wire::JobId("j"), [](Recorded) {});
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 2U);
  EXPECT_TRUE(
      std::holds_alternative<jobs::StopOrder>(host_.orders[0].call.order));
}

TEST_F(LeaderTest, ANewLeaderStartsNothingOnAWorkerThatItHasNotSeen) {
  AddWorker("w");
  Elect(2);
  Submit("j");
  host_.Commit();
  EXPECT_TRUE(host_.orders.empty());
  host_.AnswerHolds({});
  host_.Commit();
  EXPECT_EQ(host_.orders.size(), 1U);
}

TEST_F(LeaderTest, ANewLeaderLeavesRunsThatGoOnAlone) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  const jobs::TaskKey task = FirstStart().task;
  Elect(2);
  jobs::HoldReply lists;
  lists.running = {{task, 1, "", 50, 0}};
  host_.AnswerHolds(lists);
  host_.Commit();
  EXPECT_TRUE(host_.orders.empty());
  EXPECT_TRUE(host_.table().FindJob(wire::JobId("j"))->FindTask(task)->is_open);
}

// The load pattern: all control hosts lose power, and the next leader has to
// call every worker while its followers wait for its heartbeats.
TEST_F(LeaderTest, ANewLeaderCallsManyWorkersAFewAtATime) {
  constexpr size_t kWorkers = 100;
  constexpr size_t kMostAtOnce = 16;
  for (size_t n = 0; n < kWorkers; ++n) {
    AddWorker("w" + std::to_string(n));
  }
  Elect(2);
  size_t called = host_.holds.size();
  EXPECT_LE(called, kMostAtOnce);
  while (host_.RunDeferred()) {
    EXPECT_LE(host_.holds.size() - called, kMostAtOnce);
    called = host_.holds.size();
  }
  EXPECT_EQ(called, kWorkers);
}

// The load pattern: workers leave calls unanswered for a while.
TEST_F(LeaderTest, ALookThatGotNoAnswerProvesNoRunStuck) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  for (auto& order : std::exchange(host_.orders, {})) {
    order.done({jobs::OrderResult::kAccepted, std::nullopt});
  }
  jobs::HoldReply lists;
  lists.running = {{{{wire::JobId("j"), 0, 0}, 0}, 1, "", 40, 0}};
  host_.AnswerHolds(lists);
  host_.Advance(milliseconds(1'600));
  for (auto& hold : std::exchange(host_.holds, {})) {
    hold.done({});
  }
  host_.Advance(milliseconds(300));
  EXPECT_TRUE(host_.orders.empty());
}

// The load pattern: one member of a gang is refused for want of a ticket.
TEST_F(LeaderTest, TheRestOfAGangIsStoppedWhenOneMemberIsRejected) {
  AddWorker("w");
  AddWorker("v");
  host_.AnswerHolds({});
  jobs::StepSpec gang;
  gang.count = 2;
  gang.is_gang = true;
  gang.need.cpu_milli = 4000;
  host_.leader->Submit({wire::JobId("g"), jobs::QueueId("q"), {"", {gang}}},
                       [](Recorded) {});
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 2U);
  auto orders = std::exchange(host_.orders, {});
  orders[0].done({jobs::OrderResult::kAccepted, std::nullopt});
  orders[1].done({jobs::OrderResult::kNoTicket, std::nullopt});
  host_.Advance(milliseconds(1));
  ASSERT_EQ(host_.orders.size(), 1U);
  EXPECT_TRUE(
      std::holds_alternative<jobs::StopOrder>(host_.orders[0].call.order));
  EXPECT_EQ(host_.orders[0].worker.boot.id, orders[0].worker.boot.id);
}

TEST_F(LeaderTest, ARejectedStartIsTriedAgain) {
  AddWorker("w");
  host_.AnswerHolds({});
  Submit("j");
  host_.Commit();
  host_.orders[0].done({jobs::OrderResult::kNoCapacity, std::nullopt});
  host_.Commit();
  ASSERT_EQ(host_.orders.size(), 2U);
  EXPECT_EQ(std::get<jobs::StartOrder>(host_.orders[1].call.order).run, 2U);
}

}  // namespace
}  // namespace sassafras::jobcontrol
