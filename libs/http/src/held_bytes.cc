// Shares by size.

#include "held_bytes.h"

namespace sassafras::http {

std::vector<HeldBytes::Id> HeldBytes::Set(Id id,
                                          size_t bytes,
                                          bool is_evictable) {
  Remove(id);
  if (bytes == 0) {
    return {};
  }
  shares_.emplace(id, Share{bytes, is_evictable});
  total_ += bytes;
  if (is_evictable) {
    evictable_.emplace(~bytes, id);
  }
  std::vector<Id> evicted;
  while (total_ > max_bytes_ && !evictable_.empty()) {
    evicted.push_back(evictable_.begin()->second);
    Remove(evicted.back());
  }
  return evicted;
}

void HeldBytes::Remove(Id id) {
  const auto it = shares_.find(id);
  if (it != shares_.end()) {
    total_ -= it->second.bytes;
    evictable_.erase({~it->second.bytes, id});
    shares_.erase(it);
  }
}

}  // namespace sassafras::http
