// A job table with one queue, and helpers that modify it.

#ifndef JOBS_TEST_TABLE_FIXTURE_H_
#define JOBS_TEST_TABLE_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "jobs/job_table.h"

namespace sassafras::jobs {

inline WorkerBoot Boot(const std::string& id, int64_t started_ms = 1) {
  return {wire::WorkerId(id), started_ms};
}

inline WorkerInfo Worker(const std::string& id, int64_t started_ms = 1) {
  WorkerInfo info;
  info.boot = Boot(id, started_ms);
  info.address = "10.0.0." + id;  // unique per worker
  info.port = 80;
  info.service = wire::ServiceId("batch");
  info.capacity = {16'000, 32'000, 8};
  return info;
}

inline StepSpec Step(uint32_t count, std::vector<uint32_t> after = {}) {
  StepSpec step;
  step.count = count;
  step.need = {1000, 100, 0};
  step.estimate_ms = 1000;
  step.after = std::move(after);
  return step;
}

inline TaskKey Task(const std::string& job,
                    uint32_t step = 0,
                    uint32_t index = 0,
                    uint64_t occurrence = 0) {
  return {{wire::JobId(job), occurrence, step}, index};
}

class TableFixture {
 public:
  explicit TableFixture(uint32_t max_attempts = 2) {
    Manifest manifest;
    manifest.version = 1;
    Queue queue;
    queue.id = QueueId("q");
    queue.service = wire::ServiceId("batch");
    queue.max_attempts = max_attempts;
    manifest.queues = {queue};
    Batch batch;
    batch.manifests = {manifest};
    table.Apply(batch);
  }

  void AddWorker(const WorkerInfo& info) {
    Batch batch;
    batch.workers = {info};
    table.Apply(batch);
  }
  void AddJob(const std::string& id, std::vector<StepSpec> steps) {
    Batch batch;
    batch.jobs = {{wire::JobId(id), QueueId("q"), {"text", std::move(steps)}}};
    table.Apply(batch);
  }
  bool Start(const TaskKey& task, uint64_t run, const WorkerBoot& worker) {
    Batch batch;
    batch.starts = {{task, run, worker}};
    return !table.Apply(batch).started.empty();
  }
  Changes End(const TaskKey& task,
              uint64_t run,
              const WorkerBoot& worker,
              RunOutcome outcome,
              const std::string& checkpoint = "") {
    Batch batch;
    batch.ends = {{worker, task, run, outcome, checkpoint}};
    return table.Apply(batch);
  }
  JobPhase PhaseOf(const std::string& id) const {
    return table.FindJob(wire::JobId(id))->phase;
  }

  JobTable table;
};

}  // namespace sassafras::jobs

#endif  // JOBS_TEST_TABLE_FIXTURE_H_
