// sassafras-jobd: one process of the job queues. An entry serves callers; a
// control host, which has a data folder, keeps the state, and one of them
// leads. Reads its settings, builds the services that they ask for, and runs
// until SIGTERM or SIGINT.

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "job_servers.h"
#include "jobcontrol/control_node.h"
#include "jobcontrol/entry_node.h"
#include "kernel/kernel.h"
#include "platform/caller_api.h"
#include "platform/control_api.h"
#include "platform/environment.h"
#include "platform/manifest_format.h"
#include "platform/worker_client.h"
#include "settings/settings.h"
#include "telemetry/decision.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace {

namespace options = boost::program_options;
namespace sas = sassafras;
using sas::daemon::HttpPlace;
using sas::daemon::JobServers;
using sas::jobcontrol::ControlNode;
using sas::jobcontrol::EntryNode;
using sas::platform::kSettingsVariable;
using sas::settings::Settings;
using sas::telemetry::Decision;
using sas::telemetry::Log;
using sas::telemetry::LogLevel;

constexpr std::string_view kVersion = "sassafras-jobd 0.1.0";
constexpr auto kLogPeriod = std::chrono::milliseconds(200);
// Decision lines of one kind a second. Above it a line costs work that callers
// wait for.
constexpr uint32_t kMaxDecisionRate = 500;
constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

std::optional<Settings> LoadSettings(const std::string& path) {
  std::vector<sas::settings::Problem> problems;
  auto settings = Settings::Load(path, problems);
  for (const auto& problem : problems) {
    std::cerr << problem.ToString() << "\n";
  }
  return settings;
}

bool StartLogging(const Settings& settings) {
  sas::telemetry::LogOptions log_options;
  sas::telemetry::LogReason why;
  log_options.file = settings.log.file;
  log_options.uses_stdout = true;
  log_options.is_buffered = true;
  const bool is_started = sas::telemetry::ParseLogLevel(
                              settings.log.level, log_options.level, why) &&
                          sas::telemetry::StartLogging(log_options, why);
  if (!is_started) {
    std::cerr << why.message << "\n";
  }
  return is_started;
}

sas::http::Answer AnswerMetrics(const sas::telemetry::Metrics& metrics,
                                const sas::http::Request& request) {
  if (request.path() != "/metrics") {
    return {404, {}, ""};
  }
  return {
      200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.Render()};
}

// What one process consists of. The order of the members is that in which
// they are needed.
struct Process {
  explicit Process(const Settings& given)
      : settings(given),
        metrics(sas::telemetry::Metrics::Create()),
        kernel(sas::kernel::Kernel::Create(settings.threads.traffic)),
        peers(settings, kernel->control().get_executor()),
        workers(sas::platform::WorkerClient::Create(kernel->control(),
                                                    settings.jobs.adviser)) {}

  const Settings& settings;
  std::unique_ptr<sas::telemetry::Metrics> metrics;
  std::unique_ptr<sas::kernel::Kernel> kernel;
  sas::cluster::Peers peers;
  std::unique_ptr<sas::platform::WorkerClient> workers;
  std::unique_ptr<sas::cluster::Client> client;
};

// The limits of the manifest in force at this entry.
sas::http::RequestLimits CallerLimits(const EntryNode& entry) {
  const sas::jobs::RequestLimits& limits = entry.manifest().limits();
  return {.max_body_bytes = limits.max_body_bytes,
          .max_header_bytes = limits.max_header_bytes,
          .max_header_fields = 0,
          .header_timeout = std::chrono::milliseconds(limits.header_timeout_ms),
          .idle_timeout = std::chrono::milliseconds(limits.idle_timeout_ms)};
}

// Adds the services in the order in which they start.
void AddServices(Process& process) {
  const Settings& settings = process.settings;
  sas::kernel::Kernel& kernel = *process.kernel;
  // On the control thread, where each call ends up: a process has one core, and
  // a change of thread costs as much as a short call.
  auto peer_service =
      std::make_unique<sas::cluster::PeerService>(settings, kernel.control());
  std::unique_ptr<ControlNode> control;
  sas::cluster::LocalHandler local;
  if (settings.IsControlReplica()) {
    control = std::make_unique<ControlNode>(
        settings, kernel, process.peers, *peer_service, *process.workers,
        *process.metrics, sas::platform::ReadManifest);
    local = [node = control.get()](const std::string& method,
                                   const nlohmann::json& body,
                                   const sas::cluster::ReplyDone& done) {
      node->Handle(method, body, done);
    };
  }
  process.client = sas::cluster::Client::Create(
      sas::wire::EntryId(settings.peer.ToString()), kernel.control(),
      process.peers, std::move(local));
  sas::cluster::Client& client = *process.client;

  std::vector<HttpPlace> places;
  places.push_back(
      {settings.http, [&process](const auto& request, const auto& respond) {
         respond(AnswerMetrics(*process.metrics, request));
       }});
  if (control) {
    control->SetClient(client);
    ControlNode* node = control.get();
    if (settings.jobs.control.port != 0) {
      places.push_back(
          {.endpoint = settings.jobs.control,
           .handler =
               [node, &client](const auto& request, const auto& respond) {
                 sas::platform::HandleControlRequest(*node, client, request,
                                                     respond);
               },
           .is_main = true});
    }
    kernel.Add(std::move(control));
  }
  if (settings.jobs.callers.port != 0) {
    auto entry = std::make_unique<EntryNode>(
        settings, kernel, process.peers, *peer_service, client,
        *process.workers, *process.metrics);
    EntryNode* node = entry.get();
    places.push_back(
        {.endpoint = settings.jobs.callers,
         .handler =
             [node](const auto& request, const auto& respond) {
               sas::platform::HandleCallerRequest(*node, request, respond);
             },
         .is_main = true,
         .current_limits = [node] { return CallerLimits(*node); }});
    if (settings.jobs.ready.port != 0) {
      places.push_back(
          {settings.jobs.ready, [node](const auto&, const auto& respond) {
             respond(sas::platform::HandleReadinessCheck(*node));
           }});
    }
    kernel.Add(std::move(peer_service));
    kernel.Add(std::make_unique<JobServers>(settings, kernel, *process.metrics,
                                            std::move(places)));
    kernel.Add(std::move(entry));
    return;
  }
  kernel.Add(std::move(peer_service));
  kernel.Add(std::make_unique<JobServers>(settings, kernel, *process.metrics,
                                          std::move(places)));
}

// SIGHUP reads the settings again; a file with a fault changes nothing.
void WatchSignals(boost::asio::signal_set& signals,
                  Process& process,
                  const std::string& path) {
  signals.async_wait([&signals, &process, path](auto ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      const bool is_valid = LoadSettings(path).has_value();
      Decision("reload").With("valid", is_valid).Write();
      WatchSignals(signals, process, path);
      return;
    }
    Decision("stop").With("signal", signal).Write();
    process.kernel->RequestStop();
  });
}

void FlushLogs(boost::asio::steady_timer& timer) {
  sas::telemetry::ReportOmittedDecisions();
  sas::telemetry::FlushLog();
  timer.expires_after(kLogPeriod);
  timer.async_wait([&timer](auto ec) {
    if (!ec) {
      FlushLogs(timer);
    }
  });
}

int Run(const Settings& settings, const std::string& path) {
  Process process(settings);
  AddServices(process);
  boost::asio::signal_set signals(process.kernel->control(), SIGTERM, SIGINT,
                                  SIGHUP);
  WatchSignals(signals, process, path);
  boost::asio::steady_timer log_timer(process.kernel->control());
  FlushLogs(log_timer);
  sas::telemetry::LimitDecisions(kMaxDecisionRate);
  Decision("begin")
      .With("name", settings.process.name)
      .With("zone", settings.process.zone)
      .With("is_control", settings.IsControlReplica())
      .Write();
  sas::kernel::KernelReason why;
  const bool is_ok =
      process.kernel->Run(settings.grace.balancer + settings.grace.drain, why);
  if (!is_ok) {
    Log(LogLevel::kError, why.message);
    std::cerr << why.message << "\n";
  }
  sas::telemetry::FlushLog();
  return is_ok ? EXIT_SUCCESS : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "Usage: sassafras-jobd [--config FILE]");
  description.add_options()(
      "config", options::value<std::string>(),
      "settings file (TOML); without it, that of the environment")(
      "check-config", "check the settings file and exit")(
      "version", "print the version and exit")("help",
                                               "print this text and exit");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, description), given);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (given.contains("help")) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  if (given.contains("version")) {
    std::cout << kVersion << "\n";
    return EXIT_SUCCESS;
  }
  const char* from_environment = std::getenv(kSettingsVariable);
  const std::string path = given.contains("config")
                               ? given["config"].as<std::string>()
                           : from_environment ? from_environment
                                              : "";
  if (path.empty()) {
    std::cerr << "neither --config nor " << kSettingsVariable << " is given\n"
              << description;
    return kExitUsage;
  }
  const auto settings = LoadSettings(path);
  if (!settings) {
    return kExitUsage;
  }
  if (given.contains("check-config")) {
    std::cout << "ok\n";
    return EXIT_SUCCESS;
  }
  return StartLogging(*settings) ? Run(*settings, path) : kExitFailed;
}
