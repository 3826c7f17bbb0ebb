// Group commit: writes all queued requests and makes them durable with a single
// sync.

#include "cluster/journal_thread.h"

#include <algorithm>
#include <utility>

#include "kernel/kernel.h"

namespace sassafras::cluster {

JournalThread::JournalThread(storage::Journal journal,
                             Callbacks callbacks,
                             telemetry::Histogram& write_time)
    : journal_(std::move(journal)),
      callbacks_(std::move(callbacks)),
      write_time_(write_time) {
  thread_ = std::thread([this] { Run(); });
}

JournalThread::~JournalThread() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  work_available_.notify_one();
  thread_.join();
}

void JournalThread::Enqueue(consensus::PersistRequest request) {
  {
    const std::lock_guard lock(mutex_);
    pending_requests_.push_back(std::move(request));
  }
  work_available_.notify_one();
}

void JournalThread::Run() {
  while (true) {
    std::vector<consensus::PersistRequest> batch;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(
          lock, [this] { return is_stopping_ || !pending_requests_.empty(); });
      batch = std::exchange(pending_requests_, {});
    }
    if (batch.empty()) {
      return;  // Stopping, and all requests are written.
    }
    if (!WriteBatch(batch)) {
      return;
    }
    callbacks_.on_synced(batch.back().sequence);
  }
}

bool JournalThread::WriteBatch(
    const std::vector<consensus::PersistRequest>& batch) {
  storage::StorageReason why;
  const base::Instant start = kernel::MonotonicNow();
  const bool is_ok =
      std::ranges::all_of(
          batch, [&](auto& it) { return journal_.Persist(it, why); }) &&
      journal_.Sync(why);
  write_time_.Observe(kernel::MonotonicNow() - start);
  if (!is_ok) {
    callbacks_.on_failed(why.message);
  }
  return is_ok;
}

}  // namespace sassafras::cluster
