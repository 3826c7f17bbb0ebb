// Items of one kind in a versioned document, with the version that last changed
// each of them. Removed items are remembered, too.

#ifndef JOBS_VERSIONED_ITEMS_H_
#define JOBS_VERSIONED_ITEMS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ranges>
#include <utility>
#include <vector>

namespace sassafras::jobs {

// `Key` must be ordered and `Value` comparable. Not thread-safe.
template <typename Key, typename Value>
class VersionedItems {
 public:
  using Items = std::vector<std::pair<Key, Value>>;

  void Clear() {
    slots_.clear();
    changes_.clear();
    change_count_ = 0;
  }

  // Makes `items` the items of `version`, which must be higher than that of the
  // call before. Of items with the same key, any one is taken.
  void Assign(uint64_t version, Items items) {
    std::ranges::sort(items, {}, &Items::value_type::first);
    const auto duplicates =
        std::ranges::unique(items, {}, &Items::value_type::first);
    items.erase(duplicates.begin(), duplicates.end());
    auto slot = slots_.begin();
    for (auto& [key, value] : items) {
      while (slot != slots_.end() && slot->first < key) {
        Change(*slot++, std::nullopt, version);
      }
      if (slot == slots_.end() || key < slot->first) {
        slot = slots_.try_emplace(slot, key);
      }
      Change(*slot++, std::move(value), version);
    }
    for (; slot != slots_.end(); ++slot) {
      Change(*slot, std::nullopt, version);
    }
  }

  // Calls `visit` with each key that changed after version `base`, and its
  // value, which is null if the item was removed. `base` must not be lower than
  // the version up to which changes were forgotten.
  template <typename Visit>
  void VisitSince(uint64_t base, Visit visit) const {
    for (auto it = changes_.upper_bound(base); it != changes_.end(); ++it) {
      for (const Key& key : it->second) {
        const Slot& slot = slots_.at(key);
        if (slot.changed_in == it->first) {  // not changed again later
          visit(key, slot.value ? &*slot.value : nullptr);
        }
      }
    }
  }

  // Calls `visit` with each key and value that the items have now.
  template <typename Visit>
  void VisitAll(Visit visit) const {
    for (const auto& [key, slot] : slots_) {
      if (slot.value) {
        visit(key, *slot.value);
      }
    }
  }

  // Returns null if there is no such item now.
  const Value* Find(const Key& key) const {
    const auto it = slots_.find(key);
    return it != slots_.end() && it->second.value ? &*it->second.value
                                                  : nullptr;
  }

  // Forgets in which version items changed, up to `version`.
  void ForgetChanges(uint64_t version) {
    const auto end = changes_.upper_bound(version);
    for (auto it = changes_.begin(); it != end; ++it) {
      change_count_ -= it->second.size();
      for (const Key& key : it->second) {
        const auto slot = slots_.find(key);
        if (slot != slots_.end() && !slot->second.value &&
            slot->second.changed_in == it->first) {
          slots_.erase(slot);
        }
      }
    }
    changes_.erase(changes_.begin(), end);
  }

  // Returns the number of changes that are remembered.
  size_t change_count() const { return change_count_; }

 private:
  struct Slot {
    std::optional<Value> value;  // none if the item was removed
    uint64_t changed_in = 0;     // version
  };

  void Change(std::pair<const Key, Slot>& entry,
              std::optional<Value> value,
              uint64_t version) {
    Slot& slot = entry.second;
    if (slot.value == value) {
      return;
    }
    if (slot.changed_in != version) {
      slot.changed_in = version;
      changes_[version].push_back(entry.first);
      ++change_count_;
    }
    slot.value = std::move(value);
  }

  std::map<Key, Slot> slots_;
  // Keys by the version that changed them, in their order. A key is listed for
  // each version that changed it; all but the last are out of date.
  std::map<uint64_t, std::vector<Key>> changes_;
  size_t change_count_ = 0;  // keys in `changes_`
};

}  // namespace sassafras::jobs

#endif  // JOBS_VERSIONED_ITEMS_H_
