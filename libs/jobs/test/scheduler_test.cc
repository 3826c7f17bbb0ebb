// Tests which waiting tasks start, and on which workers.

#include "jobs/scheduler.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "scheduler_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;

TEST_F(SchedulerTest, UsesOnlyWorkersWithFreeCapacity) {
  AddWorker(Worker("w"));
  AddJob("j", {Step(20)});
  const Plan plan = MakePlan();
  EXPECT_EQ(plan.starts.size(), 16U) << "16 cores, one per task";
}

TEST_F(SchedulerTest, DrainingAndUnresponsiveWorkersGetNoTasks) {
  WorkerInfo draining = Worker("d");
  draining.is_draining = true;
  AddWorker(draining);
  fixture_.AddWorker(Worker("unheard"));
  AddJob("j", {Step(1)});
  EXPECT_TRUE(MakePlan().starts.empty());
}

TEST_F(SchedulerTest, AGangStartsAsAWholeOrNotAtAll) {
  AddWorker(Worker("w"));
  StepSpec gang = Step(3);
  gang.is_gang = true;
  gang.need.cpu_milli = 6000;
  AddJob("big", {gang});
  AddJob("small", {Step(2)});
  Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts[0].task.step.job, wire::JobId("small"));
  AddWorker(Worker("v"));
  plan = MakePlan();
  EXPECT_EQ(std::ranges::count(plan.starts, wire::JobId("big"),
                               [](auto& it) { return it.task.step.job; }),
            3);
}

// Short single tasks would fill every gap before a gang finds one.
TEST_F(SchedulerTest, AWaitingGangReservesTheWorkerWithTheMostFreeCapacity) {
  AddWorker(Worker("w"));
  AddWorker(Worker("v"));
  AddJob("first", {Step(20)});
  for (const StartRun& start : MakePlan().starts) {
    fixture_.Start(start.task, start.run, start.worker);
  }
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.need.cpu_milli = 8000;
  AddJob("gang", {gang});
  AddJob("small", {Step(12)});
  const Plan plan = MakePlan();
  EXPECT_EQ(plan.starts.size(), 6U) << "one worker is reserved for the gang";
}

// A gang ends with the first worker that it loses.
TEST_F(SchedulerTest, AGangUsesFewWorkers) {
  for (const char* name : {"a", "b", "c", "d"}) {
    AddWorker(Worker(name));
  }
  StepSpec gang = Step(8);
  gang.is_gang = true;
  gang.need.cpu_milli = 4000;
  AddJob("gang", {gang});
  const Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 8U);
  std::set<WorkerBoot> used;
  for (const StartRun& start : plan.starts) {
    used.insert(start.worker);
  }
  EXPECT_EQ(used.size(), 2U);
}

// Steady short work beside wide gangs: a ticket expires before the permitted
// workers are free, and renewing it takes as long as a short task.
TEST_F(SchedulerTest, AGangKeepsItsReservationWhenItsTicketsHaveExpired) {
  RequireAdvice();
  for (const char* name : {"a", "b", "c", "d"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("gang", {gang});
  GrantPermits(MakePlan(12), 20);
  EXPECT_EQ(MakePlan(30).reserved_workers.size(), 2U);
  EXPECT_EQ(MakePlan(5000).reserved_workers.size(), 2U)
      << "the tickets expired at 2020 ms";
}

// Workers that two gangs count on serve one of them, and the other begins to
// wait anew.
TEST_F(SchedulerTest, EachWorkerIsReservedForOneGang) {
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(1);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("first", {gang});
  AddJob("second", {gang});
  const Plan plan = MakePlan(12);
  EXPECT_EQ(plan.reserved_workers.size(), 2U);
  EXPECT_EQ(plan.reserved_steps.size(), 2U);
}

// Workers for some of its tasks would lie idle for nothing.
TEST_F(SchedulerTest, AGangThatCannotHaveAllItsWorkersReservesNone) {
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(3);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("first", {gang});
  AddJob("second", {gang});
  const Plan plan = MakePlan(12);
  EXPECT_EQ(plan.reserved_workers.size(), 3U);
  EXPECT_EQ(plan.reserved_steps.size(), 1U);
}

// Such a gang may be unable to start at all, and other work needs room.
TEST_F(SchedulerTest, AGangThatNeedsMoreThanHalfOfThePoolReservesNone) {
  for (const char* name : {"a", "b", "c", "d"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(3);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("j", {gang});
  EXPECT_TRUE(MakePlan(12).reserved_workers.empty());
}

TEST_F(SchedulerTest, SingleTasksOfWholeWorkersLeaveHalfOfThePoolOpen) {
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec step = Step(6);
  step.need.cpu_milli = 16'000;
  AddJob("j", {step});
  EXPECT_EQ(MakePlan(12).reserved_workers.size(), 3U);
}

// With one task a worker, the two need two workers, however large these are.
TEST_F(SchedulerTest, AGangWithALimitPerWorkerReservesAWorkerATask) {
  for (const char* name : {"a", "b", "c", "d"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.max_per_worker = 1;
  AddJob("j", {gang});
  EXPECT_EQ(MakePlan(12).reserved_workers.size(), 2U);
}

// Newer gangs of an earlier due time would take its workers one by one.
TEST_F(SchedulerTest, AGangWithReservedWorkersComesBeforeNewerGangs) {
  for (const char* name : {"a", "c"}) {
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(1);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("waits", {gang});
  ASSERT_EQ(MakePlan(1).reserved_steps.size(), 1U);
  StepSpec quick = gang;
  quick.estimate_ms = 1;
  AddJob("newer", {quick}, 2);
  AddWorker(Worker("b"));
  const Plan plan = MakePlan(3);
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].task.step.job, wire::JobId("waits"));
}

// Capacity that has been emptied for a gang lies idle while its tickets are
// renewed.
TEST_F(SchedulerTest, RenewsTicketsBeforeTheLastTaskOfAGangHasRoom) {
  RequireAdvice();
  for (const char* name : {"a", "b", "c", "d"}) {
    AddWorker(Worker(name));
  }
  FillWorker("c");
  FillWorker("d");
  StepSpec gang = Step(3);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("gang", {gang});
  GrantPermits(MakePlan(12), 20);
  const auto count_requests = [&] {
    return std::ranges::count(MakePlan(5000).advice_requests,
                              wire::JobId("gang"),
                              [](auto& it) { return it.step.job; });
  };
  EXPECT_EQ(count_requests(), 0) << "hosts are scarce";
  hosts_ = 40;
  EXPECT_EQ(count_requests(), 1) << "two of three tasks have room";
}

TEST_F(SchedulerTest, AGangThatCannotFitOnPermittedWorkersAsksAboutOthers) {
  RequireAdvice();
  for (int n = 0; n < 300; ++n) {
    const std::string name = "w" + std::to_string(n);
    AddWorker(Worker(name));
    FillWorker(name);
  }
  StepSpec gang = Step(60);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("gang", {gang});
  GrantPermits(MakePlan(12), 20, 20);
  const Plan plan = MakePlan(30);
  ASSERT_FALSE(plan.advice_requests.empty());
  const AdviceRequest& request = plan.advice_requests.back();
  EXPECT_EQ(request.step.job, wire::JobId("gang"));
  EXPECT_TRUE(request.has_capacity);
  EXPECT_EQ(advice_.StatusOf(request.step, request.candidates.at(0)),
            AdviceStatus::kUnknown);
}

// In a full pool, hundreds of steps wait with permits for busy workers. A walk
// over the pool for each of them in each plan would leave the leader no time.
TEST_F(SchedulerTest, SearchesForWorkersToAskAboutNotInEachPlan) {
  RequireAdvice();
  AddWorker(Worker("a"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("gang", {gang});
  GrantPermits(MakePlan(0), 0);
  FillWorker("a");
  const Plan plan = MakePlan(10);
  ASSERT_EQ(plan.steps_without_query.size(), 1U);
  EXPECT_EQ(plan.steps_without_query[0].job, wire::JobId("gang"));
  EXPECT_TRUE(MakePlan(20).steps_without_query.empty());
  AddWorker(Worker("b"));
  EXPECT_TRUE(MakePlan(30).advice_requests.empty());
  EXPECT_EQ(MakePlan(1000).advice_requests.size(), 1U);
}

// Work of a higher priority is placed first and would otherwise choose the
// workers that have been emptied for a gang.
// The room beside the running task would lie idle until that task ends, and
// then there is enough for the next one.
TEST_F(SchedulerTest, SmallWorkStartsBesideATaskWhoseSiblingsWait) {
  WorkerInfo big = Worker("big");
  big.labels = {"big"};
  AddWorker(big);
  AddWorker(Worker("other"));
  StepSpec large = Step(2);
  large.need.cpu_milli = 10'000;
  large.required_label = "big";
  AddJob("large", {large});
  StartAll(MakePlan());
  StepSpec small = Step(1);
  small.required_label = "big";
  AddJob("small", {small}, 1);
  const Plan plan = MakePlan(2);
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].task, Task("small"));
}

TEST_F(SchedulerTest, OtherWorkAvoidsWorkersThatAreReserved) {
  for (const char* name : {"a", "b"}) {
    AddWorker(Worker(name));
  }
  AddJob("first", {Step(16)});
  StartAll(MakePlan());
  StepSpec gang = Step(1);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  AddJob("gang", {gang});
  const Plan before = MakePlan();
  ASSERT_EQ(before.reserved_workers.size(), 1U);
  StepSpec urgent = Step(1);
  urgent.estimate_ms = 1;
  AddJob("urgent", {urgent});
  const Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_FALSE(before.reserved_workers.contains(plan.starts[0].worker));
}

// Urgent jobs have several short steps, each of which would wait for the
// placement service.
TEST_F(SchedulerTest, RequestsAdviceForTheNextStepWhileTheCurrentOneRuns) {
  Batch batch;
  batch.manifests = {fixture_.table.manifest()};
  batch.manifests[0].version = 2;
  batch.manifests[0].queues[0].advice = {true, 20, 0.3, 2000};
  fixture_.table.Apply(batch);
  AddWorker(Worker("w"));
  AddJob("j", {Step(2), Step(1, {0})});
  const auto assigned =
      advice_.AssignQueries(MakePlan().advice_requests, kHosts, At(1));
  ASSERT_EQ(assigned.size(), 1U);
  const std::vector<Permit> permits = {{wire::WorkerId("w"), "t"}};
  advice_.OnAnswer(assigned[0].query.id, permits, At(20));
  EXPECT_TRUE(std::ranges::none_of(MakePlan(20).advice_requests, [](auto& it) {
    return it.step.step == 1;
  })) << "no task of the first step has started";
  ASSERT_TRUE(fixture_.Start(Task("j", 0, 0), 1, Boot("w")));
  ASSERT_TRUE(fixture_.Start(Task("j", 0, 1), 1, Boot("w")));
  const Plan plan = MakePlan(30);
  EXPECT_TRUE(plan.starts.empty());
  ASSERT_EQ(plan.advice_requests.size(), 1U);
  EXPECT_EQ(plan.advice_requests[0].step.step, 1U);
}

// Many gangs wait for capacity on workers that require advice, and each query
// occupies a host for most of a second.
TEST_F(SchedulerTest, RequestsAdviceOnlyWhereItCanBeUsed) {
  Batch batch;
  batch.manifests = {fixture_.table.manifest()};
  batch.manifests[0].version = 2;
  batch.manifests[0].queues[0].advice = {true, 500, 8, 2000};
  fixture_.table.Apply(batch);
  AddWorker(Worker("w"));
  AddWorker(Worker("v"));
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.need.cpu_milli = 16'000;
  for (int n = 0; n < 20; ++n) {
    AddJob("g" + std::to_string(n), {gang});
  }
  const Plan plan = MakePlan();
  EXPECT_EQ(std::ranges::count(plan.advice_requests, true,
                               &AdviceRequest::has_capacity),
            1)
      << "there is free capacity for one gang";
  EXPECT_LE(plan.advice_requests.size(), 5U);
  EXPECT_EQ(plan.advice_requests[0].step.job, wire::JobId("g0"));
}

TEST_F(SchedulerTest, PlacesARackLocalGangOnOneRack) {
  for (const char* name : {"a1", "a2", "b1", "b2"}) {
    WorkerInfo info = Worker(name);
    info.rack = std::string(name, 1);
    AddWorker(info);
  }
  StepSpec gang = Step(2);
  gang.is_gang = true;
  gang.is_rack_local = true;
  gang.need.cpu_milli = 16'000;
  AddJob("j", {gang});
  const Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts[0].worker.id.str()[0],
            plan.starts[1].worker.id.str()[0]);
}

TEST_F(SchedulerTest, RespectsRequiredLabelsAndLimitsPerWorker) {
  WorkerInfo labelled = Worker("l");
  labelled.labels = {"a"};
  AddWorker(labelled);
  AddWorker(Worker("w"));
  StepSpec step = Step(5);
  step.required_label = "a";
  step.max_per_worker = 2;
  AddJob("j", {step});
  const Plan plan = MakePlan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts[0].worker.id, wire::WorkerId("l"));
}

TEST_F(SchedulerTest, PrefersTheRackOfTheData) {
  for (const char* name : {"a", "b"}) {
    WorkerInfo info = Worker(name);
    info.rack = name;
    AddWorker(info);
  }
  StepSpec step = Step(17);
  step.data_rack = "b";
  AddJob("j", {step});
  const Plan plan = MakePlan();
  EXPECT_EQ(plan.starts.size(), 17U);
  EXPECT_EQ(std::ranges::count(plan.starts, wire::WorkerId("b"),
                               [](auto& it) { return it.worker.id; }),
            16);
}

// With more work than capacity, jobs that can still meet their objective go
// first.
TEST_F(SchedulerTest, FarOverdueJobsWaitBehindJobsThatCanMeetTheirObjective) {
  AddWorker(Worker("w"));
  AddJob("old", {Step(16)});
  AddJob("new", {Step(16)}, 9000);
  const Plan plan = MakePlan(9001);
  ASSERT_EQ(plan.starts.size(), 16U);
  EXPECT_EQ(plan.starts[0].task.step.job, wire::JobId("new"));
}

// More work than capacity for a while: in the order of objectives, each job
// would start when its own has just passed, and all would be late.
TEST_F(SchedulerTest, AJobThatWillBeLateYieldsToJobsThatCanBeOnTime) {
  AddWorker(Worker("w"));
  AddJob("late", {Step(16)});
  AddJob("new", {Step(16)}, 700);
  const Plan plan = MakePlan(701);
  ASSERT_EQ(plan.starts.size(), 16U);
  EXPECT_EQ(plan.starts[0].task.step.job, wire::JobId("new"));
}

// A steady overload must not keep a late job waiting until it is of no use.
TEST_F(SchedulerTest, ALateJobIsServedBeforeItsResultIsOfNoUse) {
  AddWorker(Worker("w"));
  AddJob("late", {Step(16)});
  AddJob("new", {Step(16)}, 2100);
  const Plan plan = MakePlan(2101);
  ASSERT_EQ(plan.starts.size(), 16U);
  EXPECT_EQ(plan.starts[0].task.step.job, wire::JobId("late"))
      << "its result is of use until 3000 ms, the objective of the other is "
         "3100 ms";
}

TEST_F(SchedulerTest, FillersOccupyNoProcessorAndAvoidUserServingTasks) {
  AddWorker(Worker("w"));
  AddWorker(Worker("v"));
  StepSpec user_serving = Step(1);
  user_serving.is_lasting = true;
  user_serving.target_latency_ms = 50;
  AddJob("s", {user_serving});
  const Plan first = MakePlan();
  ASSERT_EQ(first.starts.size(), 1U);
  ASSERT_TRUE(fixture_.Start(first.starts[0].task, 1, first.starts[0].worker));
  StepSpec filler = Step(40);
  filler.is_filler = true;
  AddJob("f", {filler});
  const Plan plan = MakePlan();
  EXPECT_EQ(plan.starts.size(), 40U);
  EXPECT_EQ(std::ranges::count(plan.starts, first.starts[0].worker,
                               &StartRun::worker),
            0);
}

// For random jobs and workers, no plan overcommits a worker, starts a task
// twice or starts only a part of a gang.
RC_GTEST_PROP(SchedulerPlanProperty,
              NoPlanOvercommitsWorkersOrSplitsGangs,
              ()) {
  TableFixture fixture;
  std::set<wire::WorkerId> usable;
  const int workers = *rc::gen::inRange(1, 5);
  for (int n = 0; n < workers; ++n) {
    WorkerInfo info = Worker("w" + std::to_string(n));
    info.capacity.cpu_milli = *rc::gen::inRange(1000, 9000);
    fixture.AddWorker(info);
    usable.insert(info.boot.id);
  }
  Scheduler scheduler;
  const int jobs = *rc::gen::inRange(1, 6);
  for (int n = 0; n < jobs; ++n) {
    StepSpec step = Step(*rc::gen::inRange(1U, 6U));
    step.need.cpu_milli = *rc::gen::inRange(100, 4000);
    step.is_gang = *rc::gen::arbitrary<bool>();
    fixture.AddJob("j" + std::to_string(n), {step});
  }
  AdviceTracker advice;
  for (int round = 0; round < 3; ++round) {
    const Plan plan = scheduler.MakePlan(
        fixture.table, advice, Sources(fixture.table, usable), At(round));
    Batch batch;
    batch.starts = plan.starts;
    RC_ASSERT(fixture.table.Apply(batch).started.size() == plan.starts.size());
    for (const auto& [id, record] : fixture.table.workers()) {
      Resources free_capacity = record.info.capacity;
      for (const OpenRun& run : record.runs) {
        free_capacity -= run.charge;
      }
      RC_ASSERT(free_capacity.cpu_milli >= 0);
      RC_ASSERT(free_capacity == record.info.capacity - record.load.used);
    }
    for (const auto& [id, job] : fixture.table.jobs()) {
      const StepRecord& step = job.occurrences.at(0)[0];
      if (job.spec.steps[0].is_gang) {
        RC_ASSERT(step.open == 0 || step.open == step.tasks.size());
      }
    }
  }
}

}  // namespace
}  // namespace sassafras::jobs
