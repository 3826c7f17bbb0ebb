// Applies manifests to the job table, and tells which queue or customer a name
// means.

#include <algorithm>
#include <map>
#include <ranges>

#include "jobs/job_table.h"

namespace sassafras::jobs {

// Ignores a manifest unless its version is higher than the current one, even if
// its text differs.
void JobTable::Put(const Manifest& manifest) {
  if (manifest.version <= manifest_.version) {
    return;
  }
  manifest_ = manifest;
  index_.Assign(manifest_);
  changes_.is_manifest_changed = true;
  MoveJobsOfRenamedQueues();
  RememberQueuesAndCustomers();
}

void JobTable::Keep(const Queue& queue) {
  const auto [it, is_new] = queues_.try_emplace(queue.id, queue);
  if (!is_new) {
    const auto earlier = queue_services_.find(it->second.service);
    if (--earlier->second == 0) {
      queue_services_.erase(earlier);
    }
    it->second = queue;
  }
  ++queue_services_[queue.service];
}

void JobTable::RememberQueuesAndCustomers() {
  std::ranges::for_each(manifest_.queues, [this](auto& it) { Keep(it); });
  for (const Customer& it : manifest_.customers) {
    customers_[it.id] = {it.id, it.weight, it.priority, it.cap, {}};
  }
}

// Queues are as recorded but for what the recording program can't have read, so
// that all replicas apply later batches alike.
bool JobTable::CompleteManifest(const ManifestReader& read, std::string& why) {
  if (manifest_.format >= kManifestFormat || manifest_.text.empty()) {
    return true;
  }
  manifest_.format = kManifestFormat;
  auto whole = read(manifest_.text, why);
  if (!whole) {
    return false;
  }
  manifest_.customers = whole->customers;
  manifest_.limits = whole->limits;
  ManifestIndex read_again;
  read_again.Assign(*whole);
  for (Queue& queue : manifest_.queues) {
    const Queue* it = read_again.FindQueue(queue.id);
    queue.is_open = it != nullptr && it->is_open;
  }
  index_.Assign(manifest_);
  RememberQueuesAndCustomers();
  return true;
}

// Callers know a queue by its host and path only, so its jobs keep to these
// when the operator gives it another name.
void JobTable::MoveJobsOfRenamedQueues() {
  std::map<QueueId, QueueId> new_names;
  for (const auto& [id, earlier] : queues_) {
    const Queue* current =
        index_.FindQueueAt(earlier.host, earlier.path_prefix);
    if (current != nullptr && current->id != id) {
      new_names.emplace(id, current->id);
    }
  }
  if (new_names.empty()) {
    return;
  }
  for (JobRecord& job : jobs_ | std::views::values) {
    const auto it = new_names.find(job.queue);
    if (it != new_names.end()) {
      RemoveSize(job);
      job.queue = it->second;
      CountSize(job);
    }
  }
}

const Queue* JobTable::FindQueue(const QueueId& id) const {
  const auto it = queues_.find(id);
  return it == queues_.end() ? nullptr : &it->second;
}

const Customer* JobTable::FindCustomer(const CustomerId& id) const {
  const auto it = customers_.find(id);
  return it == customers_.end() ? nullptr : &it->second;
}

const Queue* JobTable::FindCurrentQueue(const QueueId& id) const {
  if (const Queue* queue = index_.FindQueue(id)) {
    return queue;
  }
  const Queue* earlier = FindQueue(id);
  return earlier == nullptr
             ? nullptr
             : index_.FindQueueAt(earlier->host, earlier->path_prefix);
}

const JobRecord* JobTable::FindJob(const QueueId& queue,
                                   const wire::JobId& id) const {
  const JobRecord* job = FindJob(id);
  if (job == nullptr || job->queue == queue) {
    return job;
  }
  const Queue* current = FindCurrentQueue(queue);
  return current != nullptr && job->queue == current->id ? job : nullptr;
}

bool JobTable::HasService(const wire::ServiceId& service) const {
  return index_.HasService(service) || queue_services_.contains(service);
}

}  // namespace sassafras::jobs
