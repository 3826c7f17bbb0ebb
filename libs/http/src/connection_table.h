// Which connections of one port are open, and which of them is closed to make
// room for a new one. Has no I/O and no clock.

#ifndef HTTP_SRC_CONNECTION_TABLE_H_
#define HTTP_SRC_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace sassafras::http {

// What a connection waits for.
enum class ConnectionPhase {
  kIdle,        // for its client: the first byte of a request
  kUnfinished,  // for its client: the rest of a request
  kInProgress   // for the answer, or for its client to take the answer
};

// Not thread-safe.
class ConnectionTable {
 public:
  using Id = uint64_t;  // 0 is no connection; never used twice

  struct Admission {
    Id id = 0;        // 0: refused, as all others have a request in progress
    Id replaced = 0;  // to be closed; no longer in the table
  };

  explicit ConnectionTable(size_t max_connections)
      : max_connections_(max_connections) {}

  // Adds a connection that is idle since `now`. At the limit it replaces the
  // one that has waited longest for its client.
  Admission Admit(base::Instant now);

  // The connection enters a phase. A connection waits for its client since it
  // entered kIdle or kUnfinished: bytes that arrive within a phase don't count,
  // or clients that send a byte at a time would outlast the others. Returns
  // false if the connection is no longer in the table.
  bool Enter(Id id, ConnectionPhase phase, base::Instant now);

  void Remove(Id id);

  // Removes the connections that have been idle since `instant` or longer and
  // returns them.
  std::vector<Id> RemoveIdleSince(base::Instant instant);

  size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    ConnectionPhase phase = ConnectionPhase::kIdle;
    base::Instant since;
  };

  const size_t max_connections_;
  Id last_id_ = 0;
  std::unordered_map<Id, Connection> connections_;
  // Those that wait for their clients, the longest wait first.
  std::set<std::pair<base::Instant, Id>> waiting_;
};

}  // namespace sassafras::http

#endif  // HTTP_SRC_CONNECTION_TABLE_H_
