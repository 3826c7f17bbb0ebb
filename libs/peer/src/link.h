// One TCP connection that carries an nghttp2 session: reads, writes, and the
// time at which something last arrived.

#ifndef PEER_SRC_LINK_H_
#define PEER_SRC_LINK_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "http2_session.h"

namespace sassafras::peer {

// Runs on the executor of its socket, which must be a strand or have one
// thread. Kept alive by its own pending operations until Close().
class Link : public std::enable_shared_from_this<Link>, private Http2Delegate {
 public:
  struct Callbacks {
    std::function<void(int32_t, Http2Message)> on_message;
    std::function<void(int32_t)> on_stream_closed;
    std::function<void()> on_closed;  // at most once, not from Close()
  };

  static std::shared_ptr<Link> Create(Http2Session::Side side,
                                      boost::asio::ip::tcp::socket socket,
                                      size_t max_body_bytes,
                                      Callbacks callbacks);

  Http2Session& session() { return *session_; }
  std::chrono::steady_clock::time_point last_receive() const {
    return last_receive_;
  }

  void Start();

  // Writes what the session has ready; call after every Submit.
  void Flush();

  // Ends the connection without calling on_closed.
  void Close();

  // Ends the connection and calls on_closed.
  void Fail();

 private:
  static constexpr size_t kReadBytes = 64 << 10;

  Link(boost::asio::ip::tcp::socket socket, Callbacks callbacks);

  void OnMessage(int32_t stream, Http2Message message) override;
  void OnStreamClosed(int32_t stream) override;
  void Read();

  boost::asio::ip::tcp::socket socket_;
  Callbacks callbacks_;
  std::unique_ptr<Http2Session> session_;
  std::array<char, kReadBytes> read_buf_{};
  std::string write_buf_;  // being written while is_writing_
  bool is_writing_ = false;
  bool is_receiving_ = false;  // inside the session's callbacks
  bool is_closed_ = false;
  std::chrono::steady_clock::time_point last_receive_;
};

}  // namespace sassafras::peer

#endif  // PEER_SRC_LINK_H_
