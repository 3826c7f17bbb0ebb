// The answering side of the streams between processes.

#ifndef PEER_SERVER_H_
#define PEER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "net/caller_watch.h"

namespace sassafras::peer {

enum class ServerError { kNone, kCannotListen };
using ServerReason = base::Reason<ServerError>;

// Answers one call; thread-safe, the first use counts. Statuses are those of
// HTTP; 200 is a success.
struct Respond {
  std::function<void(int status, std::string body)> send;
  // Goes off once the stream or its connection has ended.
  std::shared_ptr<net::CallerWatch> watch;

  void operator()(int status, std::string body) const {
    send(status, std::move(body));
  }
};

// `method` is the name given to Channel::Call. Called on any traffic thread.
using Handler =
    std::function<void(std::string method, std::string body, Respond respond)>;

struct ServerOptions {
  std::string address;  // IP number
  uint16_t port = 0;    // 0: any free port
  std::string secret;   // calls without it are refused with status 403
  size_t max_body_bytes = 64 << 20;
  // A connection on which nothing arrived for this long while calls were open
  // is dropped.
  base::Duration silence_limit = std::chrono::milliseconds(800);
  // The same without open calls; their callers send pings less often.
  base::Duration idle_silence_limit = std::chrono::milliseconds(4000);
};

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

  // Closes the listener and every connection.
  void Close();

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::peer

#endif  // PEER_SERVER_H_
