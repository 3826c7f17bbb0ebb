// Parsing with limits and deadlines, and the answers to bad input.

#include "server_session.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "deadline.h"
#include "request_parser.h"

namespace sassafras::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Reads begin small, as most requests are, since the memory of connections that
// have sent a few bytes counts many times.
constexpr size_t kFirstReadBytes = 2048;
constexpr size_t kBodyReadBytes = 16 << 10;

constexpr auto kOverloadRetryAfter = std::chrono::milliseconds(1000);
constexpr std::string_view kOverloadedCode = "overloaded";
constexpr std::string_view kTimeoutCode = "request-timeout";

struct Refusal {
  int status = 400;
  std::string_view code;
};

Refusal RefusalOf(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return {431, "header-too-large"};
    case ParseError::kChunksTooLarge:
      return {431, "chunks-too-large"};
    case ParseError::kBodyTooLarge:
      return {413, "body-too-large"};
    case ParseError::kNone:
    case ParseError::kMalformed:
      break;
  }
  return {400, "bad-request"};
}

// Also where bytes that it sent before are still unread.
bool HasPeerClosed(tcp::socket& socket) {
  pollfd it{socket.native_handle(), POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

class Session {
 public:
  Session(std::shared_ptr<ServerShared> shared,
          std::shared_ptr<tcp::socket> socket,
          ConnectionTable::Id id)
      : shared_(std::move(shared)),
        socket_(std::move(socket)),
        id_(id),
        buf_(shared_->options.limits.max_header_bytes + kBodyReadBytes),
        memory_(shared_->options.memory, [shared = std::weak_ptr(shared_), id] {
          if (const auto it = shared.lock()) {
            it->connections.Evict(id);
          }
        }) {}

  asio::awaitable<void> Run() {
    while (co_await ServeOne()) {
      ReleaseMemory();
    }
    buf_.clear();
    ReleaseMemory();
    shared_->connections.Enter(id_, ConnectionPhase::kUnfinished);
    error_code ec;
    socket_->shutdown(tcp::socket::shutdown_send, ec);
    co_await Linger();
  }

 private:
  // Reads what the client still sends, for a moment: closing with unread
  // bytes would reset the connection and could destroy the answer on its way.
  asio::awaitable<void> Linger() {
    constexpr auto kLingerLimit = std::chrono::milliseconds(500);
    const Deadline deadline(socket_, kLingerLimit);
    std::array<char, 4096> scrap{};
    error_code ec;
    while (!ec && !deadline.has_passed()) {
      co_await socket_->async_read_some(
          asio::buffer(scrap), asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  // Idle connections keep no buffer.
  void ReleaseMemory() {
    if (buf_.size() == 0) {
      buf_.shrink_to_fit();
    }
    memory_.Set(buf_.capacity(), true);
  }

  // False where the connection is to be closed.
  asio::awaitable<bool> ServeOne() {
    if (!shared_->connections.Enter(id_, ConnectionPhase::kIdle) ||
        !co_await WaitForBytes() ||
        !shared_->connections.Enter(id_, ConnectionPhase::kUnfinished)) {
      co_return false;
    }
    const RequestLimits limits = shared_->Limits();
    RequestParser parser(limits);
    if (!co_await ReadHeader(parser, limits.header_timeout) ||
        !co_await ReadBody(parser)) {
      co_return false;
    }
    // From here on the request isn't evicted or replaced.
    if (!memory_.Set(buf_.capacity() + parser.held_bytes(), false)) {
      co_await RefuseOverloaded();
      co_return false;
    }
    if (!shared_->connections.Enter(id_, ConnectionPhase::kInProgress)) {
      co_return false;
    }
    const bool keeps_alive = parser.keep_alive();
    const unsigned version = parser.version();
    const bool is_head = parser.request().method == "HEAD";
    ++shared_->in_flight;
    Answer answer = co_await Handle(parser.Release());
    error_code ec;
    socket_->cancel(ec);  // the watch of the caller
    const bool stays_open = keeps_alive && !shared_->closes_after_answers;
    const bool is_written =
        HoldAnswer(answer) &&
        co_await Write(std::move(answer), version, stays_open, is_head);
    --shared_->in_flight;
    co_return is_written&& stays_open;
  }

  // Returns false if there isn't enough memory.
  bool HoldAnswer(const Answer& answer) {
    return !shared_->options.counts_answers ||
           memory_.Set(buf_.capacity() + answer.body.capacity(), true);
  }

  // An idle connection that ends or is closed here is not an error.
  asio::awaitable<bool> WaitForBytes() {
    if (buf_.size() > 0) {
      co_return true;
    }
    error_code ec;
    co_await socket_->async_wait(tcp::socket::wait_read,
                                 asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  asio::awaitable<bool> ReadHeader(RequestParser& parser,
                                   base::Duration limit) {
    const Deadline deadline(socket_, limit);
    const auto is_reached = [&parser] { return parser.is_header_done(); };
    co_return co_await ReadUntil(parser, is_reached, deadline);
  }

  asio::awaitable<bool> ReadBody(RequestParser& parser) {
    if (parser.is_done()) {
      co_return true;
    }
    const Deadline deadline(socket_, shared_->options.body_timeout);
    if (boost::beast::iequals(FindHeader(parser.request().headers, "Expect"),
                              "100-continue")) {
      co_await WriteContinue();
    }
    const auto is_reached = [&parser] { return parser.is_done(); };
    co_return co_await ReadUntil(parser, is_reached, deadline);
  }

  // Returns false if the connection is to be closed, after an answer if the
  // client may still expect one.
  template <typename IsReached>
  asio::awaitable<bool> ReadUntil(RequestParser& parser,
                                  IsReached is_reached,
                                  const Deadline& deadline) {
    while (!is_reached()) {
      if (buf_.size() > 0) {
        const auto bytes = buf_.cdata();
        buf_.consume(
            parser.Put({static_cast<const char*>(bytes.data()), bytes.size()}));
      }
      if (parser.HasFailed()) {
        co_await Refuse(parser.why());
        co_return false;
      }
      if (is_reached()) {
        break;
      }
      error_code ec;
      if (!co_await ReadSome(parser, ec)) {
        co_await RefuseOverloaded();
        co_return false;
      }
      if (ec) {
        co_await AnswerReadError(parser, ec, deadline.has_passed());
        co_return false;
      }
    }
    co_return true;
  }

  // Returns false if there isn't enough memory.
  asio::awaitable<bool> ReadSome(const RequestParser& parser, error_code& ec) {
    const size_t wanted =
        parser.is_header_done() ? kBodyReadBytes : kFirstReadBytes;
    const size_t n = std::min(std::max(wanted, buf_.capacity() - buf_.size()),
                              buf_.max_size() - buf_.size());
    const auto space = buf_.prepare(n);
    if (!memory_.Set(buf_.capacity() + parser.held_bytes(), true)) {
      co_return false;
    }
    buf_.commit(co_await socket_->async_read_some(
        space, asio::redirect_error(asio::use_awaitable, ec)));
    co_return true;
  }

  asio::awaitable<void> WriteContinue() {
    beast_http::response<beast_http::empty_body> message(
        beast_http::status::continue_, 11);
    error_code ec;
    co_await beast_http::async_write(
        *socket_, message, asio::redirect_error(asio::use_awaitable, ec));
  }

  asio::awaitable<void> AnswerReadError(RequestParser& parser,
                                        error_code ec,
                                        bool is_late) {
    if (is_late) {
      co_await Refuse({408, kTimeoutCode},
                      "the request did not arrive in time");
    } else if (ec == asio::error::eof && parser.HasBegun()) {
      parser.PutEnd();
      co_await Refuse(parser.why());
    }
  }

  asio::awaitable<void> Refuse(const ParseReason& why) {
    co_await Refuse(RefusalOf(why.code), why.message);
  }

  asio::awaitable<void> RefuseOverloaded() {
    co_await Refuse({503, kOverloadedCode},
                    "requests that aren't complete need too much memory",
                    kOverloadRetryAfter.count());
  }

  // The request has not reached the handler and never will.
  asio::awaitable<void> Refuse(Refusal refusal,
                               std::string message,
                               int64_t retry_after_ms = -1) {
    constexpr unsigned kVersion = 11;
    if (shared_->options.observer.on_refused) {
      shared_->options.observer.on_refused(refusal.code);
    }
    co_await Write(ErrorAnswer(refusal.status, refusal.code, message, "not-run",
                               retry_after_ms),
                   kVersion, false, false);
  }

  // Resumes on the connection's strand when the handler has answered.
  asio::awaitable<Answer> Handle(Request request) {
    return asio::async_initiate<const asio::use_awaitable_t<>, void(Answer)>(
        [this](auto done, Request it) {
          using Done = decltype(done);
          auto state = std::make_shared<std::optional<Done>>(std::move(done));
          auto once = std::make_shared<std::atomic_flag>();
          auto executor = socket_->get_executor();
          auto send = [state, once, executor](Answer answer) {
            if (once->test_and_set()) {
              return;
            }
            asio::post(executor, [state, it = std::move(answer)]() mutable {
              auto resume = *std::exchange(*state, std::nullopt);
              std::move(resume)(std::move(it));
            });
          };
          shared_->handler(std::move(it), {std::move(send), WatchCaller()});
        },
        asio::use_awaitable, std::move(request));
  }

  // Until the answer's first byte is written.
  std::shared_ptr<net::CallerWatch> WatchCaller() {
    auto watch = std::make_shared<net::CallerWatch>();
    socket_->async_wait(tcp::socket::wait_read,
                        [socket = socket_, watch](error_code ec) {
                          if (!ec && HasPeerClosed(*socket)) {
                            watch->MarkGone();
                          }
                        });
    return watch;
  }

  asio::awaitable<bool> Write(Answer answer,
                              unsigned version,
                              bool keeps_alive,
                              bool is_head) {
    beast_http::response<beast_http::string_body> message(
        static_cast<beast_http::status>(answer.status), version);
    for (const auto& [name, value] : answer.headers) {
      message.insert(name, value);
    }
    message.body() = std::move(answer.body);
    message.keep_alive(keeps_alive);
    message.prepare_payload();
    if (is_head) {
      message.body().clear();
    }
    const Deadline deadline(socket_, shared_->options.body_timeout);
    error_code ec;
    co_await beast_http::async_write(
        *socket_, message, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  const std::shared_ptr<ServerShared> shared_;
  const std::shared_ptr<tcp::socket> socket_;
  const ConnectionTable::Id id_;
  // Holds the part of a request that the parser hasn't taken, and bytes of the
  // next one that were read with it.
  boost::beast::flat_buffer buf_;
  RequestMemory::Share memory_;
};

}  // namespace

asio::awaitable<void> ServeConnection(std::shared_ptr<ServerShared> shared,
                                      std::shared_ptr<tcp::socket> socket,
                                      ConnectionTable::Id id) {
  Session session(shared, socket, id);
  co_await session.Run();
  error_code ec;
  socket->close(ec);
  shared->connections.Remove(id);
}

}  // namespace sassafras::http
