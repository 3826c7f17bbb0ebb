// Bookkeeping of permits, and the choice of questions and hosts.

#include "jobs/advice.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "erase_job.h"

namespace sassafras::jobs {
namespace {

// A ticket must outlive the commit and the order that carry it.
constexpr auto kTicketMargin = std::chrono::milliseconds(200);
constexpr auto kRetryPause = std::chrono::milliseconds(20);
constexpr auto kHostRest = std::chrono::milliseconds(500);
constexpr size_t kMaxNamed = 35;
// Questions that take longer leave the last hosts to quicker ones.
constexpr auto kSlowQuestion = std::chrono::milliseconds(100);
constexpr size_t kHostsForQuickQuestions = 2;

base::Duration TimeOf(const AdvicePolicy& policy, size_t workers) {
  const std::chrono::duration<double, std::milli> time(
      policy.decide_ms + policy.each_ms * static_cast<double>(workers));
  return std::chrono::duration_cast<base::Duration>(time);
}

}  // namespace

size_t HostsSpared(const AdvicePolicy& policy) {
  return TimeOf(policy, kMaxNamed) > kSlowQuestion ? kHostsForQuickQuestions
                                                   : 0;
}

const std::string* AdviceBook::Ticket(const StepKey& step,
                                      const WorkerBoot& worker,
                                      base::Instant now) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return nullptr;
  }
  const auto it = known->second.allowed.find(worker.id);
  const bool is_valid = it != known->second.allowed.end() &&
                        it->second.worker == worker &&
                        now < it->second.valid_until;
  return is_valid ? &it->second.ticket : nullptr;
}

std::vector<const WorkerBoot*> AdviceBook::Allowed(const StepKey& step,
                                                   base::Instant now) const {
  std::vector<const WorkerBoot*> allowed;
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return allowed;
  }
  for (const WorkerPermit& it : known->second.allowed | std::views::values) {
    if (now < it.valid_until) {
      allowed.push_back(&it.worker);
    }
  }
  return allowed;
}

Standing AdviceBook::StandingOf(const StepKey& step,
                                const WorkerBoot& worker) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return Standing::kUnknown;
  }
  const auto it = known->second.answered.find(worker.id);
  if (it == known->second.answered.end() || it->second != worker) {
    return Standing::kUnknown;
  }
  return known->second.allowed.contains(worker.id) ? Standing::kAllowed
                                                   : Standing::kRefused;
}

bool AdviceBook::IsAsked(const StepKey& step) const {
  const auto it = steps_.find(step);
  return it != steps_.end() && it->second.is_asked;
}

bool AdviceBook::IsKnown(const StepKey& step) const {
  const auto it = steps_.find(step);
  return it != steps_.end() && !it->second.answered.empty();
}

size_t AdviceBook::CountIdle(std::span<const wire::EntryId> hosts,
                             base::Instant now) const {
  return static_cast<size_t>(std::ranges::count_if(
      hosts, [&](auto& host) { return CanAsk(host, now); }));
}

std::vector<Asking> AdviceBook::Ask(std::span<const AdviceWish> wishes,
                                    std::span<const wire::EntryId> hosts,
                                    base::Instant now) {
  std::vector<wire::EntryId> idle;
  std::ranges::copy_if(hosts, std::back_inserter(idle),
                       [&](auto& host) { return CanAsk(host, now); });
  std::vector<Asking> askings;
  for (const AdviceWish& wish : wishes) {
    Known& known = steps_[wish.step];
    const bool is_useless = !wish.has_room && !known.answered.empty();
    if (known.is_asked || now < known.not_before || is_useless) {
      continue;
    }
    const auto workers = Unanswered(wish, known, now);
    const bool is_slow = TimeOf(wish.policy, workers.size()) > kSlowQuestion;
    const size_t kept = is_slow ? kHostsForQuickQuestions : 0;
    const size_t spared = hosts.size() > kept ? kept : 0;
    if (workers.empty() || idle.size() <= spared) {
      continue;
    }
    last_id_ = last_id_.Next();
    Asking asking{idle.back(),
                  {last_id_, wish.step, {}},
                  TimeOf(wish.policy, workers.size())};
    idle.pop_back();
    asking_.insert(asking.host);
    std::ranges::transform(workers, std::back_inserter(asking.question.workers),
                           &WorkerBoot::id);
    known.is_asked = true;
    sent_[last_id_] = {asking.host, wish.step, workers,
                       std::chrono::milliseconds(wish.policy.valid_ms)};
    askings.push_back(std::move(asking));
  }
  return askings;
}

// The workers worth a question: those that were never named, and those that
// are allowed but whose ticket has run out.
std::vector<WorkerBoot> AdviceBook::Unanswered(const AdviceWish& wish,
                                               const Known& known,
                                               base::Instant now) const {
  std::vector<WorkerBoot> fresh;
  std::vector<WorkerBoot> expired;
  for (const WorkerBoot& worker : wish.candidates) {
    const auto answered = known.answered.find(worker.id);
    if (answered == known.answered.end() || answered->second != worker) {
      fresh.push_back(worker);
      continue;
    }
    const auto it = known.allowed.find(worker.id);
    if (it != known.allowed.end() && now >= it->second.valid_until) {
      expired.push_back(worker);
    }
  }
  // Allowed workers are few and sure; strangers are asked about with them only
  // where none is known.
  std::vector<WorkerBoot>& named = expired.empty() ? fresh : expired;
  if (named.size() > kMaxNamed) {
    named.resize(kMaxNamed);
  }
  return named;
}

void AdviceBook::OnAnswer(QuestionId id,
                          std::span<const Permit> permits,
                          base::Instant now) {
  const auto node = sent_.extract(id);
  if (node.empty()) {
    return;
  }
  const Sent& sent = node.mapped();
  asking_.erase(sent.host);
  const auto step = steps_.find(sent.step);
  if (step == steps_.end()) {
    return;
  }
  Known& known = step->second;
  known.is_asked = false;
  for (const WorkerBoot& worker : sent.workers) {
    known.answered[worker.id] = worker;
    known.allowed.erase(worker.id);
    const auto permit = std::ranges::find(permits, worker.id, &Permit::worker);
    if (permit != permits.end()) {
      known.allowed[worker.id] = {worker, permit->ticket,
                                  now + sent.validity - kTicketMargin};
    }
  }
}

void AdviceBook::OnFailure(QuestionId id, base::Instant now) {
  const auto node = sent_.extract(id);
  if (node.empty()) {
    return;
  }
  asking_.erase(node.mapped().host);
  resting_[node.mapped().host] = now + kHostRest;
  const auto step = steps_.find(node.mapped().step);
  if (step != steps_.end()) {
    step->second.is_asked = false;
    step->second.not_before = now + kRetryPause;
  }
}

void AdviceBook::ForgetJob(const wire::JobId& job) {
  EraseJob(steps_, job, StepKey{job, 0, 0},
           [](auto& it) { return it.first.job; });
}

bool AdviceBook::CanAsk(const wire::EntryId& host, base::Instant now) const {
  const auto resting = resting_.find(host);
  if (resting != resting_.end() && now < resting->second) {
    return false;
  }
  return !asking_.contains(host);
}

}  // namespace sassafras::jobs
