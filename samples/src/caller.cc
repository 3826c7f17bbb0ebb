// caller: sends requests to a service through the cluster's entries and checks
// every answer.

#include <array>
#include <cstdlib>
#include <iomanip>
#include <iostream>

#include "load.h"
#include "sample_options.h"

namespace {

namespace po = boost::program_options;
using sassafras::samples::CommonOptions;
using sassafras::samples::Ledger;
using sassafras::samples::LoadMode;
using sassafras::samples::LoadOptions;
using sassafras::samples::LoadResult;
using sassafras::samples::SampleReason;
using sassafras::telemetry::Histogram;

constexpr int kExitMismatch = 1;
constexpr int kExitNotAllCompleted = 3;

constexpr std::array<std::pair<std::string_view, LoadMode>, 3> kModes = {{
    {"idempotent", LoadMode::kIdempotent},
    {"keyed", LoadMode::kKeyed},
    {"plain", LoadMode::kPlain},
}};

po::options_description Describe() {
  po::options_description description(
      "Usage: caller [options]\n"
      "Exit code: 0 all completed, 1 an answer had other bytes, 2 usage,\n"
      "3 not all requests were completed");
  sassafras::samples::AddCommonOptions(description);
  description.add_options()("service", po::value<std::string>()->required(),
                            "service to call")(
      "path", po::value<std::string>()->default_value("/echo"), "path")(
      "mode", po::value<std::string>()->default_value("idempotent"),
      "idempotent, keyed or plain")(
      "requests", po::value<uint64_t>()->default_value(100), "number")(
      "concurrency", po::value<uint32_t>()->default_value(8), "at once")(
      "body-bytes", po::value<uint32_t>()->default_value(200), "size")(
      "seed", po::value<uint64_t>()->default_value(1), "of the bodies")(
      "key-prefix", po::value<std::string>()->default_value("k"),
      "first part of keys and tags")("no-resend", "send each request once")(
      "used-keys", "don't state that the keys were never used before")(
      "timeout-ms", po::value<int64_t>()->default_value(5000),
      "Request-Timeout-Ms")("limit-ms",
                            po::value<int64_t>()->default_value(30000),
                            "of one request with all its resends")(
      "header", po::value<std::vector<std::string>>()->default_value({}, ""),
      "NAME:VALUE sent with every request; may be given several times");
  return description;
}

bool ReadMode(const std::string& text, LoadMode& mode) {
  const auto* it = std::ranges::find(
      kModes, text, &std::pair<std::string_view, LoadMode>::first);
  if (it == kModes.end()) {
    std::cerr << "--mode: \"" << text << "\" does not exist\n";
    return false;
  }
  mode = it->second;
  return true;
}

sassafras::http::Headers ReadHeaders(const po::variables_map& given) {
  sassafras::http::Headers headers;
  for (const auto& text : given["header"].as<std::vector<std::string>>()) {
    const size_t colon = text.find(':');
    headers.emplace_back(text.substr(0, colon), colon == std::string::npos
                                                    ? ""
                                                    : text.substr(colon + 1));
  }
  return headers;
}

LoadOptions MakeOptions(const CommonOptions& common,
                        const po::variables_map& given) {
  LoadOptions options;
  options.entries = common.entries;
  options.token = common.token;
  options.service = given["service"].as<std::string>();
  options.path = given["path"].as<std::string>();
  options.requests = given["requests"].as<uint64_t>();
  options.concurrency = given["concurrency"].as<uint32_t>();
  options.body_bytes = given["body-bytes"].as<uint32_t>();
  options.seed = given["seed"].as<uint64_t>();
  options.key_prefix = given["key-prefix"].as<std::string>();
  options.may_resend = !given.contains("no-resend");
  options.is_first_sending = !given.contains("used-keys");
  options.timeout =
      std::chrono::milliseconds(given["timeout-ms"].as<int64_t>());
  options.limit = std::chrono::milliseconds(given["limit-ms"].as<int64_t>());
  options.headers = ReadHeaders(given);
  return options;
}

void Print(const LoadResult& result, const Histogram& latency) {
  for (const auto& [outcome, n] : result.outcomes) {
    std::cout << outcome << "=" << n << " ";
  }
  std::cout << "mismatches=" << result.mismatches
            << " resends=" << result.resends << "\n";
  constexpr double kMsPerSecond = 1000;
  constexpr std::array<double, 4> kShares = {0.5, 0.9, 0.99, 1.0};
  std::cout << std::fixed << std::setprecision(2) << "latency_ms";
  for (const double share : kShares) {
    std::cout << " p" << static_cast<int>(share * 100) << "="
              << latency.Quantile(share) * kMsPerSecond;
  }
  std::cout << "\n";
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
  LoadOptions options = MakeOptions(*common, given);
  if (!ReadMode(given["mode"].as<std::string>(), options.mode)) {
    return sassafras::samples::kExitUsage;
  }
  SampleReason why;
  auto ledger = Ledger::Open(common->ledger, why);
  if (!ledger) {
    std::cerr << why.message << "\n";
    return EXIT_FAILURE;
  }
  const auto metrics = sassafras::telemetry::Metrics::Create();
  auto& latency =
      metrics->GetHistogram("latency_seconds", "Time until the last answer.",
                            sassafras::samples::FineLatencyBounds());
  const LoadResult result = RunLoad(options, *ledger, latency);
  Print(result, latency);
  if (result.mismatches != 0) {
    return kExitMismatch;
  }
  return result.IsAllCompleted(options.requests) ? EXIT_SUCCESS
                                                 : kExitNotAllCompleted;
}
