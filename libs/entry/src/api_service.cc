// The life of the HTTP server of the API.

#include "entry/api_service.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "api_router.h"
#include "http/server.h"

namespace sassafras::entry {
namespace {

constexpr auto kInFlightPoll = std::chrono::milliseconds(10);

}  // namespace

class ApiService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(ApiParts parts, telemetry::Metrics& metrics)
      : parts_(parts), router_(parts, metrics) {}

  bool Start(kernel::KernelReason& why) {
    const settings::Settings& settings = parts_.settings;
    http::ServerOptions options;
    options.address = settings.http.address;
    options.port = settings.http.port;
    options.max_body_bytes = settings.limits.max_body_bytes;
    options.max_header_bytes = settings.limits.max_header_bytes;
    options.max_connections = settings.limits.max_connections;
    options.header_timeout = settings.limits.header_timeout;
    options.body_timeout = settings.limits.body_timeout;
    options.idle_timeout = settings.limits.idle_timeout;
    http::ServerReason reason;
    server_ = http::Server::Create(
        parts_.kernel.traffic(), std::move(options),
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
        parts_.kernel.traffic(), parts_.settings.grace.balancer);
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
  void WaitForAnswers(std::function<void()> done) {
    if (server_->in_flight() == 0) {
      done();
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        parts_.kernel.traffic(), kInFlightPoll);
    timer->async_wait([self = shared_from_this(), timer,
                       done = std::move(done)](auto /*ec*/) mutable {
      self->WaitForAnswers(std::move(done));
    });
  }

  const ApiParts parts_;
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
          ApiParts{settings, kernel, entry, client, replica},
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
