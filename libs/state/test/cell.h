// A state machine under test, with helpers that build and apply commands.

#ifndef STATE_TEST_CELL_H_
#define STATE_TEST_CELL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/machine.h"
#include "wire/commands.h"

namespace sassafras::state {

struct Cell {
  Machine machine;
  uint64_t index = 0;
  base::WallMs at_ms = 1'000'000;

  std::vector<std::string> log;  // encoded log records of all applied commands

  wire::CommandResult ApplyCommand(const wire::Command& command) {
    log.push_back(wire::EncodeCommand(command));
    return machine.Apply(++index, command);
  }

  wire::CommandResult PutSection(const std::string& section,
                                 uint64_t base,
                                 const std::string& text) {
    wire::PutSection put;
    put.section = wire::SectionId(section);
    put.base = wire::Version(base);
    put.change = wire::ChangeId("change-" + std::to_string(index));
    put.editor_owner = wire::OwnerId(section);
    put.editor = section + "-op";
    put.is_platform = section == "platform";
    put.text = text;
    put.at_ms = at_ms;
    return ApplyCommand(put);
  }

  wire::CommandResult PutWorker(const std::string& worker,
                                const std::string& incarnation,
                                int64_t milli_cpus) {
    wire::PutWorker put;
    put.worker = wire::WorkerId(worker);
    put.incarnation = wire::Incarnation(incarnation);
    put.capacity = {milli_cpus, 1'000'000, 0};
    put.at_ms = at_ms;
    return ApplyCommand(put);
  }

  wire::CommandResult EndWorker(const std::string& worker,
                                const std::string& incarnation) {
    return ApplyCommand(wire::EndWorker{wire::WorkerId(worker),
                                        wire::Incarnation(incarnation), at_ms});
  }

  wire::CommandResult Submit(const wire::JobSpec& spec) {
    return ApplyCommand(wire::SubmitJob{spec, at_ms});
  }

  wire::CommandResult Cancel(const std::string& job, const std::string& owner) {
    wire::CancelJobs cancel;
    cancel.jobs = {wire::JobId(job)};
    cancel.owner = wire::OwnerId(owner);
    cancel.at_ms = at_ms;
    return ApplyCommand(cancel);
  }

  // Returns an assignment to the latest run of the worker that reserves what
  // the job declares.
  wire::Assignment MakeAssignment(const std::string& job,
                                  uint32_t task,
                                  const std::string& worker) const {
    const wire::JobId id(job);
    const wire::WorkerId worker_id(worker);
    const JobRecord* record = machine.FindJob(id);
    const WorkerRecord* run = machine.FindWorker(worker_id);
    return {{id, task},
            worker_id,
            run != nullptr ? run->incarnation : wire::Incarnation(),
            record != nullptr ? record->spec.per_task : wire::Resources()};
  }

  wire::CommandResult Assign(const std::vector<wire::Assignment>& group) {
    return ApplyCommand(wire::AssignTasks{{group}, at_ms});
  }

  wire::CommandResult Assign(const std::string& job,
                             uint32_t task,
                             const std::string& worker) {
    return Assign({MakeAssignment(job, task, worker)});
  }

  // Returns a report on the current attempt of the task, sent by its worker.
  wire::ReportAttempts Report(const std::string& job,
                              uint32_t task,
                              wire::AttemptState state,
                              bool has_started = true) const {
    const wire::TaskId id = {wire::JobId(job), task};
    const TaskRecord* record = machine.FindTask(id);
    wire::AttemptReport report;
    report.task = id;
    report.attempt = record->attempt;
    report.state = state;
    report.has_started = has_started;
    report.reason = "reported";
    return {record->worker, record->incarnation, {report}, at_ms};
  }

  const TaskRecord& Task(const std::string& job, uint32_t task) const {
    return *machine.FindTask({wire::JobId(job), task});
  }
  const JobRecord& Job(const std::string& job) const {
    return *machine.FindJob(wire::JobId(job));
  }
};

inline wire::JobSpec Spec(const std::string& id,
                          const std::string& owner,
                          wire::JobKind kind,
                          uint32_t tasks,
                          int64_t milli_cpus) {
  wire::JobSpec spec;
  spec.id = wire::JobId(id);
  spec.owner = wire::OwnerId(owner);
  spec.kind = kind;
  spec.tasks = tasks;
  spec.per_task = {milli_cpus, 1, 0};
  return spec;
}

// Text of the platform section: two owners, each with a section, and low
// limits.
inline constexpr char kTwoOwners[] = R"(
[owners.akt]
quota = { milli_cpus = 20000, memory_mib = 1000000 }
[owners.skeem]
[sections.akt]
owner = "akt"
[sections.skeem]
owner = "skeem"
[limits]
answer_retention_ms = 5000
job_retention_ms = 5000
worker_retention_ms = 9000
max_tasks_per_owner = 100
max_admissions_per_owner = 20
)";

// Returns the text of a section that declares the workload "web".
inline std::string WebWorkload(int instances, int milli_cpus) {
  return "[workloads.web]\ninstances = " + std::to_string(instances) +
         "\nmilli_cpus = " + std::to_string(milli_cpus) + "\nmemory_mib = 1\n";
}

}  // namespace sassafras::state

#endif  // STATE_TEST_CELL_H_
