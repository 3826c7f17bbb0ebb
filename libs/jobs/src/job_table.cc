// Applies batches to the replicated state of the job queues.

#include "jobs/job_table.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "wire/codec.h"

namespace sassafras::jobs {
namespace {

// The persisted parts of a table, from which the rest is derived, but for the
// jobs.
struct TableSnapshot {
  Manifest manifest;
  std::vector<Queue> queues;
  std::vector<WorkerRecord> workers;
  uint64_t last_order = 0;
  std::vector<Customer> customers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TableSnapshot,
                                                manifest,
                                                queues,
                                                workers,
                                                last_order,
                                                customers)

constexpr const char* kJobsField = "jobs";

// Each job is encoded by itself, as a generic value takes several times the
// memory of a job or of its encoding.
nlohmann::json EncodeJobs(const std::map<wire::JobId, JobRecord>& jobs) {
  nlohmann::json list = nlohmann::json::array();
  for (const JobRecord& job : jobs | std::views::values) {
    const std::string bytes = wire::EncodeCbor(job);
    list.push_back(nlohmann::json::binary({bytes.begin(), bytes.end()}));
  }
  return list;
}

// Earlier versions wrote jobs as values.
std::optional<JobRecord> DecodeJob(const nlohmann::json& value,
                                   wire::CodecReason& why) {
  if (!value.is_binary()) {
    return wire::FromValue<JobRecord>(value, why);
  }
  const auto& bytes = value.get_binary();
  return wire::DecodeCbor<JobRecord>(
      {reinterpret_cast<const char*>(bytes.data()), bytes.size()}, why);
}

template <typename Map>
auto ValuesOf(const Map& map) {
  using Value = typename Map::mapped_type;
  auto values = map | std::views::values;
  return std::vector<Value>(values.begin(), values.end());
}

void CountSurplus(JobRecord& job) {
  for (auto& steps : job.occurrences | std::views::values) {
    for (StepRecord& step : steps) {
      step.surplus = step.tasks.CountSurplus();
    }
  }
}

// An earlier version kept all occurrences that have begun, and no other note of
// them.
void CountBegunOccurrences(JobRecord& job) {
  if (!job.occurrences.empty()) {
    job.next_occurrence =
        std::max(job.next_occurrence, job.occurrences.rbegin()->first + 1);
  }
}

bool HasOpenRuns(const std::vector<StepRecord>& steps) {
  return std::ranges::any_of(steps, [](auto& it) { return it.open > 0; });
}

bool IsOver(const std::vector<StepRecord>& steps) {
  return !HasOpenRuns(steps) &&
         std::ranges::all_of(steps, [](auto& it) { return it.IsDone(); });
}

}  // namespace

bool IsStepReady(const JobSpec& spec,
                 const std::vector<StepRecord>& steps,
                 uint32_t step) {
  return std::ranges::all_of(spec.steps[step].after, [&](uint32_t earlier) {
    return steps[earlier].IsDone();
  });
}

const TaskRecord* JobRecord::FindTask(const TaskKey& key) const {
  const auto it = occurrences.find(key.step.occurrence);
  if (it == occurrences.end() || key.step.step >= it->second.size()) {
    return nullptr;
  }
  const StepRecord& step = it->second[key.step.step];
  return key.index < step.tasks.size() ? &step.tasks[key.index] : nullptr;
}

bool JobRecord::HasOpenRuns() const {
  return std::ranges::any_of(occurrences | std::views::values, [](auto& steps) {
    return jobs::HasOpenRuns(steps);
  });
}

Resources OpenRun::Need() const {
  Resources need = charge;
  need.cpu_milli += filler_cpu_milli;
  return need;
}

void WorkerLoad::Add(const OpenRun& run) {
  used += run.charge;
  fillers += run.is_filler ? 1 : 0;
  user_serving += run.serves_users ? 1 : 0;
}

void WorkerLoad::Remove(const OpenRun& run) {
  used -= run.charge;
  fillers -= run.is_filler ? 1 : 0;
  user_serving -= run.serves_users ? 1 : 0;
}

const OpenRun* WorkerRecord::FindRun(const TaskKey& task, uint64_t run) const {
  const auto it = std::ranges::find_if(
      runs, [&](auto& open) { return open.run == run && open.task == task; });
  return it == runs.end() ? nullptr : &*it;
}

bool Batch::IsEmpty() const {
  return manifests.empty() && ends.empty() && proven_runs.empty() &&
         workers.empty() && cursors.empty() && removed_workers.empty() &&
         cancels.empty() && jobs.empty() && occurrences.empty() &&
         starts.empty() && begun_jobs.empty() && settled_workers.empty() &&
         forgotten.empty();
}

void Changes::Append(Changes later) {
  std::ranges::move(later.started, std::back_inserter(started));
  std::ranges::move(later.added_jobs, std::back_inserter(added_jobs));
  std::ranges::move(later.ended_jobs, std::back_inserter(ended_jobs));
  std::ranges::move(later.surplus_runs, std::back_inserter(surplus_runs));
  std::ranges::move(later.changed_workers, std::back_inserter(changed_workers));
  std::ranges::move(later.crash_causes, std::back_inserter(crash_causes));
  std::ranges::move(later.done_runs, std::back_inserter(done_runs));
  std::ranges::move(later.changed_steps, std::back_inserter(changed_steps));
  std::ranges::move(later.begun_occurrences,
                    std::back_inserter(begun_occurrences));
  is_manifest_changed |= later.is_manifest_changed;
  has_worker_changes |= later.has_worker_changes;
}

Changes JobTable::Apply(const Batch& batch) {
  changes_ = {};
  std::ranges::for_each(batch.manifests, [this](auto& it) { Put(it); });
  // Before the workers, because a later boot ends the runs of the earlier one
  // without telling what its crash says about them.
  std::ranges::for_each(batch.ends, [this](auto& it) { End(it); });
  std::ranges::for_each(batch.proven_runs, [this](auto& it) { Prove(it); });
  std::ranges::for_each(batch.workers, [this](auto& it) { Put(it); });
  for (const auto& [worker, cursor] : batch.cursors) {
    const auto it = workers_.find(worker.id);
    if (it != workers_.end() && it->second.info.boot == worker) {
      it->second.end_cursor = std::max(it->second.end_cursor, cursor);
    }
  }
  std::ranges::for_each(batch.removed_workers,
                        [this](auto& it) { Remove(it); });
  std::ranges::for_each(batch.cancels, [this](auto& it) { Cancel(it); });
  std::ranges::for_each(batch.jobs, [this](auto& it) { Add(it); });
  std::ranges::for_each(batch.occurrences, [this](auto& it) { Begin(it); });
  std::ranges::copy_if(batch.starts, std::back_inserter(changes_.started),
                       [this](auto& it) { return Start(it); });
  std::ranges::for_each(batch.begun_jobs, [this](auto& it) { MarkBegun(it); });
  std::ranges::for_each(batch.settled_workers,
                        [this](auto& it) { Settle(it); });
  std::ranges::for_each(batch.forgotten, [this](auto& it) { Forget(it); });
  return std::exchange(changes_, {});
}

std::string JobTable::Snapshot() const {
  nlohmann::json value =
      TableSnapshot{manifest_, ValuesOf(queues_), ValuesOf(workers_),
                    last_order_, ValuesOf(customers_)};
  value[kJobsField] = EncodeJobs(jobs_);
  return wire::ToCborBytes(value);
}

std::optional<JobTable> JobTable::FromSnapshot(std::string_view bytes,
                                               TableReason& why) {
  wire::CodecReason codec_why;
  auto value = wire::ParseCbor(bytes, codec_why);
  nlohmann::json jobs;
  if (value && value->is_object()) {
    jobs = std::exchange((*value)[kJobsField], {});
  }
  auto snapshot =
      value ? wire::FromValue<TableSnapshot>(*value, codec_why) : std::nullopt;
  if (!snapshot) {
    why.Set(TableError::kBadSnapshot, codec_why.message);
    return std::nullopt;
  }
  JobTable table;
  table.manifest_ = std::move(snapshot->manifest);
  table.index_.Assign(table.manifest_);
  table.last_order_ = snapshot->last_order;
  std::ranges::for_each(snapshot->queues,
                        [&](auto& queue) { table.Keep(queue); });
  for (auto& customer : snapshot->customers) {
    table.customers_.emplace(customer.id, customer);
  }
  table.RememberQueuesAndCustomers();
  for (auto& worker : snapshot->workers) {
    std::ranges::for_each(worker.runs, [&](auto& run) {
      worker.load.Add(run);
      table.customer_loads_.Add(worker.info.service, run);
    });
    table.workers_.emplace(worker.info.boot.id, worker);
  }
  for (nlohmann::json& it : jobs) {
    auto job = DecodeJob(std::exchange(it, {}), codec_why);
    if (!job) {
      why.Set(TableError::kBadSnapshot, codec_why.message);
      return std::nullopt;
    }
    const wire::JobId id = job->id;
    table.Restore(table.jobs_.emplace(id, *std::move(job)).first->second);
  }
  return table;
}

// What an earlier version has kept of jobs and occurrences that are over goes.
void JobTable::Restore(JobRecord& job) {
  CountSurplus(job);
  CountBegunOccurrences(job);
  if (job.phase != JobPhase::kActive) {
    ReleaseEnded(job);
    return;
  }
  active_.emplace(job.order, &job);
  std::erase_if(job.occurrences,
                [](auto& entry) { return IsOver(entry.second); });
  CountSize(job);
}

const JobRecord* JobTable::FindJob(const wire::JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const WorkerRecord* JobTable::FindWorker(const wire::WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

uint64_t JobTable::CountWaitingJobs(const QueueId& queue) const {
  return std::ranges::count_if(active_ | std::views::values, [&](auto* job) {
    return job->queue == queue && !job->has_started;
  });
}

// --- applying a batch ---

void JobTable::EndJob(JobRecord& job, JobPhase phase) {
  if (job.phase != JobPhase::kActive) {
    return;
  }
  job.phase = phase;
  active_.erase(job.order);
  changes_.ended_jobs.push_back(job.id);
}

void JobTable::Cancel(const wire::JobId& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end()) {
    EndJob(it->second, JobPhase::kCancelled);
    ReleaseEnded(it->second);
  }
}

void JobTable::Add(const AddJob& add) {
  if (jobs_.contains(add.id)) {
    return;
  }
  JobRecord& job = jobs_[add.id];
  job.id = add.id;
  job.queue = add.queue;
  job.spec = add.spec;
  job.customer = add.customer;
  job.is_excess = add.is_excess;
  job.order = ++last_order_;
  active_.emplace(job.order, &job);
  changes_.added_jobs.push_back(job.id);
  if (!job.spec.IsRecurring()) {
    AddOccurrence(job, 0);
  }
  CountSize(job);
}

void JobTable::Begin(const BeginOccurrence& begin) {
  const auto it = jobs_.find(begin.job);
  if (it != jobs_.end() && it->second.phase == JobPhase::kActive &&
      begin.occurrence < it->second.spec.OccurrenceCount()) {
    AddOccurrence(it->second, begin.occurrence);
    CountSize(it->second);
  }
}

void JobTable::AddOccurrence(JobRecord& job, uint64_t occurrence) {
  if (occurrence < job.next_occurrence) {
    return;
  }
  job.next_occurrence = occurrence + 1;
  std::vector<StepRecord>& steps = job.occurrences[occurrence];
  for (const StepSpec& spec : job.spec.steps) {
    steps.emplace_back().tasks = TaskSet(spec.count);
  }
  changes_.changed_steps.push_back({job.id, occurrence, 0});
  if (job.spec.IsRecurring()) {
    changes_.begun_occurrences.push_back({job.id, occurrence});
  }
}

bool JobTable::Start(const StartRun& start) {
  const auto worker = workers_.find(start.worker.id);
  const auto job = jobs_.find(start.task.step.job);
  StepRecord* step = FindStep(start.task.step);
  if (worker == workers_.end() || worker->second.info.boot != start.worker ||
      job == jobs_.end() || job->second.phase != JobPhase::kActive ||
      step == nullptr || start.task.index >= step->tasks.size()) {
    return false;
  }
  const JobSpec& spec = job->second.spec;
  const uint32_t position = start.task.step.step;
  const TaskRecord& before = step->tasks[start.task.index];
  const StepSpec& step_spec = spec.steps[position];
  // A worker runs a task once at a time.
  const bool may_start =
      start.is_copy
          ? before.MayHaveCopy(step_spec) &&
                std::ranges::find(worker->second.runs, start.task,
                                  &OpenRun::task) == worker->second.runs.end()
          : !before.is_open;
  if (before.is_done || !may_start || start.run < before.NextRun() ||
      !IsStepReady(spec, job->second.occurrences.at(start.task.step.occurrence),
                   position)) {
    return false;
  }
  TaskRecord& task = step->tasks.Change(start.task.index);
  if (start.is_copy) {
    task.copy = start.run;
    task.is_copy_open = true;
  } else {
    task.run = start.run;
    task.is_open = true;
    task.is_end_presumed = false;
    ++step->open;
    changes_.changed_steps.push_back(start.task.step);
  }
  worker->second.runs.push_back(
      {start.task, start.run, step_spec.Charge(), step_spec.is_filler,
       step_spec.ServesUsers(), step_spec.max_per_worker > 0,
       job->second.customer,
       step_spec.is_filler ? step_spec.need.cpu_milli : 0});
  worker->second.load.Add(worker->second.runs.back());
  customer_loads_.Add(worker->second.info.service, worker->second.runs.back());
  return true;
}

void JobTable::ReleaseOccurrence(JobRecord& job, uint64_t occurrence) {
  const auto it = job.occurrences.find(occurrence);
  if (it != job.occurrences.end() && IsOver(it->second)) {
    job.occurrences.erase(it);
    CountSize(job);
  }
}

void JobTable::ReleaseEnded(JobRecord& job) {
  std::erase_if(job.occurrences,
                [](auto& entry) { return !HasOpenRuns(entry.second); });
  if (job.occurrences.empty()) {
    job.spec = {};
  }
  CountSize(job);
}

void JobTable::CountSize(JobRecord& job) {
  const size_t before = job.counted_bytes;
  RemoveSize(job);
  job.counted_bytes = SizeOf(job);
  sizes_.Add(JobOwner::Of(job.customer, job.queue), job.counted_bytes);
  released_bytes_ += before - std::min(before, job.counted_bytes);
}

void JobTable::RemoveSize(JobRecord& job) {
  sizes_.Remove(JobOwner::Of(job.customer, job.queue),
                std::exchange(job.counted_bytes, 0));
}

void JobTable::MarkBegun(const wire::JobId& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end()) {
    it->second.has_started = true;
  }
}

void JobTable::Forget(const wire::JobId& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.phase != JobPhase::kActive) {
    released_bytes_ += it->second.counted_bytes;
    RemoveSize(it->second);
    jobs_.erase(it);
  }
}

const StepRecord* JobTable::FindStep(const StepKey& key) const {
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto it = job->second.occurrences.find(key.occurrence);
  if (it == job->second.occurrences.end() || key.step >= it->second.size()) {
    return nullptr;
  }
  return &it->second[key.step];
}

StepRecord* JobTable::FindStep(const StepKey& key) {
  return const_cast<StepRecord*>(std::as_const(*this).FindStep(key));
}

uint32_t JobTable::MaxAttempts(const JobRecord& job) const {
  const Queue* queue = FindQueue(job.queue);
  return queue == nullptr ? 1 : std::max<uint32_t>(1, queue->max_attempts);
}

}  // namespace sassafras::jobs
