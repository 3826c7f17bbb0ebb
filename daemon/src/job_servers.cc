// Starting and stopping the servers of a job process.

#include "job_servers.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "http/connection_limits.h"
#include "http/request_memory.h"

namespace sassafras::daemon {
namespace {

constexpr auto kAnswerPoll = std::chrono::milliseconds(20);

// Descriptors for connections to other hosts and to the placement service, and
// for files. A control host also calls up to 1,100 workers.
constexpr size_t kEntryReserve = 256;
constexpr size_t kControlReserve = 1300;

size_t MaxDescriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

http::ServerObserver MakeObserver(telemetry::Metrics& metrics) {
  const auto count = [&metrics](std::string_view name, std::string_view help) {
    return [&metrics, name, help](std::string_view reason) {
      metrics.GetCounter(name, help, {{"reason", std::string(reason)}}).Add();
    };
  };
  return {.on_refused = count("sassafras_http_requests_refused_total",
                              "Requests that were refused before they were "
                              "complete."),
          .on_closed = count("sassafras_http_connections_closed_total",
                             "Connections that the server closed without an "
                             "answer.")};
}

}  // namespace

JobServers::JobServers(const settings::Settings& settings,
                       kernel::Kernel& kernel,
                       telemetry::Metrics& metrics,
                       std::vector<HttpPlace> places)
    : settings_(settings),
      kernel_(kernel),
      metrics_(metrics),
      places_(std::move(places)),
      timer_(kernel.control()) {}

JobServers::~JobServers() = default;

bool JobServers::Start(kernel::KernelReason& why) {
  const http::ServerOptions shared = MakeOptions();
  const http::ConnectionLimits connections = http::ShareDescriptors(
      {MaxDescriptors(),
       settings_.IsControlReplica() ? kControlReserve : kEntryReserve},
      places_.size() - 1, settings_.limits.max_connections);
  for (HttpPlace& place : places_) {
    http::ServerOptions options = shared;
    options.address = place.endpoint.address;
    options.port = place.endpoint.port;
    options.max_connections =
        place.is_main ? connections.main : connections.minor;
    options.current_limits = std::move(place.current_limits);
    http::ServerReason server_why;
    auto server = http::Server::Create(kernel_.control(), std::move(options),
                                       std::move(place.handler), server_why);
    if (!server) {
      return why.Set(kernel::KernelError::kServiceFailed, server_why.message);
    }
    servers_.push_back(std::move(server));
  }
  return true;
}

http::ServerOptions JobServers::MakeOptions() const {
  const settings::LimitSettings& limits = settings_.limits;
  http::ServerOptions options;
  options.limits = {.max_body_bytes = limits.max_body_bytes,
                    .max_header_bytes = limits.max_header_bytes,
                    .max_header_fields = limits.max_header_fields,
                    .header_timeout = limits.header_timeout,
                    .idle_timeout = limits.idle_timeout};
  options.body_timeout = limits.body_timeout;
  options.counts_answers = true;
  options.memory =
      http::RequestMemory::Create(limits.max_unanswered_bytes, options.limits);
  options.observer = MakeObserver(metrics_);
  return options;
}

void JobServers::Drain(std::function<void()> done) {
  boost::asio::post(kernel_.control(), [this,
                                        done = std::move(done)]() mutable {
    std::ranges::for_each(servers_, [](auto& it) { it->CloseAfterAnswers(); });
    timer_.expires_after(settings_.grace.balancer);
    timer_.async_wait([this, done = std::move(done)](auto ec) mutable {
      if (!ec) {
        StopListening(std::move(done));
      }
    });
  });
}

void JobServers::StopListening(std::function<void()> done) {
  std::ranges::for_each(servers_, [](auto& it) { it->StopListening(); });
  WaitForAnswers(std::move(done));
}

void JobServers::WaitForAnswers(std::function<void()> done) {
  const bool is_idle = std::ranges::all_of(
      servers_, [](auto& it) { return it->in_flight() == 0; });
  if (is_idle) {
    done();
    return;
  }
  timer_.expires_after(kAnswerPoll);
  timer_.async_wait([this, done = std::move(done)](auto ec) mutable {
    if (!ec) {
      WaitForAnswers(std::move(done));
    }
  });
}

void JobServers::Stop() {
  kernel::RunOn(kernel_.control().get_executor(), [this] {
    timer_.cancel();
    std::ranges::for_each(servers_, [](auto& it) { it->Close(); });
  });
}

}  // namespace sassafras::daemon
