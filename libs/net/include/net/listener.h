// Listening on a TCP address and accepting for as long as it is open: the part
// that every server of the process shares.

#ifndef NET_LISTENER_H_
#define NET_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/reason.h"

namespace sassafras::net {

enum class ListenError { kNone, kCannotListen };
using ListenReason = base::Reason<ListenError>;

struct ListenOptions {
  std::string address;  // an IP number
  uint16_t port = 0;    // 0: any free port
};

// Thread safe.
class Listener {
 public:
  // Called on executor() with each new socket, which has a strand of its own.
  using OnSocket = std::function<void(boost::asio::ip::tcp::socket)>;

  // Nothing is accepted before Start(). Null where the address is no IP number
  // or can't be bound (kCannotListen). `context` must outlive the listener.
  static std::unique_ptr<Listener> Create(boost::asio::io_context& context,
                                          const ListenOptions& options,
                                          ListenReason& why);
  ~Listener();  // closes
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Accepts from now on; to be called once.
  void Start(OnSocket on_socket);

  // Accepts no more; sockets handed out stay open.
  void Close();

  // The port that is bound.
  uint16_t port() const;

  // Serial: OnSocket runs here.
  boost::asio::any_io_executor executor() const;

 private:
  class Impl;
  explicit Listener(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::net

#endif  // NET_LISTENER_H_
