// The search trees are treaps, augmented with the maximum free memory of each
// subtree.

#include "worker_index.h"

#include <algorithm>
#include <limits>

namespace sassafras::placement {

void WorkerIndex::Put(Slot slot,
                      uint32_t zone,
                      const wire::Resources& free,
                      bool has_accelerators) {
  Erase(slot);
  if (slot >= nodes_.size()) {
    nodes_.resize(slot + 1);
  }
  Node& node = nodes_[slot];
  node.is_present = true;
  node.zone = zone;
  node.level =
      has_accelerators ? static_cast<uint32_t>(free.accelerators) + 1 : 0;
  node.free = free;
  node.max_memory = free.memory_mib;
  node.heap_priority = random_.Below(std::numeric_limits<uint64_t>::max());
  node.left = kNil;
  node.right = kNil;
  total_free_ += free;
  auto& roots = roots_[node.level];
  const auto it = roots.try_emplace(zone, kNil).first;
  it->second = Insert(it->second, slot);
}

void WorkerIndex::Erase(Slot slot) {
  if (slot >= nodes_.size() || !nodes_[slot].is_present) {
    return;
  }
  Node& node = nodes_[slot];
  const auto level = roots_.find(node.level);
  const auto tree = level->second.find(node.zone);
  tree->second = Remove(tree->second, slot);
  if (tree->second == kNil) {
    level->second.erase(tree);
  }
  if (level->second.empty()) {
    roots_.erase(level);
  }
  total_free_ -= node.free;
  node.is_present = false;
}

void WorkerIndex::Find(const Query& query, std::vector<Slot>& found) const {
  const bool needs_accelerators = query.need.accelerators > 0;
  const uint32_t first =
      needs_accelerators ? static_cast<uint32_t>(query.need.accelerators) + 1
                         : 0;
  for (auto it = roots_.lower_bound(first); it != roots_.end(); ++it) {
    if (!needs_accelerators && it->first > 1 &&
        !query.may_use_accelerator_hosts) {
      return;
    }
    const auto& zones = it->second;
    const auto per_zone = static_cast<uint32_t>(
        query.zone ? query.limit
                   : (query.limit + zones.size() - 1) / zones.size());
    const size_t before = found.size();
    for (const auto& [zone, root] : zones) {
      if (!query.zone || *query.zone == zone) {
        Collect(root, query.need, per_zone, found);
      }
    }
    const auto is_wanted = [&](Slot slot) {
      return std::ranges::find(query.avoid, slot) == query.avoid.end();
    };
    if (std::any_of(found.begin() + static_cast<int64_t>(before), found.end(),
                    is_wanted)) {
      return;
    }
  }
}

int64_t WorkerIndex::MaxMemory(Slot slot) const {
  return slot == kNil ? -1 : nodes_[slot].max_memory;
}

void WorkerIndex::UpdateMaxMemory(Slot slot) {
  Node& node = nodes_[slot];
  node.max_memory = std::max(
      {node.free.memory_mib, MaxMemory(node.left), MaxMemory(node.right)});
}

std::pair<WorkerIndex::Slot, WorkerIndex::Slot> WorkerIndex::Split(
    Slot root,
    const Key& key) {
  if (root == kNil) {
    return {kNil, kNil};
  }
  if (KeyOf(root) < key) {
    const auto [low, high] = Split(nodes_[root].right, key);
    nodes_[root].right = low;
    UpdateMaxMemory(root);
    return {root, high};
  }
  const auto [low, high] = Split(nodes_[root].left, key);
  nodes_[root].left = high;
  UpdateMaxMemory(root);
  return {low, root};
}

WorkerIndex::Slot WorkerIndex::Merge(Slot left, Slot right) {
  if (left == kNil || right == kNil) {
    return left == kNil ? right : left;
  }
  if (nodes_[left].heap_priority > nodes_[right].heap_priority) {
    nodes_[left].right = Merge(nodes_[left].right, right);
    UpdateMaxMemory(left);
    return left;
  }
  nodes_[right].left = Merge(left, nodes_[right].left);
  UpdateMaxMemory(right);
  return right;
}

WorkerIndex::Slot WorkerIndex::Insert(Slot root, Slot slot) {
  if (root == kNil) {
    return slot;
  }
  if (nodes_[slot].heap_priority > nodes_[root].heap_priority) {
    const auto [low, high] = Split(root, KeyOf(slot));
    nodes_[slot].left = low;
    nodes_[slot].right = high;
    UpdateMaxMemory(slot);
    return slot;
  }
  Node& node = nodes_[root];
  if (KeyOf(slot) < KeyOf(root)) {
    node.left = Insert(node.left, slot);
  } else {
    node.right = Insert(node.right, slot);
  }
  UpdateMaxMemory(root);
  return root;
}

WorkerIndex::Slot WorkerIndex::Remove(Slot root, Slot slot) {
  if (root == slot) {
    return Merge(nodes_[root].left, nodes_[root].right);
  }
  Node& node = nodes_[root];
  if (KeyOf(slot) < KeyOf(root)) {
    node.left = Remove(node.left, slot);
  } else {
    node.right = Remove(node.right, slot);
  }
  UpdateMaxMemory(root);
  return root;
}

WorkerIndex::Slot WorkerIndex::FindFirst(Slot root,
                                         const Key& from,
                                         int64_t memory) const {
  if (root == kNil || nodes_[root].max_memory < memory) {
    return kNil;
  }
  if (KeyOf(root) < from) {
    return FindFirst(nodes_[root].right, from, memory);
  }
  const Slot lower = FindFirst(nodes_[root].left, from, memory);
  if (lower != kNil) {
    return lower;
  }
  if (nodes_[root].free.memory_mib >= memory) {
    return root;
  }
  return FindFirst(nodes_[root].right, from, memory);
}

void WorkerIndex::Collect(Slot root,
                          const wire::Resources& need,
                          uint32_t limit,
                          std::vector<Slot>& found) const {
  Key from{need.milli_cpus, 0};
  for (uint32_t n = 0; n < limit; ++n) {
    const Slot slot = FindFirst(root, from, need.memory_mib);
    if (slot == kNil) {
      return;
    }
    found.push_back(slot);
    from = KeyOf(slot);
    ++from.second;
  }
}

}  // namespace sassafras::placement
