// A load of requests to one service.

#include "load.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/random.h"
#include "client/entry_client.h"

namespace sassafras::samples {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kServerError = 500;

class Load {
 public:
  Load(const LoadOptions& options,
       Ledger& ledger,
       telemetry::Histogram& latency)
      : options_(options), ledger_(ledger), latency_(latency) {}

  LoadResult Run() {
    for (uint32_t i = 0; i < options_.concurrency; ++i) {
      asio::co_spawn(context_, Send(i), asio::detached);
    }
    context_.run();
    return result_;
  }

 private:
  // One client: sends the next request until none is left.
  asio::awaitable<void> Send(size_t first_entry) {
    client::EntryClient client(context_.get_executor(), options_.entries,
                               first_entry);
    client.SetToken(options_.token);
    while (next_ < options_.requests) {
      const uint64_t number = next_++;
      const std::string tag = options_.key_prefix + "-" +
                              std::to_string(options_.seed) + "-" +
                              std::to_string(number);
      http::Request request = MakeRequest(number, tag);
      const std::string expected = tag + "\n" + request.body;
      const auto began = std::chrono::steady_clock::now();
      const client::CallResult called =
          co_await client.Call(std::move(request), MakeCallOptions());
      latency_.Observe(std::chrono::duration_cast<base::Duration>(
          std::chrono::steady_clock::now() - began));
      Count(tag, expected, called);
    }
  }

  http::Request MakeRequest(uint64_t number, const std::string& tag) const {
    http::Request request;
    const bool is_put = options_.mode == LoadMode::kIdempotent;
    request.method = is_put ? "PUT" : "POST";
    request.target = "/v1/services/" + client::EncodeSegment(options_.service) +
                     options_.path;
    request.headers = options_.headers;
    request.headers.emplace_back("Sample-Tag", tag);
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.timeout);
    request.headers.emplace_back("Request-Timeout-Ms",
                                 std::to_string(timeout.count()));
    if (options_.mode == LoadMode::kKeyed) {
      request.headers.emplace_back("Idempotency-Key", tag);
    }
    request.body = MakeBody(number);
    return request;
  }

  // Any bytes, but the same for the same seed and number.
  std::string MakeBody(uint64_t number) const {
    constexpr uint64_t kByteValues = 256;
    base::Random random(options_.seed * kByteValues + number);
    std::string body(options_.body_bytes, '\0');
    for (char& c : body) {
      c = static_cast<char>(random.Below(kByteValues));
    }
    return body;
  }

  client::CallOptions MakeCallOptions() const {
    client::CallOptions call;
    call.limit = options_.limit;
    // The entry answers by the request's timeout; a little later the
    // connection counts as silent.
    call.try_limit = options_.timeout + options_.timeout / 2;
    call.resend.on_unknown =
        options_.may_resend && options_.mode != LoadMode::kPlain;
    call.resend.on_not_run = options_.may_resend;
    if (options_.mode == LoadMode::kKeyed && options_.is_first_sending) {
      call.first_headers = {{"Sassafras-First-Sending", "true"}};
    }
    return call;
  }

  void Count(const std::string& tag,
             const std::string& expected,
             const client::CallResult& called) {
    const bool is_keyed = options_.mode == LoadMode::kKeyed;
    const std::string outcome = Classify(called, is_keyed);
    ++result_.outcomes[outcome];
    result_.resends += called.tries - 1;
    const bool is_mismatch =
        outcome == "completed" && called.answer->body != expected;
    result_.mismatches += is_mismatch ? 1 : 0;
    const int status = called.answer ? called.answer->status : 0;
    ledger_.Note("told key=" + (is_keyed ? tag : "") + " tag=" + tag +
                 " outcome=" + outcome + " status=" + std::to_string(status) +
                 (is_mismatch ? " mismatch=1" : ""));
  }

  // Under a key, "not-run" covers every try; without one, only the last.
  static std::string Classify(const client::CallResult& called, bool is_keyed) {
    if (!called.answer) {
      return called.may_have_run ? "no-answer" : "not-reached";
    }
    const int status = called.answer->status;
    const std::string outcome = client::OutcomeOf(*called.answer);
    if (status == kOk && outcome == "completed") {
      return "completed";
    }
    if (outcome == "completed") {
      return status >= kServerError ? "failed" : "refused";
    }
    if (outcome == "not-run" && called.may_have_run && !is_keyed) {
      return "unknown";
    }
    const bool is_refused = status >= kBadRequest && status < kServerError;
    return is_refused && outcome.empty() ? "refused" : outcome;
  }

  const LoadOptions& options_;
  Ledger& ledger_;
  telemetry::Histogram& latency_;
  asio::io_context context_{1};
  uint64_t next_ = 0;  // number of the next request
  LoadResult result_;
};

}  // namespace

bool LoadResult::IsAllCompleted(uint64_t requests) const {
  const auto it = outcomes.find("completed");
  return mismatches == 0 && it != outcomes.end() && it->second == requests;
}

LoadResult RunLoad(const LoadOptions& options,
                   Ledger& ledger,
                   telemetry::Histogram& latency) {
  return Load(options, ledger, latency).Run();
}

std::vector<double> FineLatencyBounds() {
  constexpr double kFirst = 50e-6;
  constexpr double kLast = 100;
  constexpr double kStep = 1.05;
  std::vector<double> bounds;
  for (double bound = kFirst; bound < kLast; bound *= kStep) {
    bounds.push_back(bound);
  }
  return bounds;
}

}  // namespace sassafras::samples
