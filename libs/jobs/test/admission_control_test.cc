// Tests which submissions are refused as too late, and that what is known of
// the backlog equals a recount of the table.

#include "jobs/admission_control.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "customer_fixture.h"

namespace sassafras::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two queues with different priorities and objectives, and a pool of 16 cores.
class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() {
    Manifest manifest = table_.manifest();
    manifest.version = 1;
    for (const char* name : {"q", "low"}) {
      Queue queue;
      queue.id = QueueId(name);
      queue.host = name;
      queue.service = wire::ServiceId("batch");
      queue.priority = manifest.queues.empty() ? 0 : 1;
      queue.max_attempts = 3;
      manifest.queues.push_back(queue);
    }
    Batch batch;
    batch.manifests = {manifest};
    batch.workers = {Worker("w")};
    table_.Apply(batch);
    admission_.Assign(table_, history_, At(0));
  }

  void Apply(const Batch& batch, int64_t ms) {
    const Changes changes = table_.Apply(batch);
    history_.OnApplied(changes, table_, At(ms));
    admission_.OnApplied(table_, history_, changes, At(ms));
  }
  void Add(const jobs::AddJob& job, int64_t ms = 0) {
    Batch batch;
    batch.jobs = {job};
    Apply(batch, ms);
  }
  static jobs::AddJob JobIn(const std::string& queue,
                            const std::string& id,
                            std::vector<StepSpec> steps) {
    jobs::AddJob job = JobOf("", id, std::move(steps));
    job.queue = QueueId(queue);
    return job;
  }
  bool IsRefused(const jobs::AddJob& job, int64_t ms = 0) {
    const auto verdict = admission_.Judge(table_, job, At(ms));
    return verdict && verdict->IsTooLate();
  }

  JobTable table_;
  ReplicaHistory history_;
  AdmissionControl admission_;
};

// A job of one task of 1 s is of use for 3 s, so it may wait for 2.5 s: for 80
// tasks of 1 s on 16 cores, at half of their estimates.
TEST_F(AdmissionTest, AJobIsRefusedWhenTheWorkAheadOfItTakesTooLong) {
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1'000)})))
      << "its own size alone refuses no job";
  Add(JobIn("q", "j", {Step(80)}));
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)})));
  Add(JobIn("q", "k", {Step(1)}));
  EXPECT_TRUE(IsRefused(JobIn("low", "n", {Step(1)})));
  EXPECT_FALSE(IsRefused(JobIn("q", "n", {Step(1)})))
      << "what isn't due earlier doesn't go first";
}

TEST_F(AdmissionTest, WorkThatStartsOrEndsNoLongerDelaysOthers) {
  Add(JobIn("q", "j", {Step(81)}));
  ASSERT_TRUE(IsRefused(JobIn("low", "n", {Step(1)})));
  Batch batch;
  batch.starts = {{Task("j"), 1, Boot("w")}};
  Apply(batch, 10);
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)}), 10));
  batch = {};
  batch.ends = {{Boot("w"), Task("j"), 1, RunOutcome::kFailed, ""}};
  Apply(batch, 20);
  EXPECT_TRUE(IsRefused(JobIn("low", "n", {Step(1)}), 20));
  batch = {};
  batch.cancels = {wire::JobId("j")};
  Apply(batch, 30);
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)}), 30));
}

// A chain can't use the pool's capacity, so its later steps leave room.
TEST_F(AdmissionTest, StepsThatAreNotReadyDoNotCount) {
  Add(JobIn("q", "j", {Step(1), Step(500, {0})}));
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)})));
  Batch batch;
  batch.starts = {{Task("j"), 1, Boot("w")}};
  batch.ends = {{Boot("w"), Task("j"), 1, RunOutcome::kDone, ""}};
  Apply({.starts = batch.starts}, 0);
  Apply({.ends = batch.ends}, 0);
  EXPECT_TRUE(IsRefused(JobIn("low", "n", {Step(1)})));
}

// Work that can't use the pool's capacity takes none of it from others.
TEST_F(AdmissionTest, WorkForWhichThereIsNoWorkerOrAFewDoesNotCount) {
  StepSpec huge = Step(500);
  huge.need.cpu_milli = 17'000;
  StepSpec labelled = Step(500);
  labelled.required_label = "x";
  Add(JobIn("q", "j", {huge, labelled}));
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)})));
  Batch batch;
  batch.workers = {Worker("v")};
  batch.workers[0].capacity.cpu_milli = 17'000;
  Apply(batch, 0);
  EXPECT_TRUE(IsRefused(JobIn("low", "n", {huge})));
}

// These have no time at which they are of no use.
TEST_F(AdmissionTest, LongRunningRecurringAndFillerJobsAreNeverRefused) {
  Add(JobIn("q", "j", {Step(10'000)}));
  StepSpec lasting = Step(1);
  lasting.is_lasting = true;
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {lasting})));
  StepSpec filler = Step(1);
  filler.is_filler = true;
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {filler})));
  jobs::AddJob recurring = JobIn("low", "n", {Step(1)});
  EXPECT_TRUE(IsRefused(recurring));
  recurring.spec.occurrences = 2;
  EXPECT_FALSE(IsRefused(recurring));
}

// Without estimates nothing is known of the time until which it is of use.
TEST_F(AdmissionTest, AJobWithoutEstimatesIsNotRefused) {
  Add(JobIn("q", "j", {Step(10'000)}));
  StepSpec unknown = Step(1);
  unknown.estimate_ms = 0;
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {unknown})));
}

TEST_F(AdmissionTest, RetryAfterIsBetweenOneAndThirtySeconds) {
  Add(JobIn("q", "j", {Step(81)}));
  const auto soon =
      admission_.Judge(table_, JobIn("low", "n", {Step(1)}), At(0));
  EXPECT_EQ(soon->RetryAfter(), seconds(1));
  Add(JobIn("q", "k", {Step(160)}));
  const auto later =
      admission_.Judge(table_, JobIn("low", "n", {Step(1)}), At(0));
  EXPECT_NEAR(static_cast<double>(later->RetryAfter().count()), 10.06e6, 1e4);
  Add(JobIn("q", "l", {Step(100'000)}));
  const auto late =
      admission_.Judge(table_, JobIn("low", "n", {Step(1)}), At(0));
  EXPECT_EQ(late->RetryAfter(), seconds(30));
}

// The backlog of a burst yields to what arrives later and can be in time.
TEST_F(AdmissionTest, JobsAfterABurstAreAccepted) {
  for (int n = 0; n < 40; ++n) {
    Add(JobIn("q", "j" + std::to_string(n), {Step(16)}));
  }
  EXPECT_TRUE(IsRefused(JobIn("q", "n", {Step(1)}), 100));
  EXPECT_FALSE(IsRefused(JobIn("q", "n", {Step(1)}), 600));
}

TEST_F(AdmissionTest, TheBacklogOfACustomerAboveItsShareRefusesOnlyItsOwnJobs) {
  Batch batch;
  batch.manifests = {table_.manifest()};
  ++batch.manifests[0].version;
  batch.manifests[0].customers = {MakeCustomer("a", 1), MakeCustomer("b", 1)};
  Apply(batch, 0);
  for (int n = 0; n < 40; ++n) {
    Add(JobOf("a", "j" + std::to_string(n), {Step(16)}));
  }
  EXPECT_TRUE(IsRefused(JobOf("a", "n", {Step(1)}), 100));
  EXPECT_FALSE(IsRefused(JobOf("b", "n", {Step(1)}), 100));
  EXPECT_TRUE(IsRefused(JobOf("", "n", {Step(1)}), 100) ==
              IsRefused(JobOf("c", "n", {Step(1)}), 100));
}

TEST_F(AdmissionTest, ExcessWaitsForAllOtherWork) {
  Add(JobIn("low", "j", {Step(81)}));
  EXPECT_FALSE(IsRefused(JobOf("a", "n", {Step(1)})));
  EXPECT_TRUE(IsRefused(JobOf("a", "n", {Step(1)}, true)));
}

// A cluster that starts, or lost workers for a moment, isn't overloaded.
TEST_F(AdmissionTest, CapacityCountsAsLostOnlyAfterSomeSeconds) {
  Add(JobIn("q", "j", {Step(80)}));
  Batch batch;
  batch.workers = {Worker("v")};
  Apply(batch, 0);
  Add(JobIn("q", "k", {Step(50)}));
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)})));
  batch = {};
  batch.removed_workers = {Boot("v")};
  Apply(batch, 1'000);
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)}), 1'000));
  batch = {};
  batch.removed_workers = {Boot("w")};
  Apply(batch, 1'001);
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)}), 20'000))
      << "without workers nothing is certain";
  batch = {};
  batch.workers = {Worker("w", 2)};
  Apply(batch, 20'000);
  Add(JobIn("q", "l", {Step(100)}), 20'000);
  EXPECT_FALSE(IsRefused(JobIn("low", "n", {Step(1)}), 20'001));
  Add(JobIn("q", "m", {Step(100)}), 30'001);
  EXPECT_TRUE(IsRefused(JobIn("low", "n", {Step(1)}), 30'001));
}

// Returns all work that goes before a job in excess, by customer. Includes what
// is too late for any use.
std::map<CustomerId, Backlog::Ahead> AllWork(
    const AdmissionControl& admission) {
  Backlog::Item last;
  last.pool = wire::ServiceId("batch");
  last.is_excess = true;
  last.priority = 100;
  return admission.backlog().WorkAheadOf(last, Backlog::DueBy::kObjective);
}

// Returns the same from the records of the table.
std::map<CustomerId, Work> Recount(const JobTable& table) {
  std::map<CustomerId, Work> work;
  if (table.workers().empty()) {
    return work;  // nothing fits
  }
  for (const auto& [order, job] : table.active()) {
    for (const auto& [occurrence, steps] : job->occurrences) {
      for (uint32_t n = 0; n < steps.size(); ++n) {
        const StepSpec& spec = job->spec.steps[n];
        const TaskSet& tasks = steps[n].tasks;
        const auto is_idle = [&](uint32_t index) {
          return !tasks[index].is_done && !tasks[index].is_open;
        };
        const auto waiting =
            std::ranges::count_if(std::views::iota(0U, tasks.size()), is_idle);
        const bool may_start =
            IsStepReady(job->spec, steps, n) &&
            (!spec.is_gang || waiting == static_cast<ptrdiff_t>(tasks.size()));
        if (may_start && CanBeTooLate(job->spec)) {
          work[job->customer] +=
              Times(spec.Charge(),
                    static_cast<uint64_t>(waiting * spec.estimate_ms / 2));
        }
      }
    }
  }
  return work;
}

void CheckSums(const AdmissionControl& admission, const JobTable& table) {
  auto expected = Recount(table);
  for (const auto& [customer, ahead] : AllWork(admission)) {
    Work sum = ahead.first;
    sum += ahead.shared;
    RC_ASSERT(sum == expected[customer]);
    expected.erase(customer);
  }
  for (const auto& [customer, work] : expected) {
    RC_ASSERT(work == Work{});
  }
}

// Any order of submissions, starts, ends, cancellations, losses of workers and
// changes of leader.
class AdmissionProperty : public AdmissionTest {
 public:
  void TestBody() override {}
  void Play() {
    int64_t ms = 0;
    uint64_t jobs = 0;
    for (int n = 0; n < 60; ++n) {
      ms += *rc::gen::inRange(0, 500);
      Batch batch;
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
          batch.jobs = {AnyJob(++jobs)};
          break;
        case 2:
        case 3:
        case 4:
          batch.starts = {
              {AnyTask(jobs), *rc::gen::inRange<uint64_t>(1, 4), AnyWorker()}};
          break;
        case 5:
          AddAnyEnd(batch);
          break;
        case 6:
          batch.cancels = {wire::JobId(
              "j" + std::to_string(*rc::gen::inRange<uint64_t>(0, jobs + 1)))};
          break;
        default:
          ChangeWorkersOrLeader(batch, ms);
      }
      Apply(batch, ms);
      CheckSums(admission_, table_);
    }
    AdmissionControl next;
    next.Assign(table_, history_, At(ms));
    for (const auto& queue : {"q", "low"}) {
      const auto job = JobIn(queue, "n", {Step(1)});
      const auto verdict = admission_.Judge(table_, job, At(ms + 30'000));
      const auto of_next = next.Judge(table_, job, At(ms + 30'000));
      RC_ASSERT(verdict.has_value() == of_next.has_value());
      RC_ASSERT(!verdict || verdict->wait == of_next->wait);
    }
  }

 private:
  static jobs::AddJob AnyJob(uint64_t number) {
    StepSpec first = Step(*rc::gen::inRange(1U, 4U));
    first.is_gang = *rc::gen::inRange(0, 4) == 0;
    first.is_lasting = *rc::gen::inRange(0, 6) == 0;
    jobs::AddJob job =
        JobOf(*rc::gen::element("", "a", "b"), "j" + std::to_string(number),
              {first, Step(2, {0})});
    job.queue = QueueId(*rc::gen::element("q", "low"));
    return job;
  }
  static TaskKey AnyTask(uint64_t jobs) {
    return Task("j" + std::to_string(*rc::gen::inRange<uint64_t>(0, jobs + 1)),
                *rc::gen::inRange(0U, 2U), *rc::gen::inRange(0U, 3U));
  }
  static WorkerBoot AnyWorker() {
    return Boot(*rc::gen::element("w", "v"), *rc::gen::inRange(1, 3));
  }
  void AddAnyEnd(Batch& batch) {
    for (const auto& [id, worker] : table_.workers()) {
      if (!worker.runs.empty()) {
        const auto at = *rc::gen::inRange<size_t>(0, worker.runs.size());
        const OpenRun& run = worker.runs[at];
        batch.ends.push_back(
            {worker.info.boot, run.task, run.run,
             *rc::gen::element(RunOutcome::kDone, RunOutcome::kDone,
                               RunOutcome::kFailed, RunOutcome::kStopped),
             ""});
      }
    }
  }
  void ChangeWorkersOrLeader(Batch& batch, int64_t ms) {
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        batch.removed_workers = {AnyWorker()};
        break;
      case 1:
        batch.workers = {
            Worker(*rc::gen::element("w", "v"), *rc::gen::inRange(1, 3))};
        break;
      default:
        admission_.Assign(table_, history_, At(ms));
    }
  }
};

RC_GTEST_PROP(AdmissionControlProperty, SumsEqualARecountOfTheTable, ()) {
  AdmissionProperty().Play();
}

}  // namespace
}  // namespace sassafras::jobs
