// One connection of the HTTP server: reads requests one by one and writes
// their answers in the same order.

#ifndef HTTP_SRC_SERVER_SESSION_H_
#define HTTP_SRC_SERVER_SESSION_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/server.h"
#include "server_connections.h"

namespace sassafras::http {

// Shared by all sessions of a server; outlives them.
struct ServerShared {
  ServerShared(ServerOptions given, Handler given_handler)
      : options(std::move(given)),
        handler(std::move(given_handler)),
        connections(options.max_connections, options.observer.on_closed) {}

  // Of requests that begin now.
  RequestLimits Limits() const {
    return options.current_limits
               ? Restrict(options.limits, options.current_limits())
               : options.limits;
  }

  const ServerOptions options;
  const Handler handler;
  ServerConnections connections;
  std::atomic<size_t> in_flight = 0;
  std::atomic<bool> closes_after_answers = false;
};

// Runs until the connection, which was added under `id`, ends. Only shutdown of
// the socket ends it early.
boost::asio::awaitable<void> ServeConnection(
    std::shared_ptr<ServerShared> shared,
    std::shared_ptr<boost::asio::ip::tcp::socket> socket,
    ConnectionTable::Id id);

}  // namespace sassafras::http

#endif  // HTTP_SRC_SERVER_SESSION_H_
