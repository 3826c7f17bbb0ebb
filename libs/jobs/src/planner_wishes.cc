// Which questions a plan wants answered.

#include <algorithm>
#include <utility>

#include "planner.h"

namespace sassafras::jobs {
namespace {

// Workers named in one wish for advice.
constexpr size_t kMaxCandidates = 50;
constexpr size_t kMaxEagerWishes = 4;
// Independent tasks need few workers of many, and the answer comes sooner; a
// gang needs room for all its members on allowed workers.
constexpr size_t kFewestNamed = 16;
constexpr size_t kNamedPerTask = 4;

size_t CountToName(const WaitingStep& step) {
  if (step.spec->is_gang) {
    return kMaxCandidates;
  }
  const size_t tasks =
      step.record->tasks.size() - step.record->done - step.record->open;
  return std::clamp(kNamedPerTask * tasks, kFewestNamed, kMaxCandidates);
}

}  // namespace

// A wish that no host could ask for costs as much as one that is asked.
bool Planner::CanAskAbout(const WaitingStep& step) const {
  const AdvicePolicy& policy = step.queue->advice;
  return policy.is_required && !advice_.IsAsked(step.key) &&
         plan_.wishes.size() + HostsSpared(policy) < idle_advisers_;
}

// Asks only where the answer can be used: the tickets run out before long,
// and every question keeps a host from asking another. What is wished for
// counts as taken for the wishes that rank behind. A few steps may ask
// without room, to learn early which workers they may use.
void Planner::Wish(const WaitingStep& step) {
  std::vector<Nominee> allowed;
  std::vector<Nominee> unknown;
  const bool is_new = !advice_.IsKnown(step.key);
  for (Candidate* worker : PoolOf(step)) {
    if (!IsEligible(step, *worker)) {
      continue;
    }
    const Standing standing =
        is_new ? Standing::kUnknown
               : advice_.StandingOf(step.key, worker->boot());
    if (standing == Standing::kRefused) {
      continue;
    }
    const size_t members = HasRoom(step, *worker)
                               ? MembersIn(step, worker->room - worker->wished)
                               : 0;
    auto& nominees = standing == Standing::kAllowed ? allowed : unknown;
    nominees.push_back({worker, members});
  }
  const size_t needed = step.spec->is_gang ? step.spec->count : 1;
  if (CountMembers(allowed) >= needed) {
    AddWish(step, std::move(allowed), needed);
  } else if (CountMembers(allowed) + CountMembers(unknown) >= needed &&
             CountMembers(unknown) > 0) {
    AddWish(step, std::move(unknown), needed);
  } else if (allowed.empty() && !unknown.empty() &&
             eager_wishes_ < kMaxEagerWishes) {
    ++eager_wishes_;
    AddWish(step, std::move(unknown), 0);
  }
}

size_t Planner::CountMembers(std::span<const Nominee> nominees) {
  size_t members = 0;
  for (const Nominee& it : nominees) {
    members += it.members;
  }
  return members;
}

// Names the best nominees, and claims room for `claimed` tasks on them.
void Planner::AddWish(const WaitingStep& step,
                      std::vector<Nominee> nominees,
                      size_t claimed) {
  using Ranked = std::pair<std::pair<bool, PlacementCost>, Nominee>;
  std::vector<Ranked> ranked;
  ranked.reserve(nominees.size());
  for (const Nominee& it : nominees) {
    ranked.push_back({{it.members == 0, CostOf(step, *it.worker)}, it});
  }
  const size_t named = std::min(ranked.size(), CountToName(step));
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<long>(named),
                            {}, &Ranked::first);
  ranked.resize(named);
  AdviceWish wish{step.key, step.queue->advice, {}, claimed > 0};
  for (const auto& [cost, it] : ranked) {
    wish.candidates.push_back(it.worker->boot());
    for (size_t n = std::min(claimed, it.members); n > 0; --n) {
      it.worker->wished += step.spec->Charge();
      --claimed;
    }
  }
  plan_.wishes.push_back(std::move(wish));
}

}  // namespace sassafras::jobs
