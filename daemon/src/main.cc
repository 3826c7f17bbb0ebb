// sassafrasd: one process on each entry host. Reads its settings, builds the
// services that they ask for, and runs until SIGTERM or SIGINT.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "control/leader_service.h"
#include "control/replica_service.h"
#include "entry/api_service.h"
#include "entry/entry_service.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace {

namespace options = boost::program_options;
using sassafras::cluster::Client;
using sassafras::cluster::Peers;
using sassafras::cluster::PeerService;
using sassafras::control::LeaderService;
using sassafras::control::ReplicaService;
using sassafras::entry::ApiService;
using sassafras::entry::EntryService;
using sassafras::kernel::Kernel;
using sassafras::settings::Settings;
using sassafras::telemetry::Log;
using sassafras::telemetry::LogLevel;

constexpr std::string_view kVersion = "sassafrasd 0.1.0";
constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

std::optional<Settings> LoadSettings(const std::string& path) {
  std::vector<sassafras::settings::Problem> problems;
  auto settings = Settings::Load(path, problems);
  for (const auto& problem : problems) {
    std::cerr << problem.ToString() << "\n";
  }
  return settings;
}

bool StartLogging(const Settings& settings) {
  sassafras::telemetry::LogOptions log_options;
  sassafras::telemetry::LogReason why;
  log_options.file = settings.log.file;
  const bool is_started = sassafras::telemetry::ParseLogLevel(
                              settings.log.level, log_options.level, why) &&
                          sassafras::telemetry::StartLogging(log_options, why);
  if (!is_started) {
    std::cerr << why.message << "\n";
  }
  return is_started;
}

// Adds the services in the order in which they start.
void AddServices(const Settings& settings,
                 Kernel& kernel,
                 Peers& peers,
                 std::unique_ptr<Client>& client,
                 sassafras::telemetry::Metrics& metrics) {
  auto peer_service = std::make_unique<PeerService>(settings, kernel.traffic());
  PeerService& peer = *peer_service;
  ReplicaService* replica = nullptr;
  LeaderService* leader = nullptr;
  std::unique_ptr<ReplicaService> replica_service;
  std::unique_ptr<LeaderService> leader_service;
  if (settings.IsControlReplica()) {
    replica_service = std::make_unique<ReplicaService>(settings, kernel, peers,
                                                       peer, metrics);
    replica = replica_service.get();
    leader_service = std::make_unique<LeaderService>(settings, kernel, peers,
                                                     peer, *replica);
    leader = leader_service.get();
  }
  sassafras::cluster::LocalHandler local;
  if (leader) {
    local = [leader](const std::string& method, const nlohmann::json& body,
                     sassafras::cluster::ReplyDone done) {
      leader->Handle(method, body, std::move(done));
    };
  }
  client = Client::Create(settings.process.name, kernel.control(), peers,
                          std::move(local));
  auto entry =
      std::make_unique<EntryService>(settings, kernel, peer, *client, metrics);
  auto api = std::make_unique<ApiService>(settings, kernel, *entry, *client,
                                          replica, metrics);
  if (replica_service) {
    kernel.Add(std::move(replica_service));
    kernel.Add(std::move(leader_service));
  }
  kernel.Add(std::move(entry));
  kernel.Add(std::move(peer_service));
  kernel.Add(std::move(api));
}

int Run(const Settings& settings) {
  const auto metrics = sassafras::telemetry::Metrics::Create();
  const auto kernel = Kernel::Create(settings.threads.traffic);
  Peers peers(settings, kernel->control().get_executor());
  std::unique_ptr<Client> client;
  AddServices(settings, *kernel, peers, client, *metrics);

  boost::asio::signal_set signals(kernel->traffic(), SIGTERM, SIGINT);
  signals.async_wait([&kernel](auto ec, int signal) {
    if (!ec) {
      Log(LogLevel::kInfo, "stopping on signal " + std::to_string(signal));
      kernel->RequestStop();
    }
  });
  Log(LogLevel::kInfo, "starting " + settings.process.name.str() + " in " +
                           settings.process.zone.str());
  sassafras::kernel::KernelReason why;
  const bool is_ok =
      kernel->Run(settings.grace.balancer + settings.grace.drain, why);
  if (!is_ok) {
    Log(LogLevel::kError, why.message);
    std::cerr << why.message << "\n";
  }
  return is_ok ? EXIT_SUCCESS : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("Usage: sassafrasd --config FILE");
  description.add_options()("config", options::value<std::string>(),
                            "settings file (TOML)")(
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
  if (!given.contains("config")) {
    std::cerr << "--config FILE is missing\n" << description;
    return kExitUsage;
  }
  const auto settings = LoadSettings(given["config"].as<std::string>());
  if (!settings) {
    return kExitUsage;
  }
  if (given.contains("check-config")) {
    std::cout << "ok\n";
    return EXIT_SUCCESS;
  }
  return StartLogging(*settings) ? Run(*settings) : kExitFailed;
}
