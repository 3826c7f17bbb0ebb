// Fail-over between entries.

#include "client/entry_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace sassafras::client {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kPauseAfterFailure = std::chrono::milliseconds(50);
constexpr auto kMaxPause = std::chrono::milliseconds(1000);
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

std::string FieldOf(const http::Answer& answer, const char* field) {
  const auto body =
      nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return "";
  }
  const auto it = body.find(field);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

// A completed answer is the upstream's own, whatever its status.
bool MustResend(const http::Answer& answer, const ResendRule& rule) {
  if (answer.status != kTooManyRequests && answer.status < kFirstServerError) {
    return false;
  }
  const std::string outcome = OutcomeOf(answer);
  return (outcome == "not-run" && rule.on_not_run) ||
         (outcome == "unknown" && rule.on_unknown);
}

// How long the answer asks to wait, within bounds.
base::Duration PauseOf(const http::Answer& answer) {
  const auto body =
      nlohmann::json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  const bool has_pause = body.is_object() && body.contains("retry_after_ms") &&
                         body["retry_after_ms"].is_number_integer();
  if (!has_pause) {
    return kPauseAfterFailure;
  }
  const auto wanted =
      std::chrono::milliseconds(body["retry_after_ms"].get<int64_t>());
  return std::clamp<base::Duration>(wanted, kPauseAfterFailure, kMaxPause);
}

http::Request WithHeaders(http::Request request, const http::Headers& more) {
  request.headers.insert(request.headers.end(), more.begin(), more.end());
  return request;
}

}  // namespace

EntryClient::EntryClient(const asio::any_io_executor& executor,
                         const std::vector<Endpoint>& entries,
                         size_t first)
    : executor_(executor), current_(first % entries.size()) {
  std::ranges::for_each(entries, [&](const Endpoint& entry) {
    connections_.emplace_back(executor, entry);
  });
}

void EntryClient::Rotate() {
  current_ = (current_ + 1) % connections_.size();
}

asio::awaitable<CallResult> EntryClient::Call(http::Request request,
                                              CallOptions options) {
  if (!token_.empty()) {
    request.headers.emplace_back("Authorization", "Bearer " + token_);
  }
  const auto deadline = Clock::now() + options.limit;
  const auto remaining = [&] {
    return std::chrono::duration_cast<base::Duration>(deadline - Clock::now());
  };
  asio::steady_timer timer(executor_);
  const http::Headers none;
  CallResult result;
  while (true) {
    const bool is_first = result.tries++ == 0;
    const bool is_marked = is_first && !options.first_headers.empty();
    const auto try_limit = std::min(options.try_limit, remaining());
    // A marked first try must not be repeated with its mark.
    const http::Request marked =
        WithHeaders(request, is_marked ? options.first_headers : none);
    const bool may_repeat = options.resend.on_unknown && !is_marked;
    auto answer = co_await connections_[current_].Exchange(
        marked, try_limit, may_repeat, result.why);
    base::Duration pause = kPauseAfterFailure;
    bool must_resend = true;
    if (answer) {
      const std::string outcome = OutcomeOf(*answer);
      result.may_have_run = outcome != "completed" &&
                            (result.may_have_run || outcome == "unknown");
      must_resend = MustResend(*answer, options.resend);
      pause = PauseOf(*answer);
      result.answer = std::move(answer);
    } else if (result.why.code != ClientError::kNotReached) {
      result.may_have_run = true;
      result.answer.reset();
      must_resend = options.resend.on_unknown;
    }
    if (!must_resend && result.answer) {
      co_return result;
    }
    Rotate();
    if (!must_resend || remaining() <= pause) {
      co_return result;
    }
    timer.expires_after(pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

CallResult BlockingCall(const std::vector<Endpoint>& entries,
                        const std::string& token,
                        http::Request request,
                        const CallOptions& options) {
  asio::io_context context;
  EntryClient client(context.get_executor(), entries);
  client.SetToken(token);
  CallResult result;
  asio::co_spawn(context, client.Call(std::move(request), options),
                 [&](const std::exception_ptr& /*error*/, CallResult called) {
                   result = std::move(called);
                 });
  context.run();
  return result;
}

std::string OutcomeOf(const http::Answer& answer) {
  const auto header = http::FindHeader(answer.headers, "Sassafras-Outcome");
  return header.empty() ? FieldOf(answer, "outcome") : std::string(header);
}

std::string EncodeSegment(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kPlain = "-._~";
  std::string out;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') ||
                          kPlain.find(c) != std::string_view::npos;
    if (is_plain) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0xf];
  }
  return out;
}

}  // namespace sassafras::client
