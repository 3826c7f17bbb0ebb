// Tests that a task which crashes each worker that starts it is given up soon,
// and that sound tasks which shared its workers are served.

#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "leader_fixture.h"

namespace sassafras::jobcontrol {
namespace {

constexpr milliseconds kStep(50);
constexpr milliseconds kRunTime(700);
constexpr milliseconds kDeadlyRunTime(100);
constexpr milliseconds kDownTime(3000);
// Crashes of one task after which it may be started twice more at most.
constexpr size_t kFreeCrashes = 3;
constexpr size_t kMaxStartsAfterwards = 2;

// How a crashed worker comes back.
enum class Return { kNever, kSameId, kSameAddress };
std::ostream& operator<<(std::ostream& out, Return value) {
  return out << "return " << static_cast<int>(value);
}

// Worker processes that run what they are told to, and crash when they run a
// deadly task. A crashed worker refuses connections.
class Fleet {
 public:
  explicit Fleet(FakeLeaderContext& context) : context_(context) {}

  void Add(const jobs::WorkerInfo& info) { workers_[info.address] = {info}; }
  void SetDeadly(const jobs::TaskKey& task) { deadly_.insert(task); }
  void SetReturn(Return value, milliseconds down_time = kDownTime) {
    return_ = value;
    down_time_ = down_time;
  }

  // Lets `time` pass.
  void Run(milliseconds time) {
    for (milliseconds done{}; done < time; done += kStep) {
      now_ += kStep;
      EndRuns();
      Restart();
      SendHeartbeats();
      context_.Advance(kStep);
      AnswerCalls();
      context_.Commit();
      while (context_.RunDeferred()) {
      }
    }
  }

  // Crashes all workers on which `is_hit` holds, whatever they run.
  template <typename Predicate>
  void CrashIf(Predicate is_hit) {
    for (auto& [address, worker] : workers_) {
      if (worker.is_up && is_hit(worker)) {
        Crash(worker);
      }
    }
  }

  size_t starts(const jobs::TaskKey& task) const {
    return starts_.contains(task) ? starts_.at(task).size() : 0;
  }
  // Workers that crashed while the task ran on them.
  size_t crashes(const jobs::TaskKey& task) const {
    return crashes_.contains(task) ? crashes_.at(task).size() : 0;
  }
  // Starts after the third crash under the task.
  size_t late_starts(const jobs::TaskKey& task) const {
    if (crashes(task) < kFreeCrashes) {
      return 0;
    }
    const milliseconds third = crashes_.at(task)[kFreeCrashes - 1];
    return static_cast<size_t>(std::ranges::count_if(
        starts_.at(task), [&](milliseconds at) { return at > third; }));
  }

  struct Running {
    jobs::TaskKey task;
    uint64_t run = 0;
    milliseconds started{};
  };
  struct Worker {
    jobs::WorkerInfo info;
    bool is_up = true;
    milliseconds back_at{};
    std::vector<Running> runs;
    std::vector<jobs::EndReport> ended;
    uint64_t last_end = 0;
  };

 private:
  void EndRuns() {
    for (auto& [address, worker] : workers_) {
      const bool crashes =
          std::ranges::any_of(worker.runs, [&](const Running& run) {
            return deadly_.contains(run.task) &&
                   now_ - run.started >= kDeadlyRunTime;
          });
      if (worker.is_up && crashes) {
        Crash(worker);
      }
      std::erase_if(worker.runs, [&](const Running& run) {
        const bool is_over = now_ - run.started >= kRunTime;
        if (is_over) {
          worker.ended.push_back({++worker.last_end, run.task, run.run,
                                  jobs::RunOutcome::kDone, ""});
        }
        return is_over;
      });
    }
  }

  void Crash(Worker& worker) {
    for (const Running& run : worker.runs) {
      crashes_[run.task].push_back(now_);
    }
    worker.runs.clear();
    worker.ended.clear();
    worker.last_end = 0;
    worker.is_up = false;
    worker.back_at = now_ + down_time_;
  }

  void Restart() {
    for (auto& [address, worker] : workers_) {
      if (worker.is_up || return_ == Return::kNever || now_ < worker.back_at) {
        continue;
      }
      worker.is_up = true;
      worker.info.boot.started_ms = 1 + now_.count();
      if (return_ == Return::kSameAddress) {
        worker.info.boot.id =
            wire::WorkerId(address + "-" + std::to_string(now_.count()));
      }
    }
  }

  void SendHeartbeats() {
    for (auto& [address, worker] : workers_) {
      if (worker.is_up) {
        context_.leader->OnHeartbeat(worker.info, context_.ClockMs(),
                                     [](RecordResult) {});
      }
    }
  }

  void AnswerCalls() {
    for (auto& order : std::exchange(context_.orders, {})) {
      Worker& worker = workers_.at(order.worker.address);
      order.done(Answer(worker, order.worker.boot, order.call));
    }
    for (auto& hold : std::exchange(context_.holds, {})) {
      Worker& worker = workers_.at(hold.worker.address);
      hold.done(Answer(worker, hold.worker.boot, hold.call));
    }
  }

  jobs::OrderReply Answer(Worker& worker,
                          const jobs::WorkerBoot& boot,
                          const jobs::OrderCall& call) {
    if (!worker.is_up) {
      return {jobs::OrderResult::kNoAnswer, std::nullopt};
    }
    if (worker.info.boot != boot) {
      return {jobs::OrderResult::kOtherBoot, std::nullopt};
    }
    if (const auto* start = std::get_if<jobs::StartOrder>(&call.order)) {
      worker.runs.push_back({start->task, start->run, now_});
      starts_[start->task].push_back(now_);
    } else if (const auto* stop = std::get_if<jobs::StopOrder>(&call.order)) {
      std::erase_if(worker.runs, [&](const Running& run) {
        return run.task == stop->task && run.run == stop->run;
      });
      worker.ended.push_back({++worker.last_end, stop->task, stop->run,
                              jobs::RunOutcome::kStopped, ""});
    }
    return {jobs::OrderResult::kAccepted, context_.ClockMs()};
  }

  jobs::HoldReply Answer(Worker& worker,
                         const jobs::WorkerBoot& boot,
                         const jobs::HoldCall& call) {
    if (!worker.is_up || worker.info.boot != boot) {
      return {false, !worker.is_up, 0, {}, {}};
    }
    std::erase_if(worker.ended,
                  [&](auto& end) { return end.number <= call.end_cursor; });
    jobs::HoldReply reply{true, false, context_.ClockMs(), {}, worker.ended};
    for (const Running& run : worker.runs) {
      reply.running.push_back({run.task, run.run, "", 1, 0});
    }
    return reply;
  }

  FakeLeaderContext& context_;
  milliseconds now_{};
  std::map<std::string, Worker> workers_;  // by address
  std::set<jobs::TaskKey> deadly_;
  Return return_ = Return::kSameId;
  milliseconds down_time_ = kDownTime;
  std::map<jobs::TaskKey, std::vector<milliseconds>> starts_;
  std::map<jobs::TaskKey, std::vector<milliseconds>> crashes_;
};

jobs::TaskKey TaskOf(const std::string& job, uint32_t index = 0) {
  return {{wire::JobId(job), 0, 0}, index};
}

class DeadlyTaskTest : public LeaderTest {
 protected:
  void AddFleet(size_t workers) {
    for (size_t n = 0; n < workers; ++n) {
      fleet_.Add(Worker(std::to_string(n)));
    }
    fleet_.Run(kStep * 4);
  }
  jobs::JobPhase PhaseOf(const std::string& job) const {
    return context_.table().FindJob(wire::JobId(job))->phase;
  }
  void SubmitStep(const std::string& id, const jobs::StepSpec& step) {
    context_.leader->Submit(
        {wire::JobId(id), jobs::QueueId("q"), {"text", {step}}},
        [](RecordResult) {});
  }
  static jobs::StepSpec StepOf(uint32_t count) {
    jobs::StepSpec step;
    step.count = count;
    step.need.cpu_milli = 1000;
    return step;
  }

  Fleet fleet_{context_};
};

TEST_F(DeadlyTaskTest, ATaskThatCrashesEachWorkerIsGivenUp) {
  AddFleet(12);
  fleet_.SetDeadly(TaskOf("deadly"));
  Submit("deadly");
  Submit("sound", 20);
  fleet_.Run(milliseconds(15'000));
  EXPECT_EQ(PhaseOf("deadly"), jobs::JobPhase::kFailed);
  EXPECT_LE(fleet_.crashes(TaskOf("deadly")), kFreeCrashes);
  EXPECT_EQ(PhaseOf("sound"), jobs::JobPhase::kCompleted);
}

TEST_F(DeadlyTaskTest, AWorkerThatReturnsAtOnceCountsAsCrashed) {
  for (const Return value : {Return::kSameId, Return::kSameAddress}) {
    SCOPED_TRACE(static_cast<int>(value));
    const std::string id = "deadly" + std::to_string(static_cast<int>(value));
    fleet_.SetReturn(value, kStep);
    AddFleet(12);
    fleet_.SetDeadly(TaskOf(id));
    Submit(id);
    fleet_.Run(milliseconds(6000));
    EXPECT_EQ(PhaseOf(id), jobs::JobPhase::kFailed);
    EXPECT_LE(fleet_.crashes(TaskOf(id)), kFreeCrashes);
  }
}

TEST_F(DeadlyTaskTest, ANewLeaderKnowsTheCrashes) {
  AddFleet(12);
  fleet_.SetDeadly(TaskOf("deadly"));
  Submit("deadly");
  uint64_t term = 1;
  for (int n = 0; n < 10; ++n) {
    fleet_.Run(milliseconds(1000));
    Elect(++term);
  }
  fleet_.Run(milliseconds(3000));
  EXPECT_EQ(PhaseOf("deadly"), jobs::JobPhase::kFailed);
  EXPECT_LE(fleet_.late_starts(TaskOf("deadly")), kMaxStartsAfterwards);
}

TEST_F(DeadlyTaskTest, ATaskThatLastsIsGivenUpToo) {
  AddFleet(12);
  jobs::StepSpec step = StepOf(3);
  step.is_lasting = true;
  fleet_.SetDeadly(TaskOf("deadly", 1));
  SubmitStep("deadly", step);
  fleet_.Run(milliseconds(15'000));
  EXPECT_EQ(PhaseOf("deadly"), jobs::JobPhase::kFailed);
  EXPECT_LE(fleet_.late_starts(TaskOf("deadly", 1)), kMaxStartsAfterwards);
}

// All members start at once, so one run crashes a worker for each of them.
TEST_F(DeadlyTaskTest, AGangThatCrashesEachWorkerIsGivenUp) {
  AddFleet(12);
  jobs::StepSpec step = StepOf(8);
  step.is_gang = true;
  step.has_checkpoints = true;
  for (uint32_t n = 0; n < step.count; ++n) {
    fleet_.SetDeadly(TaskOf("deadly", n));
  }
  SubmitStep("deadly", step);
  Submit("sound", 20);
  fleet_.Run(milliseconds(20'000));
  EXPECT_EQ(PhaseOf("deadly"), jobs::JobPhase::kFailed);
  for (uint32_t n = 0; n < step.count; ++n) {
    EXPECT_LE(fleet_.late_starts(TaskOf("deadly", n)), kMaxStartsAfterwards);
  }
  EXPECT_EQ(PhaseOf("sound"), jobs::JobPhase::kCompleted);
}

TEST_F(DeadlyTaskTest, WavesOfCrashesEndNoSoundJob) {
  AddFleet(12);
  Submit("sound", 30);
  for (int wave = 0; wave < 6; ++wave) {
    fleet_.Run(milliseconds(300));
    fleet_.CrashIf([&](const Fleet::Worker& worker) {
      return (worker.info.address.back() + wave) % 2 == 0;
    });
    fleet_.Run(kDownTime);
  }
  fleet_.Run(milliseconds(5000));
  EXPECT_EQ(PhaseOf("sound"), jobs::JobPhase::kCompleted);
}

// Deadly and sound jobs of random sizes, with changes of leader in between.
RC_GTEST_FIXTURE_PROP(DeadlyTaskTest, OnlyDeadlyJobsAreGivenUp, ()) {
  fleet_.SetReturn(
      *rc::gen::element(Return::kNever, Return::kSameId, Return::kSameAddress));
  AddFleet(40);
  const auto jobs = *rc::gen::container<std::vector<uint32_t>>(
      5, rc::gen::inRange<uint32_t>(1, 7));
  const auto is_deadly = *rc::gen::container<std::vector<bool>>(
      jobs.size(), rc::gen::arbitrary<bool>());
  const auto changes = *rc::gen::inRange(0, 3);
  for (size_t n = 0; n < jobs.size(); ++n) {
    const std::string id = "job" + std::to_string(n);
    if (is_deadly[n]) {
      fleet_.SetDeadly(TaskOf(id));
    }
    Submit(id, jobs[n]);
    fleet_.Run(milliseconds(*rc::gen::inRange(0, 400)));
  }
  for (int n = 0; n < changes; ++n) {
    fleet_.Run(milliseconds(*rc::gen::inRange(100, 1500)));
    Elect(static_cast<uint64_t>(n) + 2);
  }
  fleet_.Run(milliseconds(20'000));
  for (size_t n = 0; n < jobs.size(); ++n) {
    const std::string id = "job" + std::to_string(n);
    RC_ASSERT(PhaseOf(id) == (is_deadly[n] ? jobs::JobPhase::kFailed
                                           : jobs::JobPhase::kCompleted));
    RC_ASSERT(fleet_.late_starts(TaskOf(id)) <= kMaxStartsAfterwards);
  }
}

}  // namespace
}  // namespace sassafras::jobcontrol
