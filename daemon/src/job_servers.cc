// Starting and stopping the servers of a job process.

#include "job_servers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace sassafras::daemon {
namespace {

constexpr auto kAnswerPoll = std::chrono::milliseconds(20);

}  // namespace

JobServers::JobServers(const settings::Settings& settings,
                       kernel::Kernel& kernel,
                       std::vector<HttpPlace> places)
    : settings_(settings),
      kernel_(kernel),
      places_(std::move(places)),
      timer_(kernel.control()) {}

JobServers::~JobServers() = default;

bool JobServers::Start(kernel::KernelReason& why) {
  for (HttpPlace& place : places_) {
    http::ServerOptions options;
    options.address = place.endpoint.address;
    options.port = place.endpoint.port;
    options.max_body_bytes = settings_.limits.max_body_bytes;
    options.max_header_bytes = settings_.limits.max_header_bytes;
    options.max_connections = settings_.limits.max_connections;
    options.idle_timeout = settings_.limits.idle_timeout;
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
