// Chooses which attempts are evicted in favour of work with a stronger claim to
// their capacity.

#ifndef PLACEMENT_PREEMPTION_H_
#define PLACEMENT_PREEMPTION_H_

#include <optional>
#include <string>
#include <vector>

#include "plan_context.h"

namespace sassafras::placement {

// A worker and the attempts to end there to free enough capacity.
struct Eviction {
  Worker* worker = nullptr;
  std::vector<Task*> victims;
};

// The work that needs capacity, and what lets it preempt other work.
struct Preemptor {
  const Owner& owner;
  Rank rank = 0;
  bool is_entitled = false;  // its owner stays within its share, see IsEntitled
  bool is_starved = false;   // it waited at least Options::starvation_bound
};

// Whether the owner stays within its share and quota if it also gets `need`.
bool IsEntitled(const Cell& cell,
                const Owner& owner,
                const wire::Resources& need);

// Whether the victim may be evicted for the preemptor. These may be evicted:
// - work of the same owner with a lower priority, unless aging had raised it to
//   the preemptor's priority and it started recently;
// - for an entitled preemptor, work of an owner that is above its share;
// - for a starved preemptor, batch and gang work that has run for at least
//   Options::starvation_bound.
// The first two rules spare a recently started task with Task::is_protected,
// except that the second lets urgent work evict it.
bool MayEvict(const PlanContext& context,
              const Preemptor& preemptor,
              const Task& victim);

// Returns the attempts of the lowest priority on the worker whose end frees
// `need`. The list of victims is empty if evictions under way already free
// enough. Returns nullopt if evictions can't free enough.
std::optional<Eviction> FindVictimsOn(const PlanContext& context,
                                      const Preemptor& preemptor,
                                      Worker& worker,
                                      const wire::Resources& need);

// Evicts the victims, and the whole gang of each victim that belongs to one.
void EvictAll(PlanContext& context,
              const Eviction& eviction,
              const std::string& reason);

// Preempts other work for blocked services and urgent batch work at once, and
// for other batch work after Options::preemption_delay. The freed capacity is
// claimed for the waiting tasks.
void PreemptForBlocked(PlanContext& context);

}  // namespace sassafras::placement

#endif  // PLACEMENT_PREEMPTION_H_
