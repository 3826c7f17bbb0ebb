// The HTTP servers of a job process, and how they stop without cutting off a
// request.

#ifndef DAEMON_SRC_JOB_SERVERS_H_
#define DAEMON_SRC_JOB_SERVERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "http/server.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace sassafras::daemon {

// One address and what is answered there, on the control thread.
struct HttpPlace {
  settings::Endpoint endpoint;
  http::Handler handler;
  // The port that the process exists for; the others get few descriptors.
  bool is_main = false;
  // Limits beside the settings; may be null. See http::ServerOptions.
  std::function<http::RequestLimits()> current_limits;
};

class JobServers : public kernel::Service {
 public:
  // References must outlive the service.
  JobServers(const settings::Settings& settings,
             kernel::Kernel& kernel,
             telemetry::Metrics& metrics,
             std::vector<HttpPlace> places);
  ~JobServers() override;

  std::string_view name() const override { return "http"; }
  bool Start(kernel::KernelReason& why) override;
  // Serves on until the balancer has taken notice, asking callers to leave
  // their connections, then accepts no more and waits for what is in flight.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  // What is the same for all servers.
  http::ServerOptions MakeOptions() const;
  void StopListening(std::function<void()> done);
  void WaitForAnswers(std::function<void()> done);

  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  telemetry::Metrics& metrics_;
  std::vector<HttpPlace> places_;
  std::vector<std::unique_ptr<http::Server>> servers_;
  boost::asio::steady_timer timer_;
};

}  // namespace sassafras::daemon

#endif  // DAEMON_SRC_JOB_SERVERS_H_
