// Finds workers with enough free capacity for a task without a linear scan.
//
// Workers are kept in one search tree per availability zone and number of free
// accelerators, ordered by free processors. Each node stores the maximum free
// memory of its subtree. In each tree, the worker with the fewest free
// processors that can hold a task is found in O(log n). If a task fits on any
// worker, one is found.

#ifndef PLACEMENT_WORKER_INDEX_H_
#define PLACEMENT_WORKER_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "base/random.h"
#include "wire/resources.h"

namespace sassafras::placement {

class WorkerIndex {
 public:
  using Slot = uint32_t;  // worker number, chosen by the user of the index

  struct Query {
    wire::Resources need;
    std::optional<uint32_t> zone;  // nullopt: all zones
    uint32_t limit = 1;            // number of workers to find, at least 1
    // Whether a task that needs no accelerators may use workers with free ones.
    bool may_use_accelerator_hosts = true;
    // The search continues until it finds a worker that isn't in this list.
    std::span<const Slot> avoid;
  };

  explicit WorkerIndex(uint64_t seed) : random_(seed) {}

  // Adds or updates a worker. `free` must not be negative in any dimension.
  void Put(Slot slot,
           uint32_t zone,
           const wire::Resources& free,
           bool has_accelerators);
  void Erase(Slot slot);

  // Appends workers with enough free capacity for `query.need` to `found`.
  // Levels are searched from the fewest free accelerators up, starting with
  // workers that have no accelerators at all if the task needs none. Stops
  // after the first level with a worker that isn't in `query.avoid`.
  void Find(const Query& query, std::vector<Slot>& found) const;

  // Sum of the free capacity of all workers in the index.
  const wire::Resources& total_free() const { return total_free_; }

 private:
  static constexpr Slot kNil = UINT32_MAX;

  struct Node {
    bool is_present = false;
    uint32_t zone = 0;
    uint32_t level = 0;
    wire::Resources free;
    int64_t max_memory = 0;      // maximum free memory in this node's subtree
    uint64_t heap_priority = 0;  // random treap priority
    Slot left = kNil;
    Slot right = kNil;
  };

  using Key = std::pair<int64_t, Slot>;  // free processors, then slot

  Key KeyOf(Slot slot) const { return {nodes_[slot].free.milli_cpus, slot}; }
  int64_t MaxMemory(Slot slot) const;
  void UpdateMaxMemory(Slot slot);
  // Splits the tree into keys below `key` and all others.
  std::pair<Slot, Slot> Split(Slot root, const Key& key);
  Slot Merge(Slot left, Slot right);
  Slot Insert(Slot root, Slot slot);
  Slot Remove(Slot root, Slot slot);
  // Returns the node with the smallest key of at least `from` that has `memory`
  // free; kNil if there is none.
  Slot FindFirst(Slot root, const Key& from, int64_t memory) const;
  void Collect(Slot root,
               const wire::Resources& need,
               uint32_t limit,
               std::vector<Slot>& found) const;

  // Tree roots by level and zone. Level 0 holds workers that have no
  // accelerators at all, level n + 1 those with n free ones. Empty trees and
  // levels are removed.
  std::map<uint32_t, std::map<uint32_t, Slot>> roots_;
  std::vector<Node> nodes_;
  wire::Resources total_free_;
  base::Random random_;
};

}  // namespace sassafras::placement

#endif  // PLACEMENT_WORKER_INDEX_H_
