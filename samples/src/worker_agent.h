// One fake worker: heartbeats to the cluster and runs what it is told.

#ifndef SAMPLES_SRC_WORKER_AGENT_H_
#define SAMPLES_SRC_WORKER_AGENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "attempt_table.h"
#include "base/random.h"
#include "client/entry_client.h"
#include "ledger.h"
#include "wire/worker.h"

namespace sassafras::samples {

struct WorkerOptions {
  std::vector<client::Endpoint> entries;
  std::string token;
  wire::WorkerId id;
  wire::ZoneId zone;
  wire::RackId rack;
  wire::Resources capacity;
  base::Duration period = std::chrono::milliseconds(500);  // of heartbeats
  // How long a leaving worker waits for its attempts to end.
  base::Duration drain = std::chrono::milliseconds(5000);
  size_t first_entry = 0;
};

// What heartbeats cost; bytes are those of bodies.
struct HeartbeatCounts {
  uint64_t heartbeats = 0;
  uint64_t unanswered = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
  base::Duration longest{};  // from sending until the answer

  void Add(const HeartbeatCounts& other);
  std::string ToString() const;
};

// Runs on one thread, together with other agents.
class WorkerAgent {
 public:
  WorkerAgent(const boost::asio::any_io_executor& executor,
              WorkerOptions options,
              Ledger& ledger,
              uint64_t seed);

  // Runs until Leave() was called and nothing runs any more.
  boost::asio::awaitable<void> Run();

  // Announces leaving; Run() ends soon.
  void Leave();

  const HeartbeatCounts& counts() const { return counts_; }

 private:
  boost::asio::awaitable<void> Beat();
  boost::asio::awaitable<void> Wait();
  base::Duration NextPause();
  boost::asio::awaitable<void> SayGoodbye();
  boost::asio::awaitable<bool> Send(base::Duration limit);
  void WatchTable();
  void OnTableTimer();
  void Note(const std::vector<AttemptNote>& notes);
  void BeginRun();
  wire::WorkerHeartbeat MakeHeartbeat() const;

  WorkerOptions options_;
  Ledger& ledger_;
  base::Random random_;
  client::EntryClient client_;
  boost::asio::steady_timer beat_timer_;   // cut short when there is news
  boost::asio::steady_timer table_timer_;  // at the table's next event
  AttemptTable table_;
  wire::Incarnation incarnation_;
  uint64_t sequence_ = 0;
  HeartbeatCounts counts_;
  bool is_leaving_ = false;
  base::Instant left_at_;
};

// The machine's monotonic clock.
base::Instant Now();

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_WORKER_AGENT_H_
