// Starts, drains and stops the API's HTTP server.

#include "entry/api_service.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "api_router.h"
#include "http/server.h"

namespace sassafras::entry {
namespace {

// Interval at which Drain() checks for requests in flight.
constexpr auto kInFlightPollInterval = std::chrono::milliseconds(10);

}  // namespace

class ApiService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(ApiDependencies dependencies, telemetry::Metrics& metrics)
      : dependencies_(dependencies), router_(dependencies, metrics) {}

  bool Start(kernel::KernelReason& why) {
    const settings::Settings& settings = dependencies_.settings;
    http::ServerOptions options;
    options.address = settings.http.address;
    options.port = settings.http.port;
    options.limits = {.max_body_bytes = settings.limits.max_body_bytes,
                      .max_header_bytes = settings.limits.max_header_bytes,
                      .max_header_fields = settings.limits.max_header_fields,
                      .header_timeout = settings.limits.header_timeout,
                      .idle_timeout = settings.limits.idle_timeout};
    options.max_connections = settings.limits.max_connections;
    options.body_timeout = settings.limits.body_timeout;
    options.memory = http::RequestMemory::Create(
        settings.limits.max_unanswered_bytes, options.limits);
    http::ServerReason reason;
    server_ = http::Server::Create(
        dependencies_.kernel.traffic(), std::move(options),
        [this](http::Request request, http::Respond respond) {
          router_.Handle(std::move(request), std::move(respond));
        },
        reason);
    return server_ ||
           why.Set(kernel::KernelError::kServiceFailed, reason.message);
  }

  void Drain(std::function<void()> done) {
    router_.BeginDrain();
    server_->CloseAfterAnswers();
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        dependencies_.kernel.traffic(), dependencies_.settings.grace.balancer);
    timer->async_wait([self = shared_from_this(), timer,
                       done = std::move(done)](auto /*ec*/) mutable {
      self->server_->StopListening();
      self->WaitForAnswers(std::move(done));
    });
  }

  void Stop() {
    if (server_) {
      server_->Close();
    }
  }

 private:
  // Calls `done` once no request is in flight.
  void WaitForAnswers(std::function<void()> done) {
    if (server_->in_flight() == 0) {
      done();
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        dependencies_.kernel.traffic(), kInFlightPollInterval);
    timer->async_wait([self = shared_from_this(), timer,
                       done = std::move(done)](auto /*ec*/) mutable {
      self->WaitForAnswers(std::move(done));
    });
  }

  const ApiDependencies dependencies_;
  ApiRouter router_;
  std::unique_ptr<http::Server> server_;  // set by Start()
};

ApiService::ApiService(const settings::Settings& settings,
                       kernel::Kernel& kernel,
                       EntryService& entry,
                       cluster::Client& client,
                       control::ReplicaService* replica,
                       telemetry::Metrics& metrics)
    : impl_(std::make_shared<Impl>(
          ApiDependencies{settings, kernel, entry, client, replica},
          metrics)) {}

ApiService::~ApiService() = default;

bool ApiService::Start(kernel::KernelReason& why) {
  return impl_->Start(why);
}

void ApiService::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

void ApiService::Stop() {
  impl_->Stop();
}

}  // namespace sassafras::entry
