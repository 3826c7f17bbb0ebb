// Callbacks run outside the lock, so that they may use the watch.

#include "net/caller_watch.h"

#include <algorithm>
#include <utility>

namespace sassafras::net {

void CallerWatch::OnGone(std::function<void()> callback) {
  {
    const std::lock_guard lock(mutex_);
    if (!is_gone_) {
      callbacks_.push_back(std::move(callback));
      return;
    }
  }
  callback();
}

void CallerWatch::MarkGone() {
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard lock(mutex_);
    is_gone_ = true;
    callbacks = std::exchange(callbacks_, {});
  }
  std::ranges::for_each(callbacks, [](auto& it) { it(); });
}

}  // namespace sassafras::net
