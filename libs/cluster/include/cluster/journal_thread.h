// Thread that writes a replica's journal. It processes persist requests in
// order, makes all queued ones durable with a single sync (group commit), and
// reports the sequence number of the last one.

#ifndef CLUSTER_JOURNAL_THREAD_H_
#define CLUSTER_JOURNAL_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "consensus/types.h"
#include "storage/journal.h"
#include "telemetry/metrics.h"

namespace sassafras::cluster {

// Owns a journal and the thread that writes it. Enqueue() is thread-safe.
class JournalThread {
 public:
  // Both callbacks run on the journal's thread.
  struct Callbacks {
    // Called when all requests up to this sequence number are durable.
    std::function<void(consensus::Sequence)> on_synced;
    // Called with the error message when a write or sync failed. The thread
    // ends; later requests are not written.
    std::function<void(std::string)> on_failed;
  };

  // `write_time` records the duration of each batch, including its sync, and
  // must outlive the thread.
  JournalThread(storage::Journal journal,
                Callbacks callbacks,
                telemetry::Histogram& write_time);
  // Writes the queued requests, then joins the thread.
  ~JournalThread();
  JournalThread(const JournalThread&) = delete;
  JournalThread& operator=(const JournalThread&) = delete;

  // Queues a request and returns at once.
  void Enqueue(consensus::PersistRequest request);

 private:
  void Run();
  // Returns false after a failure, which it has reported to `on_failed`.
  bool WriteBatch(const std::vector<consensus::PersistRequest>& batch);

  storage::Journal journal_;  // used by the thread only
  const Callbacks callbacks_;
  telemetry::Histogram& write_time_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  // Guarded by mutex_.
  std::vector<consensus::PersistRequest> pending_requests_;
  bool is_stopping_ = false;  // guarded by mutex_
  std::thread thread_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_JOURNAL_THREAD_H_
