// Decides which advice a plan requests.

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include "planner.h"

namespace sassafras::jobs {
namespace {

// Limits of the number of workers named in one advice request.
constexpr size_t kMaxWorkersPerRequest = 35;
constexpr size_t kMinWorkersPerGangRequest = 30;
constexpr size_t kMaxEarlyRequests = 4;
// Requests for independent tasks name fewer workers, because a few of many
// suffice and the answer comes sooner.
constexpr size_t kMinWorkersPerRequest = 16;
constexpr size_t kWorkersPerTask = 4;

// Shares of a gang's size for which workers must be permitted, counting their
// whole capacity: some of it will be in use when the rest is free. A gang asks
// for the latter, so that it can choose those that are free soonest, and asks
// again only with less than the former.
constexpr double kPermittedCapacityShare = 1.25;
constexpr double kWantedCapacityShare = 2;

// With at least this many idle hosts, tickets of a gang are renewed when this
// share of its tasks has room: the capacity that has been kept for it would
// otherwise lie idle during the query.
constexpr size_t kSpareHosts = 8;
constexpr double kEarlyRenewalShare = 0.5;

}  // namespace

WaitReason Planner::RequestAdviceIfNeeded(const WaitingStep& step) {
  if (!step.queue->advice.is_required) {
    return PermittedWorkers(step).empty() ? WaitReason::kNoWorker
                                          : WaitReason::kNoRoom;
  }
  if (AwaitsAnswer(step)) {
    return WaitReason::kQueryOpen;
  }
  if (!CanRequestAdvice(step)) {
    return WaitReason::kNoAdviceHost;
  }
  const size_t before = plan_.advice_requests.size();
  RequestAdvice(step);
  return plan_.advice_requests.size() > before ? WaitReason::kQueryRequested
                                               : WaitReason::kNoQuery;
}

// A step that workers are kept free for needs its tickets when the last of
// these is free, whatever else has been asked about it.
bool Planner::AwaitsAnswer(const WaitingStep& step) const {
  return step.has_reservation ? advice_.HasOpenRenewal(step.key)
                              : advice_.HasOpenQuery(step.key);
}

// Requests that no host could send are skipped, because preparing one costs as
// much as preparing one that is sent.
bool Planner::CanRequestAdvice(const WaitingStep& step) const {
  const AdvicePolicy& policy = step.queue->advice;
  return policy.is_required && !AwaitsAnswer(step) &&
         plan_.advice_requests.size() + ReservedHostCount(policy) <
             idle_advice_hosts_;
}

// Requests advice only where the answer can be used, because tickets expire
// soon and every query occupies a host. Capacity for which advice is requested
// counts as taken for steps of lower rank. A few steps may request advice
// without free capacity, to learn early which workers they may use.
void Planner::RequestAdvice(const WaitingStep& step) {
  if (step.spec->is_gang) {
    RequestGangAdvice(step);
  } else {
    RequestTaskAdvice(step);
  }
}

void Planner::RequestTaskAdvice(const WaitingStep& step) {
  std::vector<AdviceCandidate> permitted = PermittedCandidates(step);
  const size_t wanted = step.MissingTasks();
  const size_t fitting = CountFittingTasks(permitted);
  const bool searches = fitting < wanted && IsAdviceSearchDue(step, permitted);
  std::vector<AdviceCandidate> unknown;
  if (searches) {
    unknown = UnknownCandidates(step);
  }
  const double share = advice_.PermittedShare(step.job->queue);
  const double likely = share * static_cast<double>(CountFittingTasks(unknown));
  if (likely > static_cast<double>(fitting)) {
    AddAdviceRequest(step, std::move(unknown),
                     {.claimed = static_cast<double>(wanted) / share});
  } else if (fitting > 0) {
    AddAdviceRequest(
        step, std::move(permitted),
        {.claimed = static_cast<double>(std::min(wanted, fitting))});
  } else if (permitted.empty()) {
    RequestEarlyAdvice(step, std::move(unknown));
  } else if (searches) {
    plan_.steps_without_query.push_back(step.key);
  }
}

void Planner::RequestGangAdvice(const WaitingStep& step) {
  std::vector<AdviceCandidate> permitted = PermittedCandidates(step);
  const size_t needed = step.spec->count;
  const size_t fitting = CountFittingTasks(permitted);
  const bool fits = fitting >= needed;
  if (fits || step.has_reservation ||
      IsNearlyPlaceable(step, permitted, fitting)) {
    const bool is_renewing = RequestRenewal(step, permitted, fitting);
    if (fits || is_renewing || !step.has_reservation) {
      return;
    }
  }
  if (advice_.HasOpenQuery(step.key) || !IsAdviceSearchDue(step, permitted)) {
    return;
  }
  std::vector<AdviceCandidate> unknown = UnknownCandidates(step);
  const size_t unknown_fitting = CountFittingTasks(unknown);
  const double capacity = CapacityToSearch(step, permitted);
  const bool needs_permits =
      !permitted.empty() && !HasPermittedCapacity(step, permitted);
  if (needs_permits && !unknown.empty()) {
    // Waiting would not help: even if they were empty, the permitted workers
    // could not run the gang.
    AddAdviceRequest(step, std::move(unknown), {.capacity = capacity});
    plan_.advice_requests.back().has_capacity = true;
  } else if (unknown_fitting > 0 && fitting + unknown_fitting >= needed) {
    AddAdviceRequest(
        step, std::move(unknown),
        {.claimed = static_cast<double>(needed), .capacity = capacity});
  } else if (permitted.empty()) {
    RequestEarlyAdvice(step, std::move(unknown));
  } else {
    plan_.steps_without_query.push_back(step.key);
  }
}

// Renews the tickets of a gang before they expire: all of them must be valid at
// the moment when its last task has room. Returns whether any must be renewed.
bool Planner::RequestRenewal(const WaitingStep& step,
                             std::vector<AdviceCandidate> permitted,
                             size_t fitting) {
  const size_t needed = step.spec->count;
  AddAdviceRequest(
      step, std::move(permitted),
      {.claimed = static_cast<double>(std::min(needed, fitting)),
       .capacity = kWantedCapacityShare * static_cast<double>(needed)});
  AdviceRequest& request = plan_.advice_requests.back();
  request.has_capacity = true;
  request.renews_early = true;
  const bool is_needed = advice_.NeedsQuery(request, now_);
  if (!is_needed) {
    plan_.advice_requests.pop_back();
  }
  return is_needed;
}

void Planner::RequestEarlyAdvice(const WaitingStep& step,
                                 std::vector<AdviceCandidate> unknown) {
  if (!unknown.empty() && early_requests_ < kMaxEarlyRequests) {
    ++early_requests_;
    AddAdviceRequest(step, std::move(unknown),
                     {.capacity = CapacityToSearch(step, {})});
  }
}

// Returns how many tasks of the gang the workers that a search names should be
// able to run, so that enough of them are likely to be permitted.
double Planner::CapacityToSearch(
    const WaitingStep& step,
    std::span<const AdviceCandidate> permitted) const {
  const double wanted =
      kWantedCapacityShare * static_cast<double>(step.spec->count);
  const auto known = static_cast<double>(PermittedCapacity(step, permitted));
  return (wanted - known) / advice_.PermittedShare(step.job->queue);
}

bool Planner::IsNearlyPlaceable(const WaitingStep& step,
                                std::span<const AdviceCandidate> permitted,
                                size_t fitting) const {
  const bool has_spare_hosts =
      plan_.advice_requests.size() + kSpareHosts < idle_advice_hosts_;
  return has_spare_hosts &&
         static_cast<double>(fitting) >=
             kEarlyRenewalShare * static_cast<double>(step.spec->count) &&
         HasPermittedCapacity(step, permitted);
}

// Whether to look for workers that no answer is known about. In a full pool no
// new permit helps a task that fits nowhere.
bool Planner::IsAdviceSearchDue(
    const WaitingStep& step,
    std::span<const AdviceCandidate> permitted) const {
  if (permitted.empty()) {
    return early_requests_ < kMaxEarlyRequests || MayFitSomewhere(step);
  }
  const auto it = history_.next_advice_search.find(step.key);
  if (it != history_.next_advice_search.end() && now_ < it->second) {
    return false;
  }
  return step.spec->is_gang || MayFitSomewhere(step);
}

Planner::AdviceCandidate Planner::ToAdviceCandidate(const WaitingStep& step,
                                                    Candidate* worker) const {
  const bool has_room =
      (!worker->is_unusable || worker->is_awaited) && HasRoom(step, *worker);
  const Resources unclaimed =
      worker->free_capacity - worker->claimed_for_advice;
  return {worker, has_room ? CountFitting(step, unclaimed) : 0};
}

std::vector<Planner::AdviceCandidate> Planner::PermittedCandidates(
    const WaitingStep& step) {
  std::vector<AdviceCandidate> candidates;
  for (Candidate* worker : PermittedWorkers(step)) {
    candidates.push_back(ToAdviceCandidate(step, worker));
  }
  return candidates;
}

// Pools and answers are both sorted by worker id, which allows a linear merge.
std::vector<Planner::AdviceCandidate> Planner::UnknownCandidates(
    const WaitingStep& step) {
  const auto& answered = advice_.AnsweredWorkers(step.key);
  auto it = answered.begin();
  std::vector<AdviceCandidate> candidates;
  for (Candidate* worker : PoolOf(step)) {
    while (it != answered.end() && it->first < worker->boot().id) {
      ++it;
    }
    const bool is_answered =
        it != answered.end() && it->second == worker->boot();
    if (!is_answered && IsEligible(step, *worker)) {
      candidates.push_back(ToAdviceCandidate(step, worker));
    }
  }
  const bool took_all = answered.empty() && step.spec->required_label.empty() &&
                        step.spec->max_per_worker == 0;
  if (took_all && CountFittingTasks(candidates) == 0) {
    needs_without_room_[step.queue->service].push_back(step.spec->Charge());
  }
  return candidates;
}

bool Planner::HasPermittedCapacity(const WaitingStep& step,
                                   std::span<const AdviceCandidate> permitted) {
  return static_cast<double>(PermittedCapacity(step, permitted)) >=
         kPermittedCapacityShare * static_cast<double>(step.spec->count);
}

size_t Planner::PermittedCapacity(const WaitingStep& step,
                                  std::span<const AdviceCandidate> permitted) {
  size_t fitting = 0;
  for (const AdviceCandidate& it : permitted) {
    fitting += IsOpenTo(step, *it.worker)
                   ? CountFitting(step, it.worker->info().capacity)
                   : 0;
  }
  return fitting;
}

size_t Planner::CountFittingTasks(std::span<const AdviceCandidate> candidates) {
  size_t fitting = 0;
  for (const AdviceCandidate& it : candidates) {
    fitting += it.fitting;
  }
  return fitting;
}

// Sorts the candidates by their use for the step, the best first, and returns
// how many of them to name.
size_t Planner::ChooseWorkersToName(const WaitingStep& step,
                                    const AdviceGoal& goal,
                                    std::span<AdviceCandidate> candidates) {
  using Ranked =
      std::pair<std::tuple<bool, bool, PlacementCost>, AdviceCandidate>;
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const AdviceCandidate& it : candidates) {
    ranked.push_back({{it.fitting == 0, it.worker->was_reserved_for != step.key,
                       CostOf(step, *it.worker)},
                      it});
  }
  const size_t most_tasks_named =
      std::clamp(kWorkersPerTask * step.MissingTasks(), kMinWorkersPerRequest,
                 kMaxWorkersPerRequest);
  const size_t sorted = step.spec->is_gang
                            ? ranked.size()
                            : std::min(ranked.size(), most_tasks_named);
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<long>(sorted),
                            {}, &Ranked::first);
  std::ranges::copy(ranked | std::views::values, candidates.begin());
  return step.spec->is_gang ? CountForCapacity(step, goal, candidates) : sorted;
}

// Returns how many of the first candidates have the capacity that is wanted for
// the gang.
size_t Planner::CountForCapacity(const WaitingStep& step,
                                 const AdviceGoal& goal,
                                 std::span<const AdviceCandidate> candidates) {
  double missing = goal.capacity;
  size_t named = 0;
  while (named < candidates.size() &&
         (missing > 0 || named < kMinWorkersPerGangRequest)) {
    const Resources& capacity = candidates[named].worker->info().capacity;
    missing -= static_cast<double>(CountFitting(step, capacity));
    ++named;
  }
  return named;
}

// Requests advice on the best candidates and claims capacity for tasks on them.
// Only single tasks of a step that is ready keep their claims from other work
// until the answer comes: a gang's query takes too long, and a step that isn't
// ready couldn't use the capacity.
void Planner::AddAdviceRequest(const WaitingStep& step,
                               std::vector<AdviceCandidate> candidates,
                               const AdviceGoal& goal) {
  candidates.resize(ChooseWorkersToName(step, goal, candidates));
  AdviceRequest request;
  request.step = step.key;
  request.queue = step.job->queue;
  request.policy = step.queue->advice;
  request.has_capacity = goal.claimed > 0;
  const bool is_held = step.is_ready && !step.spec->is_gang;
  double missing = goal.claimed;
  for (const AdviceCandidate& it : candidates) {
    request.candidates.push_back(it.worker->boot());
    CapacityClaim claim{it.worker->boot(), 0, {}};
    for (; claim.tasks < it.fitting && missing > 0; --missing) {
      ++claim.tasks;
      claim.amount += step.spec->Charge();
      if (is_held) {
        it.worker->free_capacity -= step.spec->Charge();
      } else {
        it.worker->claimed_for_advice += step.spec->Charge();
      }
    }
    if (is_held && claim.tasks > 0) {
      request.claims.push_back(std::move(claim));
    }
  }
  plan_.advice_requests.push_back(std::move(request));
}

}  // namespace sassafras::jobs
