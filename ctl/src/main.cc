// sassafrasctl: the operators' command line on the HTTP API.

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "command.h"

namespace {

using sassafras::ctl::Context;
using sassafras::ctl::Environment;
using sassafras::ctl::ExitCode;
using sassafras::ctl::GlobalOptions;

std::string ReadEnvironment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT: one thread only
  return value == nullptr ? "" : value;
}

// Calls the cluster; one that forms a cluster asks the first entry only.
sassafras::ctl::Caller MakeCaller(const GlobalOptions& global) {
  return [&global](sassafras::http::Request request,
                   sassafras::client::ResendRule resend) {
    sassafras::client::CallOptions options;
    options.limit = global.timeout;
    options.resend = resend;
    const bool is_first_only = request.target == "/v1/cluster/init";
    auto entries = global.entries;
    entries.resize(is_first_only ? 1 : entries.size());
    return sassafras::client::BlockingCall(entries, global.token,
                                           std::move(request), options);
  };
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const Environment environment = {ReadEnvironment("SASSAFRAS_TOKEN"),
                                   ReadEnvironment("SASSAFRAS_ENTRIES")};
  ExitCode exit_code = ExitCode::kOk;
  const auto invocation = sassafras::ctl::ParseCommandLine(
      arguments, environment, std::cout, std::cerr, exit_code);
  if (!invocation) {
    return static_cast<int>(exit_code);
  }
  Context context{invocation->global, invocation->given,
                  MakeCaller(invocation->global), std::cout, std::cerr};
  return static_cast<int>(invocation->command->run(context));
}
