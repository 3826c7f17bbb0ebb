// One keep-alive HTTP/1.1 connection of a client program, as a coroutine.

#ifndef CLIENT_CONNECTION_H_
#define CLIENT_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/time.h"
#include "client/call.h"
#include "http/message.h"

namespace sassafras::client {

inline constexpr size_t kMaxAnswerBytes = 64 << 20;

// One request at a time. Uses the executor's thread only.
class Connection {
 public:
  Connection(const boost::asio::any_io_executor& executor, Endpoint endpoint);
  ~Connection();
  Connection(Connection&&) noexcept;
  Connection& operator=(Connection&&) noexcept;

  // Sends `request` and reads the whole answer, dialling where the connection
  // isn't open. After any error the connection is closed, so that a silent one
  // is never used twice. A connection that the server closed while idle is
  // dialled again once, if `may_repeat`.
  boost::asio::awaitable<std::optional<http::Answer>> Exchange(
      const http::Request& request,
      base::Duration limit,
      bool may_repeat,
      ClientReason& why);

  void Close();

  const Endpoint& endpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::client

#endif  // CLIENT_CONNECTION_H_
