// Quotas are rounded by the largest remainder method and then assigned to
// upstreams in four passes: slots of the last split in the entry's zone, free
// slots in its zone, slots of the last split in other zones, other free slots.

#include "grant_split.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <utility>

namespace sassafras::routing {
namespace {

// Added to each entry's demand, in slots, so that idle entries share the rest.
constexpr double kBaseDemand = 0.5;
// A quota may differ from its ideal by this many slots plus this fraction of
// the ideal before it is changed.
constexpr double kQuotaSlack = 1.0;
constexpr double kQuotaSlackFraction = 0.1;

std::vector<double> IdealQuotas(const std::vector<SplitEntry>& entries,
                                uint32_t slots) {
  const auto stays = [](const SplitEntry& it) { return !it.is_leaving; };
  const auto count = std::ranges::count_if(entries, stays);
  const double floor = slots >= count ? 1.0 : 0.0;
  double sum = 0;
  for (const SplitEntry& it : entries) {
    sum += it.is_leaving ? 0 : it.demand + kBaseDemand;
  }
  const double rest = slots - floor * static_cast<double>(count);
  std::vector<double> ideal;
  for (const SplitEntry& it : entries) {
    ideal.push_back(
        it.is_leaving ? 0 : floor + rest * (it.demand + kBaseDemand) / sum);
  }
  return ideal;
}

// True if the last quotas exceed every entry's demand with some slack. Moving
// the surplus slots isn't worthwhile then, even if some entries report or
// measure their demand late.
bool AllQuotasSuffice(const std::vector<SplitEntry>& entries, uint32_t slots) {
  uint32_t sum = 0;
  for (const SplitEntry& it : entries) {
    const double sufficient =
        kQuotaSlack + (1 + kQuotaSlackFraction) * it.demand;
    if (it.is_leaving ? it.last_quota > 0 : it.last_quota < sufficient) {
      return false;
    }
    sum += it.last_quota;
  }
  return sum == slots;
}

bool IsCloseToIdeal(const std::vector<SplitEntry>& entries,
                    const std::vector<double>& ideal,
                    uint32_t slots) {
  uint32_t sum = 0;
  for (size_t n = 0; n < entries.size(); ++n) {
    const double last = entries[n].last_quota;
    const double slack = kQuotaSlack + kQuotaSlackFraction * ideal[n];
    if (std::abs(last - ideal[n]) > slack || (last < 1 && ideal[n] >= 1) ||
        (last > 0 && entries[n].is_leaving)) {
      return false;
    }
    sum += entries[n].last_quota;
  }
  return sum == slots;
}

// Assigns the slots of upstreams to entries. Invariant: no upstream's free
// count drops below zero and no entry gets more than its quota.
class SlotAssigner {
 public:
  SlotAssigner(const std::vector<SplitEntry>& entries,
               const std::vector<SplitUpstream>& upstreams,
               const std::vector<uint32_t>& quotas)
      : entries_(entries),
        upstreams_(upstreams),
        quotas_(quotas),
        missing_(quotas),
        result_(entries.size(), std::vector<uint32_t>(upstreams.size(), 0)) {
    std::ranges::transform(upstreams, std::back_inserter(free_),
                           &SplitUpstream::slots);
  }

  void KeepLast(const Split& last, bool is_in_zone) {
    for (size_t entry = 0; entry < entries_.size(); ++entry) {
      KeepLastOfEntry(entry, last[entry], is_in_zone);
    }
  }

  // Assigns free slots one at a time to the entry that misses the largest
  // fraction of its quota.
  void AssignFree(bool is_in_zone) {
    std::vector<bool> is_done(entries_.size(), false);
    while (true) {
      const size_t entry = EntryWithLargestDeficit(is_done);
      if (entry == entries_.size()) {
        return;
      }
      const size_t upstream = UpstreamWithMostFree(entry, is_in_zone);
      if (upstream == upstreams_.size()) {
        is_done[entry] = true;
      } else {
        Assign(entry, upstream, 1);
      }
    }
  }

  Split Take() { return std::move(result_); }

 private:
  bool Matches(size_t entry, size_t upstream, bool is_in_zone) const {
    return (entries_[entry].zone == upstreams_[upstream].zone) == is_in_zone;
  }

  void Assign(size_t entry, size_t upstream, uint32_t slots) {
    missing_[entry] -= slots;
    free_[upstream] -= slots;
    result_[entry][upstream] += slots;
  }

  // Keeps one slot per upstream in each round, so that a smaller quota takes
  // slots evenly from all upstreams.
  void KeepLastOfEntry(size_t entry,
                       const std::vector<uint32_t>& last,
                       bool is_in_zone) {
    bool has_kept = true;
    while (has_kept && missing_[entry] > 0) {
      has_kept = false;
      for (size_t n = 0; n < last.size() && missing_[entry] > 0; ++n) {
        if (Matches(entry, n, is_in_zone) && free_[n] > 0 &&
            result_[entry][n] < last[n]) {
          Assign(entry, n, 1);
          has_kept = true;
        }
      }
    }
  }

  bool HasLargerDeficit(size_t a, size_t b) const {
    return uint64_t{missing_[a]} * quotas_[b] >
           uint64_t{missing_[b]} * quotas_[a];
  }

  size_t EntryWithLargestDeficit(const std::vector<bool>& is_done) const {
    size_t best = entries_.size();
    for (size_t n = 0; n < entries_.size(); ++n) {
      if (!is_done[n] && missing_[n] > 0 &&
          (best == entries_.size() || HasLargerDeficit(n, best))) {
        best = n;
      }
    }
    return best;
  }

  // Starts the search at the entry's own index and prefers the first upstream
  // among equally free ones, so that entries start on different upstreams.
  size_t UpstreamWithMostFree(size_t entry, bool is_in_zone) const {
    size_t best = upstreams_.size();
    for (size_t k = 0; k < upstreams_.size(); ++k) {
      const size_t n = (entry + k) % upstreams_.size();
      if (free_[n] > 0 && Matches(entry, n, is_in_zone) &&
          (best == upstreams_.size() || free_[n] > free_[best])) {
        best = n;
      }
    }
    return best;
  }

  const std::vector<SplitEntry>& entries_;
  const std::vector<SplitUpstream>& upstreams_;
  const std::vector<uint32_t>& quotas_;
  std::vector<uint32_t> missing_;
  std::vector<uint32_t> free_;
  Split result_;
};

// Returns weighted max-min fair amounts. No owner gets more than it requested.
std::vector<double> MaxMinFairAmounts(const std::vector<OwnerLoad>& owners,
                                      const std::vector<double>& requested,
                                      double slots) {
  std::vector<size_t> order(owners.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {},
                    [&](size_t n) { return requested[n] / owners[n].weight; });
  double weights = 0;
  for (const OwnerLoad& it : owners) {
    weights += it.weight;
  }
  std::vector<double> amounts(owners.size(), 0);
  for (const size_t n : order) {
    amounts[n] = std::min(requested[n], slots * owners[n].weight / weights);
    slots -= amounts[n];
    weights -= owners[n].weight;
  }
  return amounts;
}

// Rounds by the largest remainder method.
std::vector<uint32_t> RoundQuotas(const std::vector<SplitEntry>& entries,
                                  const std::vector<double>& ideal,
                                  uint32_t slots) {
  std::vector<uint32_t> quotas;
  std::ranges::transform(ideal, std::back_inserter(quotas),
                         [](double it) { return static_cast<uint32_t>(it); });
  const uint32_t sum = std::accumulate(quotas.begin(), quotas.end(), 0U);
  std::vector<size_t> order(entries.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, std::greater(), [&](size_t n) {
    return ideal[n] - std::floor(ideal[n]);
  });
  uint32_t left = slots > sum ? slots - sum : 0;
  for (const size_t n : order) {
    if (left > 0 && !entries[n].is_leaving) {
      ++quotas[n];
      --left;
    }
  }
  return quotas;
}

// Moves the last quotas towards `wanted` one slot at a time. Takes slots from
// the entries with the largest excess, then gives slots to entries that have
// none but should, and then to those with the largest deficit. The result uses
// all slots, as `wanted` does.
std::vector<uint32_t> MoveTowards(const std::vector<uint32_t>& wanted,
                                  const std::vector<SplitEntry>& entries,
                                  uint32_t slots,
                                  uint32_t max_moved) {
  std::vector<uint32_t> quotas;
  std::ranges::transform(
      entries, std::back_inserter(quotas),
      [](const SplitEntry& it) { return it.is_leaving ? 0 : it.last_quota; });
  const auto excess = [&](size_t n) {
    return int64_t{quotas[n]} - int64_t{wanted[n]};
  };
  const auto need = [&](size_t n) {
    return std::pair(quotas[n] == 0 && wanted[n] > 0, -excess(n));
  };
  const auto all = std::views::iota(size_t{0}, entries.size());
  uint32_t sum = std::accumulate(quotas.begin(), quotas.end(), 0U);
  uint32_t removable = max_moved + (sum > slots ? sum - slots : 0);
  for (; removable > 0 && !entries.empty(); --removable) {
    const size_t n = *std::ranges::max_element(all, {}, excess);
    if (excess(n) <= 0) {
      break;
    }
    --quotas[n];
    --sum;
  }
  for (; sum < slots && !entries.empty(); ++sum) {
    const size_t n = *std::ranges::max_element(all, {}, need);
    if (excess(n) >= 0) {
      break;
    }
    ++quotas[n];
  }
  return quotas;
}

}  // namespace

std::vector<double> FairDemand(const std::vector<OwnerLoad>& owners,
                               size_t entries,
                               double slots) {
  std::vector<double> requested;
  std::ranges::transform(
      owners, std::back_inserter(requested), [](const OwnerLoad& it) {
        return std::accumulate(it.by_entry.begin(), it.by_entry.end(), 0.0);
      });
  const std::vector<double> amounts =
      MaxMinFairAmounts(owners, requested, slots);
  std::vector<double> demand(entries, 0);
  for (size_t n = 0; n < owners.size(); ++n) {
    for (size_t entry = 0; requested[n] > 0 && entry < entries; ++entry) {
      demand[entry] += owners[n].by_entry[entry] * amounts[n] / requested[n];
    }
  }
  return demand;
}

std::vector<uint32_t> Quotas(const std::vector<SplitEntry>& entries,
                             uint32_t slots,
                             uint32_t max_moved) {
  const std::vector<double> ideal = IdealQuotas(entries, slots);
  if (AllQuotasSuffice(entries, slots) ||
      IsCloseToIdeal(entries, ideal, slots)) {
    std::vector<uint32_t> quotas;
    std::ranges::transform(entries, std::back_inserter(quotas),
                           &SplitEntry::last_quota);
    return quotas;
  }
  return MoveTowards(RoundQuotas(entries, ideal, slots), entries, slots,
                     max_moved);
}

Split SplitSlots(const std::vector<SplitEntry>& entries,
                 const std::vector<SplitUpstream>& upstreams,
                 const std::vector<uint32_t>& quotas,
                 const Split& last) {
  SlotAssigner assigner(entries, upstreams, quotas);
  assigner.KeepLast(last, true);
  assigner.AssignFree(true);
  assigner.KeepLast(last, false);
  assigner.AssignFree(false);
  return assigner.Take();
}

}  // namespace sassafras::routing
