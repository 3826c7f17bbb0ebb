// A scheduler with a job table and an advice tracker, for tests.

#ifndef JOBS_TEST_SCHEDULER_FIXTURE_H_
#define JOBS_TEST_SCHEDULER_FIXTURE_H_

#include <chrono>
#include <limits>
#include <ranges>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/scheduler.h"
#include "table_fixture.h"

namespace sassafras::jobs {

inline base::Instant At(int64_t ms) {
  return base::Instant(std::chrono::milliseconds(100'000 + ms));
}

inline constexpr size_t kAdviceHosts = 4;
inline const std::vector<wire::EntryId> kHosts = {
    wire::EntryId("a"), wire::EntryId("b"), wire::EntryId("c"),
    wire::EntryId("d")};

inline PlanSources Sources(const JobTable& table,
                           const std::set<wire::WorkerId>& usable,
                           size_t hosts = kAdviceHosts) {
  PlanSources sources;
  sources.usable_workers = [&] {
    std::vector<const WorkerRecord*> records;
    for (const wire::WorkerId& id : usable) {
      records.push_back(table.FindWorker(id));
    }
    return records;
  };
  sources.idle_advice_hosts = [hosts] { return hosts; };
  sources.is_usable = [](const WorkerBoot&) { return true; };
  return sources;
}

// Puts the manifest again, with advice for its first queue.
inline void RequireAdvice(JobTable& table) {
  Batch batch;
  batch.manifests = {table.manifest()};
  ++batch.manifests[0].version;
  batch.manifests[0].queues[0].advice = {true, 500, 8, 2000};
  table.Apply(batch);
}

class SchedulerTest : public testing::Test {
 protected:
  void AddWorker(const WorkerInfo& info) {
    fixture_.AddWorker(info);
    usable_.insert(info.boot.id);
  }
  void AddJob(const std::string& id,
              std::vector<StepSpec> steps,
              int64_t accepted_ms = 0) {
    fixture_.AddJob(id, std::move(steps));
    const JobRecord& job = *fixture_.table.FindJob(wire::JobId(id));
    scheduler_.OnJob(job, fixture_.table.FindQueue(job.queue), At(accepted_ms));
  }
  void RequireAdvice() { jobs::RequireAdvice(fixture_.table); }
  // Sends the first request of the plan and permits the workers that it names,
  // at most `most` of each of its queries.
  void GrantPermits(const Plan& plan,
                    int64_t answered_ms,
                    size_t most = std::numeric_limits<size_t>::max()) {
    ASSERT_FALSE(plan.advice_requests.empty());
    const auto assigned = advice_.AssignQueries(
        std::span(plan.advice_requests).first(1), kHosts, At(answered_ms));
    ASSERT_FALSE(assigned.empty());
    for (const AssignedQuery& it : assigned) {
      std::vector<Permit> permits;
      for (const wire::WorkerId& worker :
           it.query.workers | std::views::take(most)) {
        permits.push_back({worker, "ticket"});
      }
      advice_.OnAnswer(it.query.id, permits, At(answered_ms));
    }
  }
  void StartAll(const Plan& plan) {
    for (const StartRun& start : plan.starts) {
      ASSERT_TRUE(fixture_.Start(start.task, start.run, start.worker));
    }
  }
  // Adds a job that occupies the whole worker.
  void FillWorker(const std::string& worker) {
    const std::string job = "fills-" + worker;
    AddJob(job, {Step(16)});
    for (uint32_t n = 0; n < 16; ++n) {
      ASSERT_TRUE(fixture_.Start(Task(job, 0, n), 1, Boot(worker)));
    }
  }
  Plan MakePlan(int64_t ms = 1) {
    return scheduler_.MakePlan(fixture_.table, advice_,
                               Sources(fixture_.table, usable_, hosts_),
                               At(ms));
  }

  TableFixture fixture_;
  std::set<wire::WorkerId> usable_;
  size_t hosts_ = kAdviceHosts;  // that can send an advice query
  AdviceTracker advice_;
  Scheduler scheduler_;
};

}  // namespace sassafras::jobs

#endif  // JOBS_TEST_SCHEDULER_FIXTURE_H_
