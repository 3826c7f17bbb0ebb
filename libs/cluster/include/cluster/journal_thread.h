// The thread that writes the log: takes persist requests in order, makes as
// many as are waiting durable with one sync, and reports the last one.

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

class JournalThread {
 public:
  struct Callbacks {
    // Run on the journal's thread.
    std::function<void(consensus::Sequence)> on_synced;
    std::function<void(std::string)> on_failed;  // nothing is written after it
  };

  // `write_time` gets the time of each batch, its sync included.
  JournalThread(storage::Journal journal,
                Callbacks callbacks,
                telemetry::Histogram& write_time);
  // Writes what is waiting, then joins.
  ~JournalThread();
  JournalThread(const JournalThread&) = delete;
  JournalThread& operator=(const JournalThread&) = delete;

  void Add(consensus::PersistRequest request);

 private:
  void Run();
  bool Write(const std::vector<consensus::PersistRequest>& batch);

  storage::Journal journal_;  // used by the thread only
  const Callbacks callbacks_;
  telemetry::Histogram& write_time_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<consensus::PersistRequest> waiting_;  // guarded by mutex_
  bool is_stopping_ = false;                        // guarded by mutex_
  std::thread thread_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_JOURNAL_THREAD_H_
