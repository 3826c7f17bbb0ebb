// Compares the wait that the backlog causes with the time until which a job's
// result is of use.

#include "jobs/admission_control.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "jobs/wait_estimate.h"

namespace sassafras::jobs {
namespace {

// Callers that come sooner would only be refused again; those that come later
// find that the backlog has been over for long.
constexpr base::Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(30);
// Longer waits count as this long. Sums of a few fit into a duration.
constexpr double kMaxWaitMs = 1e12;
// Most work of one step that is counted, in any resource times ms, so that sums
// over a million steps fit: a thousand cores for three hours.
constexpr double kMaxStepWork = 1e13;

base::Duration Milliseconds(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(std::min(ms, kMaxWaitMs)));
}

// Returns the least work of `tasks` tasks.
Work WorkOf(const StepSpec& step, size_t tasks) {
  const double ms = kMinEstimateShare *
                    static_cast<double>(std::max<int64_t>(step.estimate_ms, 0));
  const Resources charge = step.Charge();
  Work work;
  for (const auto kind : kResourceKinds) {
    const double amount =
        static_cast<double>(charge.*kind) * static_cast<double>(tasks) * ms;
    work.*kind = static_cast<int64_t>(std::min(amount, kMaxStepWork));
  }
  return work;
}

// Whether the tasks may run on any worker of the pool that has room, so that
// all of its capacity is there for them.
bool UsesWholePool(const StepSpec& step) {
  return step.required_label.empty() && step.max_per_worker == 0;
}

// Returns the step that begins the longest chain of the job.
uint32_t FirstStepOf(const JobSpec& spec,
                     const Queue& queue,
                     const JobTiming& timing) {
  uint32_t first = 0;
  for (uint32_t n = 0; n < spec.steps.size(); ++n) {
    const bool is_longer = timing.DatesOf(queue, n).last_useful_start <
                           timing.DatesOf(queue, first).last_useful_start;
    if (spec.steps[n].after.empty() && is_longer) {
      first = n;
    }
  }
  return first;
}

}  // namespace

// The wait is counted at a share of the estimates, so what passes in a second
// of a wait takes longer than a second.
base::Duration WaitVerdict::RetryAfter() const {
  const base::Duration late = std::min(wait - limit, kMaxRetryAfter);
  return std::clamp(
      std::chrono::duration_cast<base::Duration>(late / kMinEstimateShare),
      kMinRetryAfter, kMaxRetryAfter);
}

void AdmissionControl::Assign(const JobTable& table,
                              const ReplicaHistory& history,
                              base::Instant now) {
  capacities_.Assign(table);
  CountAgain(table, history, now);
}

void AdmissionControl::CountAgain(const JobTable& table,
                                  const ReplicaHistory& history,
                                  base::Instant now) {
  backlog_.Clear();
  timings_.clear();
  queues_.clear();
  backlog_.AdvanceTo(now);
  for (const JobRecord* job : table.active() | std::views::values) {
    AddJob(table, history, *job, now);
  }
}

void AdmissionControl::OnApplied(const JobTable& table,
                                 const ReplicaHistory& history,
                                 const Changes& changes,
                                 base::Instant now) {
  const bool has_other_workers =
      changes.has_worker_changes || !changes.changed_workers.empty();
  const bool has_other_sizes =
      has_other_workers && capacities_.Update(table, now);
  backlog_.AdvanceTo(now);
  if (has_other_sizes ||
      (changes.is_manifest_changed && HasOtherQueues(table))) {
    CountAgain(table, history, now);
    return;
  }
  for (const wire::JobId& id : changes.added_jobs) {
    if (const JobRecord* job = table.FindJob(id)) {
      AddJob(table, history, *job, now);
    }
  }
  const std::set<StepKey> changed(changes.changed_steps.begin(),
                                  changes.changed_steps.end());
  for (const StepKey& key : changed) {
    if (const JobRecord* job = table.FindJob(key.job)) {
      UpdateSteps(table, *job, key.occurrence);
    }
  }
  for (const wire::JobId& id : changes.ended_jobs) {
    backlog_.RemoveJob(id);
    timings_.erase(id);
  }
}

bool AdmissionControl::HasOtherQueues(const JobTable& table) const {
  return std::ranges::any_of(queues_, [&](const auto& entry) {
    const Queue* now = table.FindCurrentQueue(entry.first);
    now = now == nullptr ? table.FindQueue(entry.first) : now;
    return now == nullptr || !(*now == entry.second);
  });
}

void AdmissionControl::AddJob(const JobTable& table,
                              const ReplicaHistory& history,
                              const JobRecord& job,
                              base::Instant now) {
  const Queue* queue = table.FindQueue(job.queue);
  if (queue == nullptr || job.phase != JobPhase::kActive ||
      !CanBeTooLate(job.spec)) {
    return;
  }
  queues_.try_emplace(job.queue, *queue);
  timings_.try_emplace(job.id, job.spec, queue,
                       history.AcceptedAt(job.id).value_or(now));
  UpdateSteps(table, job, 0);
}

// An end of the last task of a step makes other steps ready, so all steps of
// the occurrence are looked at.
void AdmissionControl::UpdateSteps(const JobTable& table,
                                   const JobRecord& job,
                                   uint64_t occurrence) {
  const auto timing = timings_.find(job.id);
  const auto steps = job.occurrences.find(occurrence);
  const Queue* queue = table.FindQueue(job.queue);
  if (timing == timings_.end() || steps == job.occurrences.end() ||
      queue == nullptr) {
    return;
  }
  for (uint32_t n = 0; n < steps->second.size(); ++n) {
    const StepKey key{job.id, occurrence, n};
    if (const auto item = ItemOf(job, *queue, timing->second, key)) {
      backlog_.Put(key, *item);
    } else {
      backlog_.Remove(key);
    }
  }
}

// Only steps that are ready count. Until the others are, newer work may take
// the capacity, however much the estimates of the whole job add up to.
std::optional<Backlog::Item> AdmissionControl::ItemOf(
    const JobRecord& job,
    const Queue& queue,
    const JobTiming& timing,
    const StepKey& key) const {
  const std::vector<StepRecord>& steps = job.occurrences.at(key.occurrence);
  const StepRecord& record = steps[key.step];
  const StepSpec& spec = job.spec.steps[key.step];
  const Resources largest = capacities_.LargestWorker(queue.service);
  const bool may_start = spec.is_gang ? record.open == 0 && !record.IsDone()
                                      : record.Waiting() > 0;
  if (!may_start || !UsesWholePool(spec) || !spec.Charge().Fits(largest) ||
      !IsStepReady(job.spec, steps, key.step)) {
    return std::nullopt;
  }
  return Backlog::Item{queue.service,
                       job.is_excess,
                       queue.priority,
                       job.customer,
                       SizeLevelOf(spec.Charge(), largest),
                       WorkOf(spec, record.Waiting()),
                       timing.DatesOf(queue, key.step)};
}

std::optional<WaitVerdict> AdmissionControl::Judge(const JobTable& table,
                                                   const jobs::AddJob& job,
                                                   base::Instant now) {
  backlog_.AdvanceTo(now);
  const Queue* queue = table.FindQueue(job.queue);
  if (queue == nullptr || job.spec.steps.empty() || !CanBeTooLate(job.spec)) {
    return std::nullopt;
  }
  const auto capacity = capacities_.CapacityOf(queue->service, now);
  const JobTiming timing(job.spec, queue, now);
  const uint32_t first = FirstStepOf(job.spec, *queue, timing);
  const Resources charge = job.spec.steps[first].Charge();
  const Resources largest = capacities_.LargestWorker(queue->service);
  if (!capacity || !charge.Fits(largest)) {
    return std::nullopt;
  }
  const Backlog::Item item{queue->service,
                           job.is_excess,
                           queue->priority,
                           job.customer,
                           SizeLevelOf(charge, largest),
                           {},
                           timing.DatesOf(*queue, first)};
  if (item.dates.objective <= now) {
    return std::nullopt;
  }
  using enum Backlog::DueBy;
  WaitVerdict verdict;
  verdict.limit = item.dates.last_useful_start - now;
  const base::Duration in_time = item.dates.last_start_for_objective - now;
  verdict.wait =
      Milliseconds(LowestWaitMs(table, item, charge, *capacity, kObjective));
  // Once it can't meet its objective, it yields to what is due before the time
  // until which it is of use.
  if (verdict.wait > in_time) {
    verdict.wait =
        std::max(in_time, Milliseconds(LowestWaitMs(table, item, charge,
                                                    *capacity, kLastUseful)));
  }
  return verdict;
}

double AdmissionControl::LowestWaitMs(const JobTable& table,
                                      const Backlog::Item& item,
                                      const Resources& need,
                                      const Resources& capacity,
                                      Backlog::DueBy due_by) const {
  const auto ahead = backlog_.WorkAheadOf(item, due_by);
  WaitSituation situation;
  situation.capacity = capacity;
  situation.need = need;
  std::vector<CustomerBacklog> backlogs;
  for (const auto& [id, work] : ahead) {
    const Customer* customer = table.FindCustomer(id);
    backlogs.push_back({customer == nullptr ? 0 : customer->weight,
                        customer == nullptr ? Resources{} : customer->cap,
                        id == item.customer, work.first, work.shared});
  }
  if (const Customer* own = table.FindCustomer(item.customer)) {
    situation.weight = own->weight;
  }
  situation.sum_of_weights =
      SumOfWeights(table, item.pool, item.customer, ahead);
  situation.backlogs = backlogs;
  return jobs::LowestWaitMs(situation);
}

double AdmissionControl::SumOfWeights(
    const JobTable& table,
    const wire::ServiceId& pool,
    const CustomerId& own,
    const std::map<CustomerId, Backlog::Ahead>& waiting) {
  std::set<CustomerId> sharing = {own};
  for (const CustomerId& id : waiting | std::views::keys) {
    sharing.insert(id);
  }
  for (const auto& [id, load] : table.customer_loads().all()) {
    if (load.pools.contains(pool)) {
      sharing.insert(id);
    }
  }
  double sum = 0;
  for (const CustomerId& id : sharing) {
    const Customer* customer = table.FindCustomer(id);
    sum += customer == nullptr ? 0 : customer->weight;
  }
  return sum;
}

}  // namespace sassafras::jobs
