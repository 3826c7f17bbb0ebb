// Command-line options that every sample program has.

#include "sample_options.h"

#include <cstdlib>
#include <iostream>

namespace sassafras::samples {

namespace po = boost::program_options;

namespace {

std::optional<CommonOptions> FromGiven(const po::variables_map& given) {
  CommonOptions common;
  common.token = given["token"].as<std::string>();
  common.ledger = given["ledger"].as<std::string>();
  for (const auto& text : given["entry"].as<std::vector<std::string>>()) {
    client::ClientReason why;
    const auto endpoint = client::Endpoint::Parse(text, why);
    if (!endpoint) {
      std::cerr << "--entry: " << why.message << "\n";
      return std::nullopt;
    }
    common.entries.push_back(*endpoint);
  }
  return common;
}

}  // namespace

void AddCommonOptions(po::options_description& description) {
  description.add_options()("help", "print this text and exit")(
      "entry", po::value<std::vector<std::string>>()->required(),
      "ADDRESS:PORT of an entry; may be given several times")(
      "token", po::value<std::string>()->default_value(""), "bearer token")(
      "ledger", po::value<std::string>()->default_value(""),
      "file to which the program appends what it did");
}

std::optional<CommonOptions> ReadCommonOptions(
    int argc,
    char** argv,
    const po::options_description& description,
    po::variables_map& given,
    int& exit_code) {
  exit_code = kExitUsage;
  try {
    po::store(po::parse_command_line(argc, argv, description), given);
    if (given.contains("help")) {
      std::cout << description;
      exit_code = EXIT_SUCCESS;
      return std::nullopt;
    }
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return std::nullopt;
  }
  return FromGiven(given);
}

}  // namespace sassafras::samples
