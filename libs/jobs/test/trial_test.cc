// Tests where tasks are started that may have crashed their workers.

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "jobs/scheduler.h"
#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(100'000 + ms));
}

class TrialTest : public testing::Test {
 protected:
  void AddWorkers(int count) {
    for (int n = 0; n < count; ++n) {
      fixture_.AddWorker(Worker(std::to_string(n)));
    }
  }
  void AddJob(const std::string& id, const StepSpec& step) {
    fixture_.AddJob(id, {step});
    const JobRecord& job = *fixture_.table.FindJob(wire::JobId(id));
    scheduler_.OnJob(job, fixture_.table.FindQueue(job.queue), At(0));
  }
  // Lets a worker crash under the tasks, so that they are suspects.
  void MakeSuspects(const std::string& job, uint32_t count) {
    const WorkerInfo crashed = Worker("crashed");
    fixture_.AddWorker(crashed);
    Batch loss;
    for (uint32_t n = 0; n < count; ++n) {
      ASSERT_TRUE(fixture_.Start(Task(job, 0, n), 1, crashed.boot));
      loss.ends.push_back({crashed.boot, Task(job, 0, n), 1,
                           RunOutcome::kLeaseExpired, "", true,
                           CrashRole::kEarly, 0});
    }
    loss.removed_workers = {crashed.boot};
    fixture_.table.Apply(loss);
  }
  Plan MakePlan(int64_t ms) {
    PlanSources sources;
    sources.usable_workers = [this] {
      std::vector<const WorkerRecord*> records;
      for (const auto& [id, record] : fixture_.table.workers()) {
        records.push_back(&record);
      }
      return records;
    };
    sources.idle_advice_hosts = [] { return size_t{4}; };
    const Plan plan =
        scheduler_.MakePlan(fixture_.table, advice_, sources, At(ms));
    for (const StartRun& start : plan.starts) {
      EXPECT_TRUE(fixture_.Start(start.task, start.run, start.worker));
      scheduler_.OnStart(fixture_.table, start, At(ms));
    }
    return plan;
  }
  static std::set<WorkerBoot> WorkersOf(const Plan& plan,
                                        const std::string& job) {
    std::set<WorkerBoot> workers;
    for (const StartRun& start : plan.starts) {
      if (start.task.step.job == wire::JobId(job)) {
        workers.insert(start.worker);
      }
    }
    return workers;
  }

  TableFixture fixture_;
  AdviceTracker advice_;
  Scheduler scheduler_;
};

TEST_F(TrialTest, NoOtherJobStartsBesideASuspect) {
  AddWorkers(8);
  AddJob("suspect", Step(1));
  MakeSuspects("suspect", 1);
  AddJob("other", Step(8));
  const Plan plan = MakePlan(1);
  const auto trial = WorkersOf(plan, "suspect");
  ASSERT_EQ(trial.size(), 1U);
  EXPECT_FALSE(WorkersOf(plan, "other").contains(*trial.begin()));
  AddJob("later", Step(40));
  EXPECT_FALSE(WorkersOf(MakePlan(400), "later").contains(*trial.begin()));
  AddJob("latest", Step(40));
  EXPECT_TRUE(WorkersOf(MakePlan(600), "latest").contains(*trial.begin()))
      << "the trial is over";
}

TEST_F(TrialTest, ASuspectStartsBesideOldRunsOnly) {
  AddWorkers(4);
  AddJob("young", Step(8));
  MakePlan(1);
  AddJob("suspect", Step(1));
  MakeSuspects("suspect", 1);
  EXPECT_TRUE(MakePlan(100).starts.empty());
  EXPECT_EQ(MakePlan(600).starts.size(), 1U);
}

// Work of higher rank would otherwise start on each worker again and again.
TEST_F(TrialTest, AWorkerIsKeptFreeOfYoungRunsForASuspect) {
  AddWorkers(4);
  AddJob("suspect", Step(1));
  MakeSuspects("suspect", 1);
  size_t trials = 0;
  for (int64_t n = 0; n < 8; ++n) {
    AddJob("busy" + std::to_string(n), Step(4));
    trials += WorkersOf(MakePlan(100 * n), "suspect").size();
  }
  EXPECT_EQ(trials, 1U);
}

TEST_F(TrialTest, TrialsLeaveMostWorkersToOthers) {
  AddWorkers(8);
  AddJob("suspect", Step(8));
  MakeSuspects("suspect", 8);
  AddJob("other", Step(6));
  const Plan plan = MakePlan(1);
  EXPECT_EQ(WorkersOf(plan, "suspect").size(), 2U);
  EXPECT_EQ(WorkersOf(plan, "other").size(), 6U);
}

TEST_F(TrialTest, AGangWithASuspectStartsApartFromOthers) {
  AddWorkers(4);
  StepSpec gang = Step(32);
  gang.is_gang = true;
  AddJob("gang", gang);
  MakeSuspects("gang", 1);
  const Plan plan = MakePlan(1);
  const auto trial = WorkersOf(plan, "gang");
  EXPECT_EQ(trial.size(), 2U);
  AddJob("other", Step(4));
  for (const WorkerBoot& worker : WorkersOf(MakePlan(100), "other")) {
    EXPECT_FALSE(trial.contains(worker));
  }
}

}  // namespace
}  // namespace sassafras::jobs
