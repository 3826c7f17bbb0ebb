// Caches permits and assigns advice queries to hosts.

#include "jobs/advice.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

// A ticket must stay valid until the start is committed and the start order has
// reached the worker.
constexpr auto kTicketMargin = std::chrono::milliseconds(200);
constexpr auto kRetryDelay = std::chrono::milliseconds(20);
constexpr auto kHostBackoff = std::chrono::milliseconds(500);
constexpr size_t kMaxWorkersPerQuery = 60;
// What a query names at most, if no other host can send a part of it.
constexpr size_t kMaxWorkersPerUnsplitQuery = 100;
// The share of hosts that stay idle when several send parts of one request.
constexpr double kIdleShareBesideParts = 0.25;
// Slower queries leave the last idle hosts to quicker ones.
constexpr auto kSlowQueryTime = std::chrono::milliseconds(100);
constexpr size_t kHostsForQuickQueries = 2;
// The share of permitted workers that is assumed of a queue without answers.
constexpr double kInitialPermittedShare = 0.5;
// Weight of a new answer in the moving average, and the average's lower limit.
constexpr double kAnswerWeight = 0.1;
constexpr double kMinPermittedShare = 0.05;

base::Duration ExpectedTime(const AdvicePolicy& policy, size_t workers) {
  const std::chrono::duration<double, std::milli> time(
      policy.decide_ms + policy.each_ms * static_cast<double>(workers));
  return std::chrono::duration_cast<base::Duration>(time);
}

// Returns how many of the idle hosts may send queries about `workers` workers.
size_t UsableHostCount(const AdvicePolicy& policy,
                       size_t workers,
                       size_t idle,
                       size_t hosts) {
  const size_t named = std::min(workers, kMaxWorkersPerUnsplitQuery);
  const bool is_slow = ExpectedTime(policy, named) > kSlowQueryTime;
  const size_t wanted_reserve = is_slow ? kHostsForQuickQueries : 0;
  const size_t reserved = hosts > wanted_reserve ? wanted_reserve : 0;
  if (workers == 0 || idle <= reserved) {
    return 0;
  }
  const auto idle_share =
      static_cast<size_t>(kIdleShareBesideParts * static_cast<double>(hosts));
  const size_t kept_idle = std::max(idle_share, reserved);
  return std::max<size_t>(1, idle - std::min(idle, kept_idle));
}

// Splits the workers into as few and as equal parts as queries should name, at
// most one a host.
std::vector<std::span<const WorkerBoot>> Split(
    std::span<const WorkerBoot> workers,
    size_t hosts) {
  std::vector<std::span<const WorkerBoot>> parts;
  const size_t wanted =
      (workers.size() + kMaxWorkersPerQuery - 1) / kMaxWorkersPerQuery;
  size_t left = std::min(wanted, hosts);
  workers = workers.first(
      std::min(workers.size(), left * kMaxWorkersPerUnsplitQuery));
  for (; left > 0; --left) {
    const size_t size = (workers.size() + left - 1) / left;
    parts.push_back(workers.first(size));
    workers = workers.subspan(size);
  }
  return parts;
}

}  // namespace

size_t ReservedHostCount(const AdvicePolicy& policy) {
  return ExpectedTime(policy, kMaxWorkersPerQuery) > kSlowQueryTime
             ? kHostsForQuickQueries
             : 0;
}

const std::string* AdviceTracker::Ticket(const StepKey& step,
                                         const WorkerBoot& worker,
                                         base::Instant now) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return nullptr;
  }
  const auto it = advice->second.allowed.find(worker.id);
  const bool is_valid = it != advice->second.allowed.end() &&
                        it->second.worker == worker &&
                        now < it->second.valid_until;
  return is_valid ? &it->second.ticket : nullptr;
}

std::vector<const WorkerBoot*> AdviceTracker::AllowedWorkers(
    const StepKey& step,
    base::Instant now) const {
  std::vector<const WorkerBoot*> allowed;
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return allowed;
  }
  for (const WorkerPermit& it : advice->second.allowed | std::views::values) {
    if (now < it.valid_until) {
      allowed.push_back(&it.worker);
    }
  }
  return allowed;
}

std::vector<const WorkerBoot*> AdviceTracker::PermittedWorkers(
    const StepKey& step) const {
  return AllowedWorkers(step, base::Instant::min());
}

const AdviceTracker::AnswerMap& AdviceTracker::AnsweredWorkers(
    const StepKey& step) const {
  static const auto* const none = new AnswerMap;
  const auto it = steps_.find(step);
  return it == steps_.end() ? *none : it->second.answered;
}

AdviceStatus AdviceTracker::StatusOf(const StepKey& step,
                                     const WorkerBoot& worker) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) {
    return AdviceStatus::kUnknown;
  }
  const auto it = advice->second.answered.find(worker.id);
  if (it == advice->second.answered.end() || it->second != worker) {
    return AdviceStatus::kUnknown;
  }
  return advice->second.allowed.contains(worker.id) ? AdviceStatus::kAllowed
                                                    : AdviceStatus::kRefused;
}

bool AdviceTracker::HasOpenQuery(const StepKey& step) const {
  const auto it = steps_.find(step);
  return it != steps_.end() && !it->second.open_queries.empty();
}

bool AdviceTracker::HasOpenRenewal(const StepKey& step) const {
  const auto it = steps_.find(step);
  return it != steps_.end() &&
         std::ranges::any_of(it->second.open_queries, [this](auto id) {
           return open_queries_.at(id).renews_early;
         });
}

std::vector<CapacityClaim> AdviceTracker::ClaimsOf(const StepKey& step) const {
  std::vector<CapacityClaim> claims;
  const auto it = steps_.find(step);
  if (it == steps_.end()) {
    return claims;
  }
  for (const AdviceQueryId id : it->second.open_queries) {
    std::ranges::copy(open_queries_.at(id).claims, std::back_inserter(claims));
  }
  return claims;
}

Resources AdviceTracker::ClaimedOn(const WorkerBoot& worker) const {
  const auto it = claimed_.find(worker);
  return it == claimed_.end() ? Resources() : it->second;
}

void AdviceTracker::AddClaims(const OpenQuery& query) {
  for (const CapacityClaim& claim : query.claims) {
    claimed_[claim.worker] += claim.amount;
  }
}

void AdviceTracker::RemoveClaims(const OpenQuery& query) {
  for (const CapacityClaim& claim : query.claims) {
    const auto it = claimed_.find(claim.worker);
    if (it == claimed_.end()) {
      continue;  // only claims of nothing are left
    }
    it->second -= claim.amount;
    if (it->second == Resources()) {
      claimed_.erase(it);
    }
  }
}

double AdviceTracker::PermittedShare(const QueueId& queue) const {
  const auto it = permitted_shares_.find(queue);
  return it == permitted_shares_.end() ? kInitialPermittedShare : it->second;
}

bool AdviceTracker::HasAnswer(const StepKey& step) const {
  const auto it = steps_.find(step);
  return it != steps_.end() && !it->second.answered.empty();
}

size_t AdviceTracker::CountIdleHosts(std::span<const wire::EntryId> hosts,
                                     base::Instant now) const {
  return static_cast<size_t>(std::ranges::count_if(
      hosts, [&](auto& host) { return CanQuery(host, now); }));
}

bool AdviceTracker::NeedsQuery(const AdviceRequest& request,
                               base::Instant now) const {
  const auto it = steps_.find(request.step);
  return it == steps_.end() ? !request.candidates.empty()
                            : !WorkersToQuery(request, it->second, now).empty();
}

std::vector<AssignedQuery> AdviceTracker::AssignQueries(
    std::span<const AdviceRequest> requests,
    std::span<const wire::EntryId> hosts,
    base::Instant now) {
  std::vector<wire::EntryId> idle;
  std::ranges::copy_if(hosts, std::back_inserter(idle),
                       [&](auto& host) { return CanQuery(host, now); });
  std::vector<AssignedQuery> assigned;
  for (const AdviceRequest& request : requests) {
    const StepAdvice& advice = steps_[request.step];
    const bool is_unneeded = !request.has_capacity && !advice.answered.empty();
    const bool is_busy = request.renews_early ? HasOpenRenewal(request.step)
                                              : HasOpenQuery(request.step);
    if (is_busy || now < advice.next_query_at || is_unneeded) {
      continue;
    }
    const auto workers = WorkersToQuery(request, advice, now);
    const size_t usable = UsableHostCount(request.policy, workers.size(),
                                          idle.size(), hosts.size());
    for (const auto part : Split(workers, usable)) {
      assigned.push_back(AddQuery(request, part, idle.back()));
      idle.pop_back();
    }
  }
  return assigned;
}

AssignedQuery AdviceTracker::AddQuery(const AdviceRequest& request,
                                      std::span<const WorkerBoot> workers,
                                      const wire::EntryId& host) {
  last_id_ = last_id_.Next();
  AssignedQuery assignment{host,
                           {last_id_, request.step, {}},
                           ExpectedTime(request.policy, workers.size())};
  std::ranges::transform(workers, std::back_inserter(assignment.query.workers),
                         &WorkerBoot::id);
  OpenQuery& query = open_queries_[last_id_];
  query = {host,
           request.step,
           request.queue,
           {workers.begin(), workers.end()},
           std::chrono::milliseconds(request.policy.valid_ms),
           {},
           request.renews_early};
  std::ranges::copy_if(
      request.claims, std::back_inserter(query.claims), [&](auto& claim) {
        return std::ranges::find(workers, claim.worker) != workers.end();
      });
  AddClaims(query);
  querying_hosts_.insert(host);
  steps_[request.step].open_queries.insert(last_id_);
  return assignment;
}

// Returns the candidates to name in a query: those never named before, or those
// that are permitted but whose ticket has expired or soon will.
std::vector<WorkerBoot> AdviceTracker::WorkersToQuery(
    const AdviceRequest& request,
    const StepAdvice& advice,
    base::Instant now) {
  const base::Instant needed_until =
      request.renews_early
          ? now + ExpectedTime(request.policy, request.candidates.size()) +
                kTicketMargin
          : now;
  std::vector<WorkerBoot> fresh;
  std::vector<WorkerBoot> expired;
  for (const WorkerBoot& worker : request.candidates) {
    const auto answered = advice.answered.find(worker.id);
    if (answered == advice.answered.end() || answered->second != worker) {
      fresh.push_back(worker);
      continue;
    }
    const auto it = advice.allowed.find(worker.id);
    if (it != advice.allowed.end() && needed_until >= it->second.valid_until) {
      expired.push_back(worker);
    }
  }
  // Permitted workers are few and their answer is certain. Unknown workers are
  // queried only if no ticket needs renewal.
  return expired.empty() ? fresh : expired;
}

void AdviceTracker::OnAnswer(AdviceQueryId id,
                             std::span<const Permit> permits,
                             base::Instant now) {
  const auto node = open_queries_.extract(id);
  if (node.empty()) {
    return;
  }
  const OpenQuery& query = node.mapped();
  querying_hosts_.erase(query.host);
  RemoveClaims(query);
  const auto step = steps_.find(query.step);
  if (step == steps_.end()) {
    return;
  }
  StepAdvice& advice = step->second;
  advice.open_queries.erase(id);
  LearnPermittedShare(query, advice, permits.size());
  for (const WorkerBoot& worker : query.workers) {
    advice.answered[worker.id] = worker;
    advice.allowed.erase(worker.id);
    const auto permit = std::ranges::find(permits, worker.id, &Permit::worker);
    if (permit != permits.end()) {
      advice.allowed[worker.id] = {worker, permit->ticket,
                                   now + query.validity - kTicketMargin};
    }
  }
}

// Renewals of tickets say nothing about workers that are still unknown.
void AdviceTracker::LearnPermittedShare(const OpenQuery& query,
                                        const StepAdvice& advice,
                                        size_t permitted) {
  const bool is_renewal =
      std::ranges::any_of(query.workers, [&](const WorkerBoot& worker) {
        return advice.allowed.contains(worker.id);
      });
  if (is_renewal || query.workers.empty()) {
    return;
  }
  const double share = std::clamp(static_cast<double>(permitted) /
                                      static_cast<double>(query.workers.size()),
                                  kMinPermittedShare, 1.0);
  const auto it =
      permitted_shares_.try_emplace(query.queue, kInitialPermittedShare).first;
  it->second += kAnswerWeight * (share - it->second);
}

void AdviceTracker::OnFailure(AdviceQueryId id, base::Instant now) {
  const auto node = open_queries_.extract(id);
  if (node.empty()) {
    return;
  }
  querying_hosts_.erase(node.mapped().host);
  RemoveClaims(node.mapped());
  backoff_until_[node.mapped().host] = now + kHostBackoff;
  const auto step = steps_.find(node.mapped().step);
  if (step != steps_.end()) {
    step->second.open_queries.erase(id);
    step->second.next_query_at = now + kRetryDelay;
  }
}

void AdviceTracker::ForgetJob(const wire::JobId& job) {
  EraseJob(steps_, job, StepKey{job, 0, 0},
           [](auto& it) { return it.first.job; });
}

bool AdviceTracker::CanQuery(const wire::EntryId& host,
                             base::Instant now) const {
  const auto backoff = backoff_until_.find(host);
  if (backoff != backoff_until_.end() && now < backoff->second) {
    return false;
  }
  return !querying_hosts_.contains(host);
}

}  // namespace sassafras::jobs
