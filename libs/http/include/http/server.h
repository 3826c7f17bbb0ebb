// The HTTP/1.1 server towards callers, workers, upstreams and operators.

#ifndef HTTP_SERVER_H_
#define HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "http/message.h"
#include "http/request_limits.h"
#include "http/request_memory.h"
#include "net/caller_watch.h"

namespace sassafras::http {

enum class ServerError { kNone, kCannotListen };
using ServerReason = base::Reason<ServerError>;

// Answers one request; thread-safe, the first use counts.
struct Respond {
  std::function<void(Answer)> send;
  // Goes off once the caller has closed its side of the connection. The
  // request has to be answered all the same.
  std::shared_ptr<net::CallerWatch> watch;

  void operator()(Answer answer) const { send(std::move(answer)); }
};

// Called on any traffic thread, for whole requests only.
using Handler = std::function<void(Request, Respond)>;

// Reports what the server refuses and ends, by reasons that are literals of the
// code. Called on any traffic thread; members may be null.
struct ServerObserver {
  // A request was answered without reaching the handler; `reason` is the code
  // of the answer.
  std::function<void(std::string_view reason)> on_refused;
  // A connection was closed without an answer: "idle", "replaced" by a new one,
  // "no-room" for a new one, or "memory" that others needed.
  std::function<void(std::string_view reason)> on_closed;
};

struct ServerOptions {
  std::string address;  // IP number
  uint16_t port = 0;    // 0: any free port
  RequestLimits limits;
  // Returns narrower limits (see Restrict()) for requests that begin now.
  // Called on any traffic thread; may be null.
  std::function<RequestLimits()> current_limits;
  // Further connections replace the one that has waited longest for its client.
  size_t max_connections = 4096;
  // From the end of the header to the end of the body, and for the client to
  // take an answer.
  base::Duration body_timeout = std::chrono::seconds(30);
  // Answers that clients are slow to take count as memory of requests, and
  // their connections are closed if it is needed.
  bool counts_answers = false;
  // Shared with other servers; created if null.
  std::shared_ptr<RequestMemory> memory;
  ServerObserver observer;
};

// Malformed, oversized and slow input is answered with 400, 408, 413, 431 or,
// where requests together need too much memory, 503. The outcome is "not-run",
// as such a request doesn't reach the handler.
class Server {
 public:
  static std::unique_ptr<Server> Create(boost::asio::io_context& context,
                                        ServerOptions options,
                                        Handler handler,
                                        ServerReason& why);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t port() const;

  // Requests handed to the handler and not yet answered in full.
  size_t in_flight() const;

  // Connections open now.
  size_t connections() const;

  // From now on every answer closes its connection.
  void CloseAfterAnswers();

  // Stops accepting; connections with a request in progress are kept until it
  // has been answered.
  void StopListening();

  // Ends every connection at once.
  void Close();

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::http

#endif  // HTTP_SERVER_H_
