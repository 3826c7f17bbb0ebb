// Keeps the starts of the last seconds.

#include "recent_starts.h"

namespace sassafras::jobs {

void RecentStarts::Add(const wire::ServiceId& pool,
                       const Resources& charge,
                       base::Instant now) {
  Pool& it = pools_[pool];
  while (!it.starts.empty() && now - it.starts.front().at >= kWindow) {
    it.sum -= it.starts.front().charge;
    it.starts.pop_front();
  }
  if (it.starts.empty() || it.starts.back().at != now) {
    it.starts.push_back({now, {}});
  }
  it.starts.back().charge += charge;
  it.sum += charge;
}

Resources RecentStarts::SumOf(const wire::ServiceId& pool,
                              base::Instant now) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return {};
  }
  Resources sum = it->second.sum;
  for (const Starts& old : it->second.starts) {
    if (now - old.at < kWindow) {
      break;
    }
    sum -= old.charge;
  }
  return sum;
}

}  // namespace sassafras::jobs
