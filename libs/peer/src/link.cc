// Reading and writing of one connection between processes.

#include "link.h"

#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sassafras::peer {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::shared_ptr<Link> Link::Create(Http2Session::Side side,
                                   tcp::socket socket,
                                   size_t max_body_bytes,
                                   Callbacks callbacks) {
  std::shared_ptr<Link> link(new Link(std::move(socket), std::move(callbacks)));
  link->session_ = Http2Session::Create(side, *link, max_body_bytes);
  return link->session_ ? link : nullptr;
}

Link::Link(tcp::socket socket, Callbacks callbacks)
    : socket_(std::move(socket)),
      callbacks_(std::move(callbacks)),
      last_receive_(std::chrono::steady_clock::now()) {}

void Link::Start() {
  error_code ec;
  socket_.set_option(tcp::no_delay(true), ec);
  Read();
  Flush();
}

void Link::Read() {
  socket_.async_read_some(
      boost::asio::buffer(read_buf_),
      [self = shared_from_this()](error_code ec, size_t n) {
        if (self->is_closed_) {
          return;
        }
        self->last_receive_ = std::chrono::steady_clock::now();
        self->is_receiving_ = true;
        const bool is_ok = !ec && self->session_->Receive(std::string_view(
                                      self->read_buf_.data(), n));
        self->is_receiving_ = false;
        if (!is_ok) {
          self->Fail();
          return;
        }
        self->Flush();
        self->Read();
      });
}

void Link::Flush() {
  // nghttp2 forbids sending from inside its receive callbacks; Read() flushes
  // after them.
  if (is_writing_ || is_receiving_ || is_closed_) {
    return;
  }
  write_buf_ = session_->TakeOutput();
  if (write_buf_.empty()) {
    return;
  }
  is_writing_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(write_buf_),
                           [self = shared_from_this()](error_code ec, size_t) {
                             self->is_writing_ = false;
                             if (self->is_closed_) {
                               return;
                             }
                             if (ec) {
                               self->Fail();
                               return;
                             }
                             self->Flush();
                           });
}

void Link::Close() {
  is_closed_ = true;
  callbacks_ = {};
  error_code ec;
  socket_.close(ec);
}

void Link::Fail() {
  if (is_closed_) {
    return;
  }
  const auto on_closed = std::move(callbacks_.on_closed);
  Close();
  on_closed();
}

void Link::OnMessage(int32_t stream, Http2Message message) {
  if (callbacks_.on_message) {
    callbacks_.on_message(stream, std::move(message));
  }
}

void Link::OnStreamClosed(int32_t stream) {
  if (callbacks_.on_stream_closed) {
    callbacks_.on_stream_closed(stream);
  }
}

}  // namespace sassafras::peer
