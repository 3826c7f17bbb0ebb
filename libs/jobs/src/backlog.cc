// Keeps sums of waiting work by pool, class, customer and due time.

#include "jobs/backlog.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <tuple>

namespace sassafras::jobs {
namespace {

// Tasks that are smaller than this part of a worker count as alike.
constexpr uint8_t kMaxSizeLevel = 12;

int64_t DateOf(base::Instant at) {
  return std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch())
      .count();
}

}  // namespace

bool CanBeTooLate(const JobSpec& spec) {
  return !spec.IsRecurring() &&
         std::ranges::none_of(spec.steps, [](const StepSpec& it) {
           return it.is_lasting || it.is_filler;
         });
}

uint8_t SizeLevelOf(const Resources& charge, const Resources& largest_worker) {
  uint8_t level = kMaxSizeLevel;
  for (const auto kind : kResourceKinds) {
    uint8_t n = 0;
    while (n < level && charge.*kind <= (largest_worker.*kind >> (n + 1))) {
      ++n;
    }
    level = n;
  }
  return level;
}

void Backlog::Clear() {
  pools_.clear();
  items_.clear();
  phase_ends_.clear();
}

void Backlog::Put(const StepKey& key, const Item& item) {
  Remove(key);
  Entry entry{item};
  if (now_ > item.dates.last_useful_start) {
    entry.phase = Phase::kMissed;
  } else if (now_ > item.dates.last_start_for_objective) {
    entry.phase = Phase::kUseful;
  }
  AddTo(pools_[item.pool][KeyOf(item)], entry);
  if (entry.phase != Phase::kMissed) {
    phase_ends_.emplace(EndOfPhase(entry), key);
  }
  items_.emplace(key, std::move(entry));
}

void Backlog::Remove(const StepKey& key) {
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return;
  }
  const Entry& entry = it->second;
  const auto pool = pools_.find(entry.item.pool);
  const auto section = pool->second.find(KeyOf(entry.item));
  RemoveFrom(section->second, entry);
  if (section->second.items == 0) {
    pool->second.erase(section);
  }
  if (pool->second.empty()) {
    pools_.erase(pool);
  }
  phase_ends_.erase({EndOfPhase(entry), key});
  items_.erase(it);
}

void Backlog::RemoveJob(const wire::JobId& job) {
  auto it = items_.lower_bound({job, 0, 0});
  while (it != items_.end() && it->first.job == job) {
    const StepKey key = it->first;
    ++it;
    Remove(key);
  }
}

void Backlog::AdvanceTo(base::Instant now) {
  now_ = now;
  while (!phase_ends_.empty() && phase_ends_.begin()->first < now) {
    const StepKey key = phase_ends_.begin()->second;
    const Item item = items_.at(key).item;
    Put(key, item);
  }
}

std::map<CustomerId, Backlog::Ahead> Backlog::WorkAheadOf(const Item& item,
                                                          DueBy due_by) const {
  std::map<CustomerId, Ahead> ahead;
  const auto pool = pools_.find(item.pool);
  if (pool == pools_.end()) {
    return ahead;
  }
  for (const auto& [key, section] : pool->second) {
    Ahead& of_customer = ahead[key.customer];
    if (key.size_level >= item.size_level) {
      AddAhead(item, due_by, key, section, of_customer);
    }
  }
  return ahead;
}

// What is too late for any use goes after all other work that isn't in excess.
void Backlog::AddAhead(const Item& item,
                       DueBy due_by,
                       const SectionKey& key,
                       const Section& section,
                       Ahead& ahead) {
  const std::tuple other(key.is_excess, key.priority);
  const std::tuple own(item.is_excess, item.priority);
  if (other < own) {
    ahead.first += section.by_due.Total();
  } else if (other == own && due_by == DueBy::kObjective) {
    ahead.shared += section.by_due.SumBefore(DateOf(item.dates.objective));
  } else if (other == own) {
    ahead.shared +=
        section.by_last_use.SumBefore(DateOf(item.dates.last_useful));
  }
  if (!key.is_excess && item.is_excess) {
    ahead.first += section.missed;
  }
}

Backlog::SectionKey Backlog::KeyOf(const Item& item) {
  return {item.is_excess, item.priority, item.customer, item.size_level};
}

base::Instant Backlog::EndOfPhase(const Entry& entry) {
  return entry.phase == Phase::kInTime
             ? entry.item.dates.last_start_for_objective
             : entry.item.dates.last_useful_start;
}

void Backlog::AddTo(Section& section, const Entry& entry) {
  const Item& item = entry.item;
  ++section.items;
  if (entry.phase == Phase::kMissed) {
    section.missed += item.work;
    return;
  }
  section.by_due.Add(
      DateOf(entry.phase == Phase::kInTime ? item.dates.objective
                                           : item.dates.last_useful),
      item.work);
  section.by_last_use.Add(DateOf(item.dates.last_useful), item.work);
}

void Backlog::RemoveFrom(Section& section, const Entry& entry) {
  const Item& item = entry.item;
  --section.items;
  if (entry.phase == Phase::kMissed) {
    section.missed -= item.work;
    return;
  }
  section.by_due.Remove(
      DateOf(entry.phase == Phase::kInTime ? item.dates.objective
                                           : item.dates.last_useful),
      item.work);
  section.by_last_use.Remove(DateOf(item.dates.last_useful), item.work);
}

}  // namespace sassafras::jobs
