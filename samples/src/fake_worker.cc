// fake_worker: one process that stands in for any number of workers.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "sample_options.h"
#include "worker_agent.h"

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using sassafras::base::Random;
using sassafras::samples::CommonOptions;
using sassafras::samples::Ledger;
using sassafras::samples::WorkerAgent;
using sassafras::samples::WorkerOptions;
namespace wire = sassafras::wire;

po::options_description Describe() {
  po::options_description description("Usage: fake_worker [options]");
  sassafras::samples::AddCommonOptions(description);
  description.add_options()("id", po::value<std::string>()->required(),
                            "id of the worker, or prefix of several")(
      "count", po::value<size_t>()->default_value(1),
      "number of workers; above 1 the ids are ID-0, ID-1, ...")(
      "zone", po::value<std::string>()->default_value("zone-a"), "zone")(
      "rack", po::value<std::string>()->default_value("rack-1"), "rack")(
      "milli-cpus", po::value<int64_t>()->default_value(16000), "capacity")(
      "memory-mib", po::value<int64_t>()->default_value(32768), "capacity")(
      "accelerators", po::value<int64_t>()->default_value(0), "capacity")(
      "period-ms", po::value<int64_t>()->default_value(500),
      "time between heartbeats")(
      "drain-ms", po::value<int64_t>()->default_value(5000),
      "how long a leaving worker waits for its attempts");
  return description;
}

WorkerOptions MakeOptions(const CommonOptions& common,
                          const po::variables_map& given,
                          size_t index) {
  const bool is_single = given["count"].as<size_t>() == 1;
  const auto& id = given["id"].as<std::string>();
  WorkerOptions options;
  options.entries = common.entries;
  options.token = common.token;
  options.id =
      wire::WorkerId(is_single ? id : id + "-" + std::to_string(index));
  options.zone = wire::ZoneId(given["zone"].as<std::string>());
  options.rack = wire::RackId(given["rack"].as<std::string>());
  options.capacity = {given["milli-cpus"].as<int64_t>(),
                      given["memory-mib"].as<int64_t>(),
                      given["accelerators"].as<int64_t>()};
  options.period = std::chrono::milliseconds(given["period-ms"].as<int64_t>());
  options.drain = std::chrono::milliseconds(given["drain-ms"].as<int64_t>());
  options.first_entry = index;
  return options;
}

int RunWorkers(const CommonOptions& common,
               const po::variables_map& given,
               Ledger& ledger) {
  asio::io_context context(1);
  Random random = Random::FromSystem();
  std::vector<std::unique_ptr<WorkerAgent>> agents;
  size_t running = given["count"].as<size_t>();
  asio::signal_set signals(context, SIGTERM, SIGINT);
  for (size_t i = 0; i < given["count"].as<size_t>(); ++i) {
    agents.push_back(std::make_unique<WorkerAgent>(
        context.get_executor(), MakeOptions(common, given, i), ledger,
        random.Below(UINT64_MAX)));
    asio::co_spawn(context, agents.back()->Run(),
                   [&](const std::exception_ptr& /*error*/) {
                     if (--running == 0) {
                       signals.cancel();
                     }
                   });
  }
  signals.async_wait([&](boost::system::error_code ec, int /*signal*/) {
    if (!ec) {
      for (const auto& agent : agents) {
        agent->Leave();
      }
    }
  });
  context.run();
  sassafras::samples::HeartbeatCounts counts;
  for (const auto& agent : agents) {
    counts.Add(agent->counts());
  }
  std::cout << given["id"].as<std::string>() << " " << counts.ToString()
            << "\n";
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  po::variables_map given;
  int exit_code = EXIT_SUCCESS;
  const auto common = sassafras::samples::ReadCommonOptions(
      argc, argv, Describe(), given, exit_code);
  if (!common) {
    return exit_code;
  }
  sassafras::samples::SampleReason why;
  auto ledger = Ledger::Open(common->ledger, why);
  if (!ledger) {
    std::cerr << why.message << "\n";
    return EXIT_FAILURE;
  }
  return RunWorkers(*common, given, *ledger);
}
