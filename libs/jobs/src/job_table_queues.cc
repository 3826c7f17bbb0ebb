// Applies manifests to the job table, and tells which queue a name means.

#include <algorithm>
#include <map>
#include <ranges>
#include <string_view>
#include <utility>

#include "jobs/job_table.h"

namespace sassafras::jobs {
namespace {

// Host and path.
using Route = std::pair<std::string_view, std::string_view>;

Route RouteOf(const Queue& queue) {
  return {queue.host, queue.path_prefix};
}

bool IsSameRoute(const Queue& left, const Queue& right) {
  return RouteOf(left) == RouteOf(right);
}

}  // namespace

// Ignores a manifest unless its version is higher than the current one, even if
// its text differs.
void JobTable::Put(const Manifest& manifest) {
  if (manifest.version <= manifest_.version) {
    return;
  }
  manifest_ = manifest;
  changes_.is_manifest_changed = true;
  MoveJobsOfRenamedQueues();
  for (const Queue& queue : manifest_.queues) {
    queues_[queue.id] = queue;
  }
}

// Callers know a queue by its host and path only, so its jobs keep to these
// when the operator gives it another name.
void JobTable::MoveJobsOfRenamedQueues() {
  std::map<Route, const Queue*> current;
  for (const Queue& queue : manifest_.queues) {
    current.emplace(RouteOf(queue), &queue);
  }
  std::map<QueueId, QueueId> new_names;
  for (const auto& [id, earlier] : queues_) {
    const auto it = current.find(RouteOf(earlier));
    if (it != current.end() && it->second->id != id) {
      new_names.emplace(id, it->second->id);
    }
  }
  if (new_names.empty()) {
    return;
  }
  for (JobRecord& job : jobs_ | std::views::values) {
    const auto it = new_names.find(job.queue);
    if (it != new_names.end()) {
      job.queue = it->second;
    }
  }
}

const Queue* JobTable::FindQueue(const QueueId& id) const {
  const auto it = queues_.find(id);
  return it == queues_.end() ? nullptr : &it->second;
}

const Queue* JobTable::FindCurrentQueue(const QueueId& id) const {
  if (const Queue* queue = manifest_.FindQueue(id)) {
    return queue;
  }
  const Queue* earlier = FindQueue(id);
  if (earlier == nullptr) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(manifest_.queues, [&](auto& queue) {
    return IsSameRoute(queue, *earlier);
  });
  return it == manifest_.queues.end() ? nullptr : &*it;
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
  return std::ranges::find(manifest_.services, service) !=
             manifest_.services.end() ||
         std::ranges::any_of(queues_ | std::views::values, [&](auto& queue) {
           return queue.service == service;
         });
}

}  // namespace sassafras::jobs
