// Pooled connections to upstreams.

#include "http/upstream_pool.h"

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "deadline.h"

namespace sassafras::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;
using Endpoint = std::pair<std::string, uint16_t>;

constexpr unsigned kHttpVersion = 11;
// Also of the trailers of a chunked answer, and of the extensions of a chunk.
constexpr uint32_t kMaxAnswerHeaderBytes = 64 << 10;
constexpr size_t kReadBytes = 64 << 10;
// A body of this size fits into the socket's buffer: no upstream answers while
// it is still being written.
constexpr size_t kSmallBodyBytes = 16 << 10;

using Message = beast_http::request<beast_http::string_body>;
using Parser = beast_http::response_parser<beast_http::string_body>;

// One connection; used by one try at a time.
struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : socket(std::make_shared<tcp::socket>(executor)),
        buf(kMaxAnswerHeaderBytes + kReadBytes) {}

  std::shared_ptr<tcp::socket> socket;  // shared with deadlines
  boost::beast::flat_buffer buf;  // bounded, also while a chunk isn't complete
  SteadyClock::time_point idle_since;

  // Nothing may have arrived on an idle connection: bytes or an end mean that
  // the upstream has closed it or isn't in step.
  bool IsQuiet() {
    error_code ec;
    char byte = 0;
    socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
  }
};

base::Instant MonotonicNow() {
  return base::Instant(std::chrono::duration_cast<base::Duration>(
      SteadyClock::now().time_since_epoch()));
}

Message ToMessage(Request request, const UpstreamTarget& target) {
  Message message(beast_http::verb::get, request.target, kHttpVersion);
  message.method_string(request.method);
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHop(name) && !boost::beast::iequals(name, "content-length") &&
        !boost::beast::iequals(name, "expect")) {
      message.insert(name, value);
    }
  }
  message.set(beast_http::field::host,
              target.address + ":" + std::to_string(target.port));
  message.body() = std::move(request.body);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

Answer ToAnswer(beast_http::response<beast_http::string_body> message) {
  Answer answer;
  answer.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    const std::string_view name = field.name_string();
    if (!IsHopByHop(name) && !boost::beast::iequals(name, "content-length")) {
      answer.headers.emplace_back(name, field.value());
    }
  }
  answer.body = std::move(message.body());
  return answer;
}

asio::any_io_executor ExecutorOf(asio::io_context& context,
                                 const UpstreamPoolOptions& options) {
  if (options.is_single_threaded) {
    return context.get_executor();
  }
  return asio::make_strand(context);
}

TryReason ReasonOf(error_code ec, bool is_late) {
  if (is_late) {
    return {TryError::kTimeout, "the upstream did not answer in time"};
  }
  if (ec == beast_http::error::body_limit ||
      ec == beast_http::error::header_limit ||
      ec == beast_http::error::buffer_overflow) {
    return {TryError::kTooLarge, "the answer is too large"};
  }
  if (ec == beast_http::error::end_of_stream ||
      ec == beast_http::error::partial_message ||
      ec.category() == boost::system::system_category() ||
      ec.category() == asio::error::get_misc_category()) {
    return {TryError::kBrokenOff,
            "the upstream ended the connection: " + ec.message()};
  }
  return {TryError::kMalformed, "the answer is not valid: " + ec.message()};
}

}  // namespace

class UpstreamPool::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, UpstreamPoolOptions options)
      : executor_(ExecutorOf(context, options)), options_(options) {}

  void Send(UpstreamTry attempt, TryDone done) {
    asio::co_spawn(executor_,
                   Run(shared_from_this(), std::move(attempt), std::move(done)),
                   asio::detached);
  }

  void Forget(Endpoint endpoint) {
    asio::post(executor_, [self = shared_from_this(), endpoint] {
      const auto it = self->endpoints_.find(endpoint);
      if (it != self->endpoints_.end()) {
        it->second.open -= it->second.idle.size();
        it->second.idle.clear();
        self->EraseIfUnused(endpoint);
      }
    });
  }

 private:
  struct Pool {
    std::deque<std::unique_ptr<Connection>> idle;  // the freshest at the back
    size_t open = 0;                               // idle and in use
  };

  // `self` keeps the pool alive until the try has ended.
  static asio::awaitable<void> Run(std::shared_ptr<Impl> self,
                                   UpstreamTry attempt,
                                   TryDone done) {
    TryReason why;
    std::optional<Answer> answer = co_await self->Try(attempt, why);
    done(std::move(answer), why);
  }

  asio::awaitable<std::optional<Answer>> Try(UpstreamTry& attempt,
                                             TryReason& why) {
    const Endpoint endpoint(attempt.target.address, attempt.target.port);
    auto connection = TakeIdle(endpoint, attempt.is_idempotent);
    if (!connection) {
      connection = co_await Connect(attempt.target, why);
    }
    if (!connection) {
      co_return std::nullopt;
    }
    if (MonotonicNow() >= attempt.write_until) {
      Return(endpoint, std::move(connection), true);
      why.Set(TryError::kNotConnected, "the right to write has run out");
      co_return std::nullopt;
    }
    bool stays_open = false;
    auto answer = co_await Exchange(*connection, attempt, stays_open, why);
    Return(endpoint, std::move(connection), stays_open);
    co_return answer;
  }

  std::unique_ptr<Connection> TakeIdle(const Endpoint& endpoint,
                                       bool is_idempotent) {
    Pool& pool = endpoints_[endpoint];
    const auto limit =
        is_idempotent ? options_.idle_limit : options_.fresh_limit;
    while (!pool.idle.empty()) {
      auto connection = std::move(pool.idle.back());
      pool.idle.pop_back();
      const bool is_fresh = SteadyClock::now() - connection->idle_since < limit;
      if (is_fresh && connection->IsQuiet()) {
        return connection;
      }
      --pool.open;
    }
    return nullptr;
  }

  asio::awaitable<std::unique_ptr<Connection>> Connect(
      const UpstreamTarget& target,
      TryReason& why) {
    Pool& pool = endpoints_[{target.address, target.port}];
    if (pool.open >= target.max_connections) {
      why.Set(TryError::kNotConnected, "no connection is left of the grant");
      co_return nullptr;
    }
    error_code ec;
    const auto address = asio::ip::make_address(target.address, ec);
    auto connection = std::make_unique<Connection>(executor_);
    ++pool.open;
    if (!ec) {
      const Deadline deadline(connection->socket, options_.connect_limit);
      co_await connection->socket->async_connect(
          tcp::endpoint(address, target.port),
          asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
      why.Set(ec == asio::error::connection_refused ? TryError::kRefused
                                                    : TryError::kNotConnected,
              "connecting to " + target.address + ":" +
                  std::to_string(target.port) + " failed: " + ec.message());
      --endpoints_[{target.address, target.port}].open;
      EraseIfUnused({target.address, target.port});
      co_return nullptr;
    }
    connection->socket->set_option(tcp::no_delay(true), ec);
    connection->socket->non_blocking(true, ec);  // for IsQuiet
    co_return connection;
  }

  asio::awaitable<std::optional<Answer>> Exchange(Connection& connection,
                                                  UpstreamTry& attempt,
                                                  bool& stays_open,
                                                  TryReason& why) {
    using asio::experimental::awaitable_operators::operator&&;
    const Message message =
        ToMessage(std::move(attempt.request), attempt.target);
    Parser parser;
    parser.header_limit(kMaxAnswerHeaderBytes);
    parser.body_limit(options_.max_answer_bytes);
    if (message.method() == beast_http::verb::head) {
      parser.skip(true);
    }
    error_code write_ec;
    error_code read_ec;
    const Deadline deadline(connection.socket, attempt.limit);
    if (message.body().size() <= kSmallBodyBytes) {
      co_await Write(connection, message, write_ec);
      co_await Read(connection, parser, read_ec);
    } else {
      // At the same time, because an upstream may answer before it has read
      // the whole body.
      co_await (Write(connection, message, write_ec) &&
                Read(connection, parser, read_ec));
    }
    if (!read_ec && parser.need_eof()) {
      why.Set(TryError::kMalformed, "the answer doesn't say where it ends");
      co_return std::nullopt;
    }
    if (read_ec) {
      why = ReasonOf(read_ec, deadline.has_passed());
      co_return std::nullopt;
    }
    stays_open = !write_ec && parser.get().keep_alive();
    co_return ToAnswer(parser.release());
  }

  static asio::awaitable<void> Write(Connection& connection,
                                     const Message& message,
                                     error_code& ec) {
    co_await beast_http::async_write(
        *connection.socket, message,
        asio::redirect_error(asio::use_awaitable, ec));
  }

  // When the answer is complete, a body that is still being written has no
  // reader any more: the write is cancelled.
  static asio::awaitable<void> Read(Connection& connection,
                                    Parser& parser,
                                    error_code& ec) {
    co_await beast_http::async_read(
        *connection.socket, connection.buf, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    error_code ignored;
    connection.socket->cancel(ignored);
  }

  void Return(const Endpoint& endpoint,
              std::unique_ptr<Connection> connection,
              bool stays_open) {
    Pool& pool = endpoints_[endpoint];
    if (stays_open && connection->buf.size() == 0) {
      connection->idle_since = SteadyClock::now();
      pool.idle.push_back(std::move(connection));
      return;
    }
    --pool.open;
    EraseIfUnused(endpoint);
  }

  void EraseIfUnused(const Endpoint& endpoint) {
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end() && it->second.open == 0) {
      endpoints_.erase(it);
    }
  }

  const asio::any_io_executor executor_;  // runs one thing at a time
  const UpstreamPoolOptions options_;
  std::map<Endpoint, Pool> endpoints_;  // used on `executor_` only
};

UpstreamPool::UpstreamPool(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<UpstreamPool> UpstreamPool::Create(
    asio::io_context& context,
    UpstreamPoolOptions options) {
  return std::unique_ptr<UpstreamPool>(
      new UpstreamPool(std::make_shared<Impl>(context, options)));
}

void UpstreamPool::Send(UpstreamTry attempt, TryDone done) {
  impl_->Send(std::move(attempt), std::move(done));
}

void UpstreamPool::Forget(const std::string& address, uint16_t port) {
  impl_->Forget({address, port});
}

}  // namespace sassafras::http
