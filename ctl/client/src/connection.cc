// A connection on Beast: dial, write, read, each within the call's limit.

#include "client/connection.h"

#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace sassafras::client {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxAnswerHeaderBytes = 64 << 10;
constexpr unsigned kHttp11 = 11;

using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastParser = beast::http::response_parser<beast::http::string_body>;
using BeastAnswer = beast::http::response<beast::http::string_body>;

BeastRequest ToBeast(const http::Request& request, const Endpoint& endpoint) {
  BeastRequest out;
  out.method_string(request.method);
  out.target(request.target);
  out.version(kHttp11);
  out.set(beast::http::field::host, endpoint.ToString());
  for (const auto& [name, value] : request.headers) {
    out.insert(name, value);
  }
  out.body() = request.body;
  out.prepare_payload();
  return out;
}

http::Answer FromBeast(BeastAnswer answer) {
  http::Answer out;
  out.status = static_cast<int>(answer.result_int());
  for (const auto& field : answer) {
    out.headers.emplace_back(field.name_string(), field.value());
  }
  out.body = std::move(answer.body());
  return out;
}

// Turns an error after the first byte was sent into one of this layer.
ClientError ErrorOf(const beast::error_code& ec) {
  if (ec == beast::error::timeout) {
    return ClientError::kTimeout;
  }
  const bool is_parser_error =
      ec.category() ==
          beast::http::make_error_code(beast::http::error::bad_version)
              .category() &&
      ec != beast::http::error::end_of_stream &&
      ec != beast::http::error::partial_message;
  return is_parser_error ? ClientError::kMalformed : ClientError::kBrokenOff;
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(std::string_view text,
                                        ClientReason& why) {
  const size_t colon = text.rfind(':');
  Endpoint endpoint;
  boost::system::error_code ec;
  if (colon != std::string_view::npos) {
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
      host = host.substr(1, host.size() - 2);
    }
    endpoint.address = std::string(host);
    const auto port = text.substr(colon + 1);
    const auto* end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, endpoint.port);
    asio::ip::make_address(endpoint.address, ec);
    if (!ec && parsed.ec == std::errc() && parsed.ptr == end &&
        endpoint.port != 0) {
      return endpoint;
    }
  }
  why.Set(ClientError::kBadAddress,
          "\"" + std::string(text) + "\" is no ADDRESS:PORT with an IP number");
  return std::nullopt;
}

std::string Endpoint::ToString() const {
  const bool is_v6 = address.find(':') != std::string::npos;
  return (is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

struct Connection::Impl {
  Impl(const asio::any_io_executor& used_executor, Endpoint to)
      : executor(used_executor), endpoint(std::move(to)) {}

  // Error: kNotReached.
  asio::awaitable<bool> Dial(ClientReason& why) {
    beast::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    if (!ec) {
      const asio::ip::tcp::endpoint target(address, endpoint.port);
      std::tie(ec) = co_await stream->async_connect(target, kUse);
    }
    if (ec) {
      why.Set(ClientError::kNotReached,
              "cannot connect to " + endpoint.ToString() + ": " + ec.message());
      co_return false;
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ec);
    co_return true;
  }

  asio::awaitable<std::optional<http::Answer>> Try(const http::Request& request,
                                                   ClientReason& why) {
    BeastRequest message = ToBeast(request, endpoint);
    auto [write_ec, written] =
        co_await beast::http::async_write(*stream, message, kUse);
    if (write_ec) {
      const auto error = written == 0 && write_ec != beast::error::timeout
                             ? ClientError::kBrokenOff
                             : ErrorOf(write_ec);
      why.Set(error, endpoint.ToString() + ": sending: " + write_ec.message());
      co_return std::nullopt;
    }
    co_return co_await Read(request.method == "HEAD", why);
  }

  asio::awaitable<std::optional<http::Answer>> Read(bool is_head,
                                                    ClientReason& why) {
    BeastParser parser;
    parser.body_limit(kMaxAnswerBytes);
    parser.header_limit(kMaxAnswerHeaderBytes);
    parser.skip(is_head);
    auto [ec, n] =
        co_await beast::http::async_read(*stream, buffer, parser, kUse);
    if (ec) {
      has_read = n != 0;
      why.Set(ErrorOf(ec),
              endpoint.ToString() + ": reading the answer: " + ec.message());
      co_return std::nullopt;
    }
    if (!parser.get().keep_alive()) {
      Close();
    }
    co_return FromBeast(parser.release());
  }

  void Open() {
    stream.emplace(executor);
    buffer.clear();
    has_read = false;
  }

  void Close() { stream.reset(); }

  asio::any_io_executor executor;
  Endpoint endpoint;
  std::optional<beast::tcp_stream> stream;  // empty: closed
  beast::flat_buffer buffer;
  bool has_read = false;  // part of an answer came before the last error
};

Connection::Connection(const asio::any_io_executor& executor, Endpoint endpoint)
    : impl_(std::make_unique<Impl>(executor, std::move(endpoint))) {}

Connection::~Connection() = default;
Connection::Connection(Connection&&) noexcept = default;
Connection& Connection::operator=(Connection&&) noexcept = default;

asio::awaitable<std::optional<http::Answer>> Connection::Exchange(
    const http::Request& request,
    base::Duration limit,
    bool may_repeat,
    ClientReason& why) {
  const bool is_reused = impl_->stream.has_value();
  if (!is_reused) {
    impl_->Open();
  }
  impl_->stream->expires_after(limit);
  if (!is_reused && !co_await impl_->Dial(why)) {
    Close();
    co_return std::nullopt;
  }
  std::optional<http::Answer> answer = co_await impl_->Try(request, why);
  if (answer) {
    co_return answer;
  }
  Close();
  const bool is_stale =
      is_reused && why.code == ClientError::kBrokenOff && !impl_->has_read;
  if (is_stale && may_repeat) {
    co_return co_await Exchange(request, limit, false, why);
  }
  co_return std::nullopt;
}

void Connection::Close() {
  impl_->Close();
}

const Endpoint& Connection::endpoint() const {
  return impl_->endpoint;
}

}  // namespace sassafras::client
