// A leader with an in-memory job table, log and workers, for tests.

#ifndef JOBCONTROL_TEST_LEADER_FIXTURE_H_
#define JOBCONTROL_TEST_LEADER_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "jobcontrol/leader.h"

namespace sassafras::jobcontrol {

using std::chrono::milliseconds;

// On the clock of the fixture, a minute after its start: all leases have ended.
inline constexpr int64_t kGiveUpMs = 1'060'000;

// Commits batches only when Commit() is called, and stores all calls to
// workers.
class FakeLeaderContext : public LeaderContext, public WorkerLink {
 public:
  struct SentOrder {
    jobs::WorkerInfo worker;
    jobs::OrderCall call;
    OrderDone done;
    uint64_t fencing_token = 0;
  };
  struct SentQuery {
    jobs::AdviceQuery query;
    AdviceDone done;
  };
  struct SentHold {
    jobs::WorkerInfo worker;
    jobs::HoldCall call;
    HoldDone done;
    uint64_t fencing_token = 0;
  };

  FakeLeaderContext() {
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
  const jobs::ReplicaHistory& history() const override { return history_; }
  void Record(std::shared_ptr<const jobs::Batch> batch,
              RecordDone done) override {
    waiting_.emplace_back(std::move(batch), std::move(done));
  }
  WorkerLink& workers() override { return *this; }
  // A plan asks for the advisers, which is when its time passes.
  std::vector<wire::EntryId> LiveAdvisers(base::Instant) override {
    now_ += plan_time;
    return advisers;
  }
  void QueryAdvice(const wire::EntryId&,
                   const jobs::AdviceQuery& query,
                   base::Duration,
                   AdviceDone done) override {
    queries.push_back({query, std::move(done)});
  }
  void Barrier(std::function<void(bool passed)> done) override {
    barriers.push_back(std::move(done));
  }
  void Defer(std::function<void()> then) override {
    deferred_.push_back(std::move(then));
  }
  std::optional<base::Instant> LeadershipConfirmedAt() const override {
    return leads_at ? leads_at : now_;
  }
  bool MayStartCopies() const override { return may_start_copies; }
  base::Instant Now() const override { return now_; }
  base::WallMs WallNow() const override { return wall_ms; }

  void Order(const jobs::WorkerInfo& worker,
             const jobs::OrderCall& call,
             uint64_t fencing_token,
             OrderDone done) override {
    orders.push_back({worker, call, std::move(done), fencing_token});
  }
  void Hold(const jobs::WorkerInfo& worker,
            const jobs::HoldCall& call,
            uint64_t fencing_token,
            HoldDone done) override {
    holds.push_back({worker, call, std::move(done), fencing_token});
  }
  void QueryAdvice(const jobs::AdviceQuery&,
                   base::Duration,
                   AdviceDone) override {}

  // Commits all pending batches, including those that a commit triggers.
  void Commit() {
    while (!waiting_.empty()) {
      CommitNext();
    }
  }
  // Commits the oldest pending batch, if any.
  void CommitNext() {
    if (waiting_.empty()) {
      return;
    }
    auto [batch, done] = std::move(waiting_.front());
    waiting_.pop_front();
    Apply(*batch);
    done(RecordResult::kRecorded);
  }
  void Apply(const jobs::Batch& batch) {
    const jobs::Changes changes = table_.Apply(batch);
    for (const jobs::StartRun& start : changes.started) {
      uint64_t& last = last_runs_[start.task];
      last = std::max(last, start.run);
    }
    history_.OnApplied(changes, table_, now_);
    leader->OnApplied(changes);
  }
  // Refuses the oldest pending batch, as a replica that can't propose does.
  void RefuseNext() {
    const RecordDone done = std::move(waiting_.front().second);
    waiting_.pop_front();
    done(RecordResult::kNotRecorded);
  }
  size_t waiting() const { return waiting_.size(); }

  // Returns the number of the last run of the task that was recorded, also once
  // the table has released the task; 0 if there was none.
  uint64_t LastStartedRun(const jobs::TaskKey& task) const {
    const auto it = last_runs_.find(task);
    return it == last_runs_.end() ? 0 : it->second;
  }
  // The same, or of a run that is waiting to be recorded.
  uint64_t LastProposedRun(const jobs::TaskKey& task) const {
    uint64_t last = LastStartedRun(task);
    for (const auto& entry : waiting_) {
      for (const jobs::StartRun& start : entry.first->starts) {
        last = start.task == task ? std::max(last, start.run) : last;
      }
    }
    return last;
  }

  // Runs the functions deferred so far; returns whether there were any.
  bool RunDeferred() {
    const auto deferred = std::exchange(deferred_, {});
    std::ranges::for_each(deferred, [](auto& then) { then(); });
    return !deferred.empty();
  }

  void Advance(milliseconds time) {
    now_ += time;
    leader->Tick();
  }

  // Answers each open hold with a reply that contains these lists of runs.
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

  // The last time at which the leader is known to have led; now if unset.
  std::optional<base::Instant> leads_at;
  bool may_start_copies = true;
  base::WallMs wall_ms = 0;
  std::vector<SentOrder> orders;
  std::vector<SentHold> holds;
  std::vector<SentQuery> queries;
  std::vector<std::function<void(bool passed)>> barriers;
  std::vector<wire::EntryId> advisers;
  milliseconds plan_time{0};
  std::shared_ptr<Leader> leader;

 private:
  jobs::JobTable table_;
  jobs::ReplicaHistory history_;
  std::map<jobs::TaskKey, uint64_t> last_runs_;
  std::deque<std::pair<std::shared_ptr<const jobs::Batch>, RecordDone>>
      waiting_;
  std::vector<std::function<void()>> deferred_;
  base::Instant now_ = base::Instant(milliseconds(1'000'000));
};

class LeaderTest : public testing::Test {
 protected:
  LeaderTest() : metrics_(*registry_) { Elect(1); }

  void Elect(uint64_t term) {
    context_.holds.clear();
    context_.orders.clear();
    context_.leader = Leader::Create(
        context_, {term, session_options_, table_limits_}, metrics_);
  }

  jobs::WorkerInfo Worker(const std::string& id) const {
    jobs::WorkerInfo info;
    info.boot = {wire::WorkerId(id), 1};
    info.address = "10.0.0." + id;  // unique per worker
    info.service = wire::ServiceId("batch");
    info.capacity = {4000, 1000, 0};
    return info;
  }

  void AddWorker(const std::string& id) {
    context_.leader->OnHeartbeat(Worker(id), context_.ClockMs(),
                                 [](RecordResult) {});
    context_.Commit();
    context_.leader->OnHeartbeat(Worker(id), context_.ClockMs(),
                                 [](RecordResult) {});
  }

  void Submit(const std::string& id, uint32_t count = 1) {
    jobs::StepSpec step;
    step.count = count;
    step.need.cpu_milli = 1000;
    context_.leader->Submit(
        {wire::JobId(id), jobs::QueueId("q"), {"text", {step}}},
        [this](RecordResult result) { submitted_ = result; });
  }

  // Orders the worker "w" to start the task of the job "j".
  void OrderTask() {
    AddWorker("w");
    context_.AnswerHolds({});
    Submit("j");
    context_.Commit();
    ASSERT_EQ(context_.orders.size(), 1U);
  }

  // Has the worker "w" run the task of the job "j".
  void RunTask() {
    ASSERT_NO_FATAL_FAILURE(OrderTask());
    context_.orders[0].done({jobs::OrderResult::kAccepted, context_.ClockMs()});
  }

  const jobs::StartOrder& FirstStart() const {
    return std::get<jobs::StartOrder>(context_.orders.at(0).call.order);
  }

  std::unique_ptr<telemetry::Metrics> registry_ = telemetry::Metrics::Create();
  LeaderMetrics metrics_;
  // Of leaders that are elected later.
  jobs::SessionOptions session_options_;
  TableLimits table_limits_;
  FakeLeaderContext context_;
  RecordResult submitted_ = RecordResult::kNotRecorded;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_TEST_LEADER_FIXTURE_H_
