// fake_upstream: an HTTP server that announces itself to the cluster, counts
// what it is sent at once, and leaves gracefully on SIGTERM.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "client/entry_client.h"
#include "sample_options.h"
#include "upstream_server.h"
#include "wire/codec.h"
#include "wire/routing.h"

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
namespace client = sassafras::client;
namespace wire = sassafras::wire;
using sassafras::base::Random;
using sassafras::samples::CommonOptions;
using sassafras::samples::Ledger;
using sassafras::samples::MonotonicUs;
using sassafras::samples::SampleReason;
using sassafras::samples::UpstreamServer;
using sassafras::samples::UpstreamServerOptions;

constexpr auto kTryLimit = std::chrono::milliseconds(500);
constexpr int64_t kUsPerMs = 1000;
constexpr int kOk = 200;

po::options_description Describe() {
  po::options_description description("Usage: fake_upstream [options]");
  sassafras::samples::AddCommonOptions(description);
  description.add_options()("id", po::value<std::string>()->required(),
                            "id of the upstream")(
      "service", po::value<std::string>()->required(), "service it serves")(
      "zone", po::value<std::string>()->default_value("zone-a"), "zone")(
      "address", po::value<std::string>()->default_value("127.0.0.1"),
      "IP number to listen on")("port", po::value<uint16_t>()->default_value(0),
                                "port; 0: any free one")(
      "slots", po::value<uint32_t>()->default_value(8), "requests at once")(
      "connections", po::value<uint32_t>()->default_value(64),
      "connections at once")("delay-ms", po::value<int64_t>()->default_value(0),
                             "of every answer")(
      "fail-percent", po::value<uint32_t>()->default_value(0), "answers 500")(
      "break-percent", po::value<uint32_t>()->default_value(0),
      "answers broken off half way")("silent-percent",
                                     po::value<uint32_t>()->default_value(0),
                                     "requests never answered")(
      "seed", po::value<uint64_t>()->default_value(1), "of the shares above")(
      "period-ms", po::value<int64_t>()->default_value(300),
      "time between heartbeats")(
      "quiet-ms", po::value<int64_t>()->default_value(3000),
      "a leaving upstream exits when it has had no request for so long");
  return description;
}

UpstreamServerOptions MakeServerOptions(const po::variables_map& given) {
  UpstreamServerOptions options;
  options.address = given["address"].as<std::string>();
  options.port = given["port"].as<uint16_t>();
  options.slots = given["slots"].as<uint32_t>();
  options.connections = given["connections"].as<uint32_t>();
  options.delay = std::chrono::milliseconds(given["delay-ms"].as<int64_t>());
  options.fail_percent = given["fail-percent"].as<uint32_t>();
  options.break_percent = given["break-percent"].as<uint32_t>();
  options.silent_percent = given["silent-percent"].as<uint32_t>();
  options.seed = given["seed"].as<uint64_t>();
  return options;
}

// Announces the server to the cluster until it has left.
class Announcer {
 public:
  Announcer(asio::io_context& context,
            const CommonOptions& common,
            const po::variables_map& given,
            UpstreamServer& server,
            Ledger& ledger)
      : server_(server),
        ledger_(ledger),
        client_(context.get_executor(), common.entries),
        timer_(context),
        period_(std::chrono::milliseconds(given["period-ms"].as<int64_t>())),
        quiet_us_(given["quiet-ms"].as<int64_t>() * kUsPerMs) {
    client_.SetToken(common.token);
    heartbeat_.upstream = wire::UpstreamId(given["id"].as<std::string>());
    heartbeat_.incarnation = wire::Incarnation(Random::FromSystem().HexId());
    heartbeat_.service = wire::ServiceId(given["service"].as<std::string>());
    heartbeat_.zone = wire::ZoneId(given["zone"].as<std::string>());
    heartbeat_.address = given["address"].as<std::string>();
    heartbeat_.port = server.port();
    heartbeat_.slots = given["slots"].as<uint32_t>();
    heartbeat_.connections = given["connections"].as<uint32_t>();
  }

  asio::awaitable<void> Run() {
    while (!HasLeft()) {
      co_await Beat();
      timer_.expires_after(period_);
      co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    ledger_.Note("left " + server_.counts().ToString());
    server_.Close();
  }

  void Leave() {
    heartbeat_.state = wire::UpstreamState::kLeaving;
    timer_.cancel();
  }

 private:
  bool IsLeaving() const {
    return heartbeat_.state == wire::UpstreamState::kLeaving;
  }

  // Leaving was acknowledged, nothing is in flight and nothing came for a
  // while.
  bool HasLeft() const {
    if (leaving_since_us_ == 0 || server_.counts().in_flight != 0) {
      return false;
    }
    const int64_t last =
        std::max(leaving_since_us_, server_.counts().last_request_us);
    return MonotonicUs() - last >= quiet_us_;
  }

  asio::awaitable<void> Beat() {
    heartbeat_.busy = server_.counts().in_flight;
    heartbeat_.open = server_.counts().open;
    ++heartbeat_.sequence;
    const bool is_leaving = IsLeaving();
    sassafras::http::Request request;
    request.method = "POST";
    request.target = "/v1/upstreams/" +
                     client::EncodeSegment(heartbeat_.upstream.str()) +
                     "/heartbeat";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = nlohmann::json(heartbeat_).dump();
    client::CallOptions options;
    options.limit = kTryLimit;
    options.try_limit = kTryLimit;
    options.resend = {.on_unknown = false, .on_not_run = false};
    const auto result = co_await client_.Call(std::move(request), options);
    const bool is_ok = result.answer && result.answer->status == kOk;
    if (is_ok) {
      TakeStamp(result.answer->body);
    } else {
      ledger_.Note("unanswered " +
                   (result.answer ? result.answer->body : result.why.message));
    }
    if (is_ok && is_leaving && leaving_since_us_ == 0) {
      leaving_since_us_ = MonotonicUs();
      ledger_.Note("leaving");
    }
  }

  // The next heartbeat echoes the answer's stamp, which lets the leader trust
  // what it says of slots in use.
  void TakeStamp(const std::string& body) {
    wire::CodecReason why;
    const auto answer = wire::DecodeJson<wire::UpstreamAnswer>(body, why);
    if (answer) {
      heartbeat_.answered = answer->stamp;
    }
  }

  UpstreamServer& server_;
  Ledger& ledger_;
  client::EntryClient client_;
  asio::steady_timer timer_;
  std::chrono::milliseconds period_;
  int64_t quiet_us_;
  wire::UpstreamHeartbeat heartbeat_;
  int64_t leaving_since_us_ = 0;  // 0: leaving wasn't acknowledged
};

int RunUpstream(const CommonOptions& common,
                const po::variables_map& given,
                Ledger& ledger) {
  asio::io_context context(1);
  UpstreamServer server(context, MakeServerOptions(given), ledger);
  SampleReason why;
  if (!server.Listen(why)) {
    std::cerr << why.message << "\n";
    return EXIT_FAILURE;
  }
  Announcer announcer(context, common, given, server, ledger);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int /*signal*/) {
    if (!ec) {
      announcer.Leave();
    }
  });
  asio::co_spawn(context, server.Accept(), asio::detached);
  asio::co_spawn(
      context, announcer.Run(),
      [&](const std::exception_ptr& /*error*/) { signals.cancel(); });
  context.run();
  std::cout << given["id"].as<std::string>() << " "
            << server.counts().ToString() << "\n";
  const bool has_excess = server.counts().slot_excess != 0 ||
                          server.counts().connection_excess != 0;
  return has_excess ? EXIT_FAILURE : EXIT_SUCCESS;
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
  SampleReason why;
  auto ledger = Ledger::Open(common->ledger, why);
  if (!ledger) {
    std::cerr << why.message << "\n";
    return EXIT_FAILURE;
  }
  return RunUpstream(*common, given, *ledger);
}
