// The open connections of one server.

#ifndef HTTP_SRC_SERVER_CONNECTIONS_H_
#define HTTP_SRC_SERVER_CONNECTIONS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>

#include "base/time.h"
#include "connection_table.h"

namespace sassafras::http {

// Thread-safe. Sockets are closed on their own executors.
class ServerConnections {
 public:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  // Called with the reason when the server ends a connection of its own accord.
  using OnClosed = std::function<void(std::string_view reason)>;

  ServerConnections(size_t max_connections, OnClosed on_closed)
      : table_(max_connections), on_closed_(std::move(on_closed)) {}

  // Returns 0 if there is no room; see ConnectionTable::Admit().
  ConnectionTable::Id Add(const Socket& socket);
  // See ConnectionTable::Enter(). A connection that gets false is being closed,
  // and mustn't begin a request.
  bool Enter(ConnectionTable::Id id, ConnectionPhase phase);
  void Remove(ConnectionTable::Id id);

  // Ends the connections that have been idle for `limit` or longer.
  void CloseIdle(base::Duration limit);
  // Ends a connection whose memory is needed.
  void Evict(ConnectionTable::Id id);
  void CloseAll();

  size_t size() const;

 private:
  // Called with mutex_ held.
  void Close(ConnectionTable::Id id, std::string_view reason);

  mutable std::mutex mutex_;
  ConnectionTable table_;                                    // by mutex_
  std::unordered_map<ConnectionTable::Id, Socket> sockets_;  // by mutex_
  const OnClosed on_closed_;                                 // may be null
};

}  // namespace sassafras::http

#endif  // HTTP_SRC_SERVER_CONNECTIONS_H_
