// Computes how long a pool takes for the work before a job.

#include "jobs/wait_estimate.h"

#include <algorithm>
#include <limits>
#include <ranges>
#include <vector>

namespace sassafras::jobs {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

// Work that a customer's cap or share lets be done at an even rate at most.
struct Piece {
  Work work;
  double shortest_ms = 0;
};

// Returns the longest of the times that each resource needs at the rate
// `rate`. Amounts of 0 in `rate` don't limit.
double TimeAtRate(const Work& work, const Resources& rate) {
  double ms = 0;
  for (const auto kind : kResourceKinds) {
    if (rate.*kind > 0) {
      ms = std::max(ms, static_cast<double>(work.*kind) /
                            static_cast<double>(rate.*kind));
    }
  }
  return ms;
}

Work Scaled(const Work& work, double factor) {
  Work scaled;
  for (const auto kind : kResourceKinds) {
    scaled.*kind =
        static_cast<int64_t>(static_cast<double>(work.*kind) * factor);
  }
  return scaled;
}

// While the job's customer does its own backlog, each other customer gets as
// much more as its weight is higher. A job whose customer has no share waits
// for what others do within theirs.
void AddPieces(const WaitSituation& situation,
               double own_time_by_weight,
               const CustomerBacklog& it,
               std::vector<Piece>& pieces) {
  Work shared = it.shared;
  double share_ms = 0;
  if (it.weight > 0 && !it.is_own) {
    const double alone_ms = TimeAtRate(it.shared, situation.capacity);
    if (situation.weight > 0) {
      const double most_ms = it.weight * own_time_by_weight;
      shared =
          alone_ms <= most_ms ? shared : Scaled(shared, most_ms / alone_ms);
    } else {
      share_ms = alone_ms * situation.sum_of_weights / it.weight;
    }
  }
  Work all = it.first;
  all += shared;
  const double cap_ms = TimeAtRate(all, it.cap);
  // What it gets less than its cap while all wait, it can't make up for later.
  if (it.weight > 0 && !it.is_own && cap_ms > 0) {
    share_ms = TimeAtRate(shared, situation.capacity) *
               situation.sum_of_weights / it.weight;
  }
  pieces.push_back({it.first, cap_ms});
  pieces.push_back({shared, std::max(cap_ms, share_ms)});
}

// Returns the last time at which what can be done of the pieces fills the
// capacity. Steps down from above: the pieces that can't be done whole by the
// time found so far take their rates from the capacity instead.
double TimeFor(const std::vector<Piece>& pieces,
               int64_t Resources::*kind,
               int64_t capacity) {
  double ms = kNever;
  while (true) {
    double whole = 0;
    double rates = 0;
    for (const Piece& it : pieces) {
      const auto work = static_cast<double>(it.work.*kind);
      (it.shortest_ms <= ms ? whole : rates) +=
          it.shortest_ms <= ms ? work : work / it.shortest_ms;
    }
    if (whole <= 0) {
      return 0;
    }
    const double left = static_cast<double>(capacity) - rates;
    const double next = left > 0 ? whole / left : kNever;
    if (next >= ms) {
      return ms;
    }
    ms = next;
  }
}

}  // namespace

double LowestWaitMs(const WaitSituation& situation) {
  std::vector<Piece> pieces;
  double own_time_by_weight = 0;
  double own_ms = 0;
  for (const CustomerBacklog& it : situation.backlogs) {
    if (it.is_own && situation.weight > 0) {
      own_time_by_weight =
          TimeAtRate(it.shared, situation.capacity) / situation.weight;
    }
  }
  for (const CustomerBacklog& it : situation.backlogs) {
    AddPieces(situation, own_time_by_weight, it, pieces);
    if (it.is_own) {
      own_ms = pieces.back().shortest_ms;
    }
  }
  double ms = own_ms;
  for (const auto kind : kResourceKinds) {
    if (situation.need.*kind > 0) {
      ms = std::max(ms, TimeFor(pieces, kind, situation.capacity.*kind));
    }
  }
  return ms;
}

}  // namespace sassafras::jobs
