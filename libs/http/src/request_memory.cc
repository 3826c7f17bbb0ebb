// Locks, and calls of those who lose their share.

#include "http/request_memory.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "held_bytes.h"
#include "http/message.h"

namespace sassafras::http {
namespace {

// Strings and lists grow by doubling. The bytes of a header are in the buffer
// and in the fields.
size_t NeedOf(const RequestLimits& limits) {
  constexpr size_t kGrowth = 2;
  constexpr size_t kReadBytes = 64 << 10;
  return kGrowth * (limits.max_body_bytes + limits.max_header_bytes +
                    limits.max_header_fields * sizeof(Headers::value_type)) +
         kReadBytes;
}

}  // namespace

struct RequestMemory::Impl {
  explicit Impl(size_t max_bytes) : held(max_bytes) {}

  mutable std::mutex mutex;
  HeldBytes held;                                           // by mutex
  std::unordered_map<HeldBytes::Id, std::function<void()>>  // by mutex
      holders;                // those that haven't been evicted
  HeldBytes::Id last_id = 0;  // by mutex
};

RequestMemory::RequestMemory(size_t max_bytes)
    : impl_(std::make_unique<Impl>(max_bytes)) {}
RequestMemory::~RequestMemory() = default;

std::shared_ptr<RequestMemory> RequestMemory::Create(
    size_t max_bytes,
    const RequestLimits& largest) {
  return std::shared_ptr<RequestMemory>(
      new RequestMemory(std::max(max_bytes, NeedOf(largest))));
}

size_t RequestMemory::total() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->held.total();
}

RequestMemory::Share::Share(std::shared_ptr<RequestMemory> memory,
                            std::function<void()> evict)
    : memory_(std::move(memory)) {
  Impl& impl = *memory_->impl_;
  const std::lock_guard lock(impl.mutex);
  id_ = ++impl.last_id;
  impl.holders.emplace(id_, std::move(evict));
}

RequestMemory::Share::~Share() {
  Impl& impl = *memory_->impl_;
  const std::lock_guard lock(impl.mutex);
  impl.held.Remove(id_);
  impl.holders.erase(id_);
}

bool RequestMemory::Share::Set(size_t bytes, bool is_evictable) {
  Impl& impl = *memory_->impl_;
  std::vector<std::function<void()>> evictions;
  bool is_granted = true;
  {
    const std::lock_guard lock(impl.mutex);
    if (!impl.holders.contains(id_)) {
      return false;
    }
    for (const HeldBytes::Id id : impl.held.Set(id_, bytes, is_evictable)) {
      auto it = impl.holders.extract(id);
      if (id == id_) {
        is_granted = false;
      } else {
        evictions.push_back(std::move(it.mapped()));
      }
    }
  }
  for (const auto& evict : evictions) {
    evict();
  }
  return is_granted;
}

}  // namespace sassafras::http
