// The HTTP side of a fake upstream.

#include "upstream_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace sassafras::samples {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxRequestBytes = 64 << 20;
constexpr uint64_t kPercent = 100;

constexpr std::array<std::pair<std::string_view, Behaviour>, 4> kBehaviours = {{
    {"echo", Behaviour::kEcho},
    {"fail", Behaviour::kFail},
    {"break", Behaviour::kBreak},
    {"silent", Behaviour::kSilent},
}};

using BeastRequest = beast::http::request<beast::http::string_body>;
using BeastAnswer = beast::http::response<beast::http::string_body>;

std::string Field(const BeastRequest& request, const char* name) {
  return std::string(request[name]);
}

base::Duration DelayOf(const BeastRequest& request, base::Duration fallback) {
  const std::string text = Field(request, "Sample-Delay-Ms");
  int64_t ms = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  const bool is_given = !text.empty() && ec == std::errc() && ms >= 0;
  return is_given ? std::chrono::milliseconds(ms) : fallback;
}

}  // namespace

// One request and what its answer needs.
struct UpstreamServer::Exchange {
  beast::flat_buffer buffer;
  BeastRequest request;
  BeastAnswer answer;
};

std::string UpstreamCounts::ToString() const {
  return "requests=" + std::to_string(requests) +
         " max_in_flight=" + std::to_string(max_in_flight) +
         " max_open=" + std::to_string(max_open) +
         " slot_excess=" + std::to_string(slot_excess) +
         " connection_excess=" + std::to_string(connection_excess);
}

UpstreamServer::UpstreamServer(asio::io_context& context,
                               UpstreamServerOptions options,
                               Ledger& ledger)
    : context_(context),
      options_(std::move(options)),
      ledger_(ledger),
      random_(options_.seed),
      acceptor_(context) {}

bool UpstreamServer::Listen(SampleReason& why) {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(options_.address, ec);
  const tcp::endpoint endpoint(address, options_.port);
  const auto step = [&](auto action) {
    if (!ec) {
      action();
    }
  };
  step([&] { acceptor_.open(endpoint.protocol(), ec); });
  step([&] { acceptor_.set_option(tcp::acceptor::reuse_address(true), ec); });
  step([&] { acceptor_.bind(endpoint, ec); });
  step([&] { acceptor_.listen(tcp::acceptor::max_listen_connections, ec); });
  return !ec ||
         why.Set(SampleError::kCannotOpen,
                 "cannot listen on " + options_.address + ":" +
                     std::to_string(options_.port) + ": " + ec.message());
}

asio::awaitable<void> UpstreamServer::Accept() {
  while (acceptor_.is_open()) {
    auto [ec, socket] = co_await acceptor_.async_accept(kUse);
    if (ec) {
      continue;
    }
    sockets_.push_front(std::move(socket));
    asio::co_spawn(context_, Serve(sockets_.begin()), asio::detached);
  }
}

void UpstreamServer::Close() {
  boost::system::error_code ec;
  acceptor_.close(ec);
  for (auto& socket : sockets_) {
    socket.close(ec);
  }
}

asio::awaitable<void> UpstreamServer::Serve(
    std::list<tcp::socket>::iterator socket) {
  ++counts_.open;
  counts_.max_open = std::max(counts_.max_open, counts_.open);
  if (counts_.open > options_.connections) {
    ++counts_.connection_excess;
    ledger_.Note("connection-excess open=" + std::to_string(counts_.open));
  }
  boost::system::error_code ec;
  socket->set_option(tcp::no_delay(true), ec);
  Exchange exchange;
  while (co_await ServeOne(*socket, exchange)) {
  }
  --counts_.open;
  sockets_.erase(socket);
}

asio::awaitable<bool> UpstreamServer::ServeOne(tcp::socket& socket,
                                               Exchange& exchange) {
  beast::http::request_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxRequestBytes);
  auto [ec, n] =
      co_await beast::http::async_read(socket, exchange.buffer, parser, kUse);
  if (ec) {
    co_return false;
  }
  exchange.request = parser.release();
  Begin(exchange);
  const bool may_go_on = co_await Answer(socket, exchange);
  --counts_.in_flight;
  co_return may_go_on;
}

// The request counts as run from here on.
void UpstreamServer::Begin(const Exchange& exchange) {
  ++counts_.requests;
  ++counts_.in_flight;
  counts_.max_in_flight = std::max(counts_.max_in_flight, counts_.in_flight);
  counts_.last_request_us = MonotonicUs();
  if (counts_.in_flight > options_.slots) {
    ++counts_.slot_excess;
    ledger_.Note("slot-excess in_flight=" + std::to_string(counts_.in_flight));
  }
  ledger_.Note("ran key=" + Field(exchange.request, "Idempotency-Key") +
               " tag=" + Field(exchange.request, "Sample-Tag"));
}

Behaviour UpstreamServer::Choose(const Exchange& exchange) {
  const std::string wanted = Field(exchange.request, "Sample-Behaviour");
  const auto* it = std::ranges::find(
      kBehaviours, wanted, &std::pair<std::string_view, Behaviour>::first);
  if (it != kBehaviours.end()) {
    return it->second;
  }
  const uint64_t drawn = random_.Below(kPercent);
  const uint64_t fail = options_.fail_percent;
  const uint64_t broken = fail + options_.break_percent;
  if (drawn < fail) {
    return Behaviour::kFail;
  }
  if (drawn < broken) {
    return Behaviour::kBreak;
  }
  return drawn < broken + options_.silent_percent ? Behaviour::kSilent
                                                  : Behaviour::kEcho;
}

// False where the connection is at its end.
asio::awaitable<bool> UpstreamServer::Answer(tcp::socket& socket,
                                             Exchange& exchange) {
  const auto& request = exchange.request;
  const Behaviour behaviour = Choose(exchange);
  const base::Duration delay = DelayOf(request, options_.delay);
  if (delay > base::Duration::zero()) {
    asio::steady_timer timer(context_, delay);
    co_await timer.async_wait(kUse);
  }
  if (behaviour == Behaviour::kSilent) {
    // Holds the slot until the other end gives up.
    std::array<char, 1> buf;
    co_await socket.async_read_some(asio::buffer(buf), kUse);
    co_return false;
  }
  auto& answer = exchange.answer;
  answer = {};
  answer.version(request.version());
  answer.keep_alive(request.keep_alive());
  answer.result(behaviour == Behaviour::kFail
                    ? beast::http::status::internal_server_error
                    : beast::http::status::ok);
  answer.set(beast::http::field::content_type, "application/octet-stream");
  answer.set("Sample-Tag", request["Sample-Tag"]);
  answer.body() = Field(request, "Sample-Tag") + "\n" + request.body();
  answer.prepare_payload();
  if (behaviour == Behaviour::kBreak) {
    const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(answer.body().size()) + "\r\n\r\n" +
                             answer.body().substr(0, answer.body().size() / 2);
    co_await asio::async_write(socket, asio::buffer(half), kUse);
    co_return false;
  }
  auto [ec, n] = co_await beast::http::async_write(socket, answer, kUse);
  co_return !ec && answer.keep_alive();
}

}  // namespace sassafras::samples
