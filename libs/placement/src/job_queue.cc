// Cell: the job queue. Jobs are grouped by owner and requirements, so that a
// job that doesn't fit is tried only once for all jobs like it.

#include "cell.h"

namespace sassafras::placement {
namespace {

JobGroupKey KeyOf(const Job& job) {
  const wire::JobSpec& spec = job.spec;
  JobGroupKey key;
  key.rank = RankOf(spec);
  key.kind = spec.kind;
  // A job with one task and no workload has no usage estimate before it starts.
  const bool is_plain = spec.workload.empty() && spec.tasks == 1;
  key.workload = is_plain ? nullptr : job.workload.get();
  key.gang_tasks = spec.kind == wire::JobKind::kGang ? spec.tasks : 0;
  key.declared = spec.per_task;
  return key;
}

}  // namespace

void Cell::Enqueue(Job& job) {
  if (job.pending.empty() || job.is_parked || job.is_removed) {
    return;
  }
  auto& group = job.owner->groups[KeyOf(job)];
  std::optional<QueueKey> old_head;
  if (group == nullptr) {
    group = std::make_unique<JobGroup>();
    group->owner = job.owner;
    group->key = KeyOf(job);
    CountAccelerators(*group, 1);
  } else {
    old_head = group->HeadKey();
  }
  // A job passes newer jobs of higher priority classes as it waits, but urgent
  // jobs only after Options::starvation_bound.
  const Rank rank = RankOf(job.spec);
  const bool is_urgent = rank <= kLastUrgentRank;
  job.queue_key =
      job.waiting_since + rank * options_.aging_step / 2 -
      (is_urgent ? options_.starvation_bound : base::Duration::zero());
  job.group = group.get();
  group->jobs.emplace(QueueKey{job.queue_key, job.sequence}, &job);
  Requeue(*group, old_head);
}

void Cell::Dequeue(Job& job) {
  JobGroup* group = job.group;
  if (group == nullptr) {
    return;
  }
  const QueueKey old_head = group->HeadKey();
  group->jobs.erase({job.queue_key, job.sequence});
  job.group = nullptr;
  if (!group->jobs.empty()) {
    Requeue(*group, old_head);
    return;
  }
  Owner& owner = *group->owner;
  (group->block == BlockReason::kNone ? owner.ready : owner.blocked)
      .erase(old_head);
  if (group->block != BlockReason::kQuota) {
    CountAccelerators(*group, -1);
  }
  owner.groups.erase(JobGroupKey(group->key));
}

void Cell::CountAccelerators(JobGroup& group, int delta) {
  if (group.key.declared.accelerators > 0) {
    accelerator_groups_ += delta;
    group.owner->accelerator_groups += delta;
  }
}

void Cell::Requeue(JobGroup& group, std::optional<QueueKey> old_head) {
  auto& queue = group.block == BlockReason::kNone ? group.owner->ready
                                                  : group.owner->blocked;
  if (old_head) {
    if (*old_head == group.HeadKey()) {
      return;
    }
    queue.erase(*old_head);
  }
  queue.emplace(group.HeadKey(), &group);
}

void Cell::SetBlock(JobGroup& group, BlockReason block) {
  if (group.block == block) {
    return;
  }
  if (group.block == BlockReason::kQuota) {
    CountAccelerators(group, 1);
  } else if (block == BlockReason::kQuota) {
    CountAccelerators(group, -1);
  }
  Owner& owner = *group.owner;
  (group.block == BlockReason::kNone ? owner.ready : owner.blocked)
      .erase(group.HeadKey());
  group.block = block;
  (block == BlockReason::kNone ? owner.ready : owner.blocked)
      .emplace(group.HeadKey(), &group);
}

void Cell::LeaveQueue(Task& task) {
  Job& job = *task.job;
  Unclaim(task);
  if (job.pending.erase(task.index) == 0) {
    return;
  }
  --job.owner->waiting_tasks;
  if (job.pending.empty()) {
    Dequeue(job);
  }
}

}  // namespace sassafras::placement
