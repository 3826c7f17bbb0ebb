// Cell: owners, workers and jobs.

#include "cell.h"

#include <algorithm>
#include <ranges>

namespace sassafras::placement {
namespace {

constexpr size_t kMaxRecentWorkloads = 20'000;

template <typename Map, typename Key>
uint32_t Intern(Map& map, const Key& key) {
  return map.try_emplace(key, static_cast<uint32_t>(map.size())).first->second;
}

}  // namespace

Rank RankOf(const wire::JobSpec& spec) {
  const auto priority = static_cast<Rank>(spec.priority);
  return 2 * priority + (spec.kind == wire::JobKind::kService ? 0 : 1);
}

wire::TaskId Task::Id() const {
  return {job->spec.id, index};
}

bool Task::IsCpuCapped() const {
  return reserved.milli_cpus < job->spec.per_task.milli_cpus;
}

Cell::Cell(const Options& options, uint64_t seed)
    : options_(options), index_(seed) {}

Owner& Cell::OwnerOf(const wire::OwnerId& id) {
  Owner*& owner = owner_by_id_[id];
  if (owner == nullptr) {
    owner = &owners_.emplace_back();
    owner->id = id;
    owner->slot = static_cast<uint32_t>(owners_.size() - 1);
    // An owner without a PutOwner event counts with weight 1.
    sum_of_weights_ += owner->weight;
  }
  return *owner;
}

Worker* Cell::FindWorker(const wire::WorkerId& id) {
  const auto it = worker_by_id_.find(id);
  return it == worker_by_id_.end() || !it->second->is_present ? nullptr
                                                              : it->second;
}

Job* Cell::FindJob(const wire::JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Task* Cell::FindTask(const wire::TaskId& id) {
  Job* job = FindJob(id.job);
  return job == nullptr || id.index >= job->tasks.size()
             ? nullptr
             : &job->tasks[id.index];
}

void Cell::Put(const PutOwner& event) {
  Owner& owner = OwnerOf(event.owner);
  sum_of_weights_ -= owner.weight;
  owner.is_known = true;
  owner.weight = std::max<uint32_t>(1, event.weight);
  owner.quota = event.quota;
  sum_of_weights_ += owner.weight;
  ++feasibility_epoch_;
  std::vector<JobGroup*> waiting;
  std::ranges::copy(owner.blocked | std::views::values,
                    std::back_inserter(waiting));
  for (JobGroup* group : waiting) {
    SetBlock(*group, BlockReason::kNone);
  }
}

void Cell::Remove(const RemoveOwner& event) {
  Put(PutOwner{event.owner, 1, std::nullopt});
  OwnerOf(event.owner).is_known = false;
}

Worker& Cell::Put(const PutWorker& event) {
  Worker*& known = worker_by_id_[event.worker];
  if (known == nullptr) {
    known = &workers_.emplace_back();
    known->id = event.worker;
    known->slot = static_cast<uint32_t>(workers_.size() - 1);
  }
  Worker& worker = *known;
  if (worker.is_present) {
    CountCapacity(worker, -1);
  }
  worker.is_present = true;
  worker.incarnation = event.incarnation;
  worker.zone_id = event.zone;
  worker.rack_id = event.rack;
  worker.zone = Intern(zones_, event.zone);
  worker.rack = Intern(racks_, std::pair(worker.zone, event.rack));
  worker.state = event.state;
  worker.capacity = event.capacity;
  CountCapacity(worker, 1);
  MarkFreed(worker);
  Refresh(worker);
  return worker;
}

void Cell::Remove(Worker& worker) {
  CountCapacity(worker, -1);
  worker.is_present = false;
  const std::vector<Task*> tasks = worker.tasks;
  for (Task* task : tasks) {
    Detach(*task);
    ClearTimer(*task);
    task->worker = nullptr;
  }
  const std::vector<Task*> claimants = worker.claimants;
  for (Task* task : claimants) {
    Unclaim(*task);
  }
  worker.is_quarantined = false;
  quarantined_.erase(worker.slot);
  worker.quarantine_proposed.reset();
  worker.health = WorkerHealth();
  worker.used = {};
  Refresh(worker);
}

void Cell::SetQuarantined(Worker& worker, bool is_quarantined) {
  if (worker.is_quarantined == is_quarantined) {
    return;
  }
  CountCapacity(worker, -1);
  worker.is_quarantined = is_quarantined;
  CountCapacity(worker, 1);
  if (is_quarantined) {
    quarantined_.insert(worker.slot);
  } else {
    quarantined_.erase(worker.slot);
    MarkFreed(worker);
  }
  Refresh(worker);
}

Job& Cell::Put(const PutJob& event) {
  auto& known = jobs_[event.spec.id];
  if (known == nullptr) {
    known = std::make_unique<Job>();
    known->sequence = next_sequence_++;
    known->submitted = event.submitted;
    known->workload = WorkloadOf(event.spec);
  }
  Job& job = *known;
  Dequeue(job);
  job.spec = event.spec;
  job.is_removed = false;
  job.owner = &OwnerOf(event.spec.owner);
  while (job.tasks.size() < event.spec.tasks) {
    Task& task = job.tasks.emplace_back();
    task.job = &job;
    task.index = static_cast<uint32_t>(job.tasks.size() - 1);
  }
  Enqueue(job);
  return job;
}

void Cell::Remove(Job& job) {
  job.is_removed = true;
  const std::set<uint32_t> pending = job.pending;
  for (uint32_t index : pending) {
    Task& task = job.tasks[index];
    LeaveQueue(task);
    task.phase = Phase::kIdle;
  }
  EraseIfFinished(job);
}

void Cell::SetParked(Job& job, bool is_parked) {
  job.park_proposed.reset();
  Dequeue(job);
  job.is_parked = is_parked;
  Enqueue(job);
}

void Cell::EraseIfFinished(Job& job) {
  if (job.is_removed && job.active == 0) {
    jobs_.erase(job.spec.id);
  }
}

std::shared_ptr<Workload> Cell::WorkloadOf(const wire::JobSpec& spec) {
  if (spec.workload.empty()) {
    auto workload = std::make_shared<Workload>();
    workload->sequence = next_sequence_++;
    workload->owner = spec.owner;
    return workload;
  }
  auto& known = workloads_[{spec.owner, spec.workload}];
  auto workload = known.lock();
  if (workload == nullptr) {
    workload = std::make_shared<Workload>();
    workload->sequence = next_sequence_++;
    workload->owner = spec.owner;
    workload->id = spec.workload;
    known = workload;
    // Keeps the workload alive after its jobs, so that later jobs start with
    // its usage estimate.
    recent_workloads_.push_back(workload);
  }
  if (recent_workloads_.size() > kMaxRecentWorkloads) {
    recent_workloads_.pop_front();
    std::erase_if(workloads_,
                  [](const auto& it) { return it.second.expired(); });
  }
  return workload;
}

void Cell::CountCapacity(const Worker& worker, int sign) {
  if (worker.state != wire::WorkerState::kReady) {
    return;
  }
  const auto count = capacities_.try_emplace(worker.capacity, 0).first;
  count->second += sign;
  // Reservations are bounded by the largest worker, so they may shrink when a
  // distinct capacity appears or disappears.
  reservation_epoch_ += count->second <= 1 ? 1 : 0;
  if (count->second == 0) {
    capacities_.erase(count);
  }
  ++feasibility_epoch_;
  if (!worker.IsUsable()) {
    return;
  }
  usable_workers_ += sign;
  if (sign > 0) {
    total_ += worker.capacity;
  } else {
    total_ -= worker.capacity;
  }
}

void Cell::Refresh(Worker& worker) {
  const wire::Resources free = worker.Free();
  const bool has_accelerators = free.accelerators > 0;
  if (worker.has_free_accelerators && !has_accelerators) {
    // The worker has no free accelerators left to keep for accelerator work, so
    // other work may use its remaining capacity.
    MarkFreed(worker);
  }
  worker.has_free_accelerators = has_accelerators;
  const bool has_room = worker.IsUsable() && wire::Resources{}.FitsIn(free);
  if (has_room) {
    index_.Put(worker.slot, worker.zone, free,
               worker.capacity.accelerators > 0);
  } else {
    index_.Erase(worker.slot);
  }
}

void Cell::MarkFreed(Worker& worker) {
  if (!worker.is_listed_as_freed && trials_ == 0) {
    worker.is_listed_as_freed = true;
    freed_.push_back(&worker);
  }
}

std::vector<Worker*> Cell::TakeFreed() {
  std::vector<Worker*> freed = std::move(freed_);
  freed_.clear();
  for (Worker* worker : freed) {
    worker->is_listed_as_freed = false;
  }
  return freed;
}

}  // namespace sassafras::placement
