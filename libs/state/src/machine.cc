// Implements state::Machine: dispatches commands by type and provides
// accessors.

#include "state/machine.h"

#include <utility>
#include <variant>

#include "admissions.h"
#include "attempts.h"
#include "ended_jobs.h"
#include "expire.h"
#include "jobs.h"
#include "snapshot.h"
#include "store.h"
#include "workers.h"

namespace sassafras::state {
namespace {

using wire::CommandResult;

// Sets the time of the change to the state machine's clock, which never
// decreases.
CommandResult ApplyPutSection(Store& store, const wire::PutSection& command) {
  wire::PutSection put = command;
  put.at_ms = store.Advance(command.at_ms);
  CommandResult result = store.document.Put(put);
  if (result.code == wire::ResultCode::kOk) {
    store.Emit(DocumentChanged{store.document.version()});
    store.needs_reconcile = true;
  }
  return result;
}

struct Applier {
  Store& store;

  CommandResult operator()(const wire::PutSection& it) {
    return ApplyPutSection(store, it);
  }
  CommandResult operator()(const wire::BeginEntry& it) {
    return ApplyBeginEntry(store, it);
  }
  CommandResult operator()(const wire::EndEntry& it) {
    return ApplyEndEntry(store, it);
  }
  CommandResult operator()(const wire::Admit& it) {
    return ApplyAdmit(store, it);
  }
  CommandResult operator()(const wire::CloseAdmission& it) {
    return ApplyClose(store, it);
  }
  CommandResult operator()(const wire::PutWorker& it) {
    return ApplyPutWorker(store, it);
  }
  CommandResult operator()(const wire::EndWorker& it) {
    return ApplyEndWorker(store, it);
  }
  CommandResult operator()(const wire::SetQuarantine& it) {
    return ApplyQuarantine(store, it);
  }
  CommandResult operator()(const wire::SubmitJob& it) {
    return ApplySubmit(store, it);
  }
  CommandResult operator()(const wire::CancelJobs& it) {
    return ApplyCancel(store, it);
  }
  CommandResult operator()(const wire::AssignTasks& it) {
    return ApplyAssign(store, it);
  }
  CommandResult operator()(const wire::OrderAttempts& it) {
    return ApplyOrders(store, it);
  }
  CommandResult operator()(const wire::ReportAttempts& it) {
    return ApplyReports(store, it);
  }
  CommandResult operator()(const wire::ParkJob& it) {
    return ApplyPark(store, it);
  }
  CommandResult operator()(const wire::Expire& it) {
    return ApplyExpire(store, it);
  }
};

template <typename Map, typename Key>
auto FindIn(const Map& map, const Key& key) {
  const auto it = map.find(key);
  return it != map.end() ? &it->second : nullptr;
}

}  // namespace

struct Machine::Impl {
  Store store;
};

Machine::Machine() : impl_(std::make_unique<Impl>()) {}
Machine::Machine(Machine&& other) noexcept = default;
Machine& Machine::operator=(Machine&& other) noexcept = default;
Machine::~Machine() = default;

CommandResult Machine::Apply(uint64_t index, const wire::Command& command) {
  Store& store = impl_->store;
  if (index <= store.applied_index) {
    return Refuse(wire::ResultCode::kStale,
                  "log index " + std::to_string(index) + " is already applied");
  }
  store.applied_index = index;
  CommandResult result = std::visit(Applier{store}, command);
  while (std::exchange(store.needs_reconcile, false)) {
    ReconcileWorkloads(store);
  }
  TrimEndedJobs(store);
  return result;
}

std::string Machine::Snapshot() const {
  return EncodeStore(impl_->store);
}

std::optional<Machine> Machine::FromSnapshot(std::string_view bytes,
                                             StateReason& why) {
  auto store = DecodeStore(bytes, why);
  if (!store) {
    return std::nullopt;
  }
  Machine machine;
  machine.impl_->store = *std::move(store);
  return machine;
}

std::vector<Change> Machine::TakeChanges() {
  return std::exchange(impl_->store.changes, {});
}

uint64_t Machine::applied_index() const {
  return impl_->store.applied_index;
}
const document::Document& Machine::document() const {
  return impl_->store.document;
}
const std::map<wire::EntryId, EntryRecord>& Machine::entries() const {
  return impl_->store.entries;
}
const std::map<wire::WorkerId, WorkerRecord>& Machine::workers() const {
  return impl_->store.workers;
}
const std::map<wire::JobId, JobRecord>& Machine::jobs() const {
  return impl_->store.jobs;
}
const std::map<AdmissionKey, AdmissionRecord>& Machine::admissions() const {
  return impl_->store.admissions;
}

const WorkerRecord* Machine::FindWorker(const wire::WorkerId& worker) const {
  return FindIn(workers(), worker);
}

const JobRecord* Machine::FindJob(const wire::JobId& job) const {
  return FindIn(jobs(), job);
}

const JobRecord* Machine::FindJob(const wire::JobId& job,
                                  const wire::OwnerId& owner) const {
  const JobRecord* record = FindJob(job);
  return record != nullptr && record->spec.owner == owner ? record : nullptr;
}

const TaskRecord* Machine::FindTask(const wire::TaskId& task) const {
  const JobRecord* job = FindJob(task.job);
  return job != nullptr && task.index < job->tasks.size()
             ? &job->tasks[task.index]
             : nullptr;
}

const AdmissionRecord* Machine::FindAdmission(
    const wire::OwnerId& owner,
    const wire::RequestKey& key) const {
  return FindIn(admissions(), AdmissionKey(owner, key));
}

std::vector<wire::AttemptCommand> Machine::CommandsFor(
    const wire::WorkerId& worker,
    const wire::Incarnation& incarnation) const {
  const WorkerRecord* record = FindWorker(worker);
  if (record == nullptr || !record->is_live ||
      record->incarnation != incarnation) {
    return {};
  }
  std::vector<wire::AttemptCommand> commands;
  commands.reserve(record->tasks.size());
  for (const wire::TaskId& it : record->tasks) {
    const JobRecord& job = impl_->store.jobs.at(it.job);
    const TaskRecord& task = job.tasks[it.index];
    commands.push_back(
        {it, task.attempt, task.order, task.reserved, job.spec.payload});
  }
  return commands;
}

wire::Resources Machine::ReservedBy(const wire::OwnerId& owner) const {
  const OwnerUsage* usage = FindIn(impl_->store.usage, owner);
  return usage != nullptr ? usage->reserved : wire::Resources{};
}

}  // namespace sassafras::state
