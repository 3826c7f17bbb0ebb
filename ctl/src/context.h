// What a subcommand of sassafrasctl gets, and what it may answer.

#ifndef CTL_SRC_CONTEXT_H_
#define CTL_SRC_CONTEXT_H_

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "base/time.h"
#include "client/call.h"

namespace sassafras::ctl {

// Exit codes, for scripts; docs/API.md lists them.
enum class ExitCode {
  kOk = 0,
  kRefused = 1,     // the server refused: bad input, no right, not found
  kUsage = 2,       // the command line is wrong
  kNotReached = 3,  // certain: nothing was done, no entry could do it
  kUnknown = 4,     // it may have been done; send it again
  kConflict = 5,    // another operator was first
  kInvalid = 6,     // the section's text has errors
  kNotInForce = 7,  // --wait ran out of time before the change was in force
  // Of checks of a file, which ask no server to do anything.
  kFindings = kRefused,      // it has errors or warnings
  kUnreadable = kNotReached  // it, or what it is compared with, can't be read
};

// Options that stand before the subcommand.
struct GlobalOptions {
  // Hosts to call. Not empty, but for commands of Callee::kControlHost.
  std::vector<client::Endpoint> entries;
  std::string token;
  bool is_json = false;
  base::Duration timeout = std::chrono::seconds(10);
};

// Sends one request to the cluster; tests put their own in its place.
using Caller = std::function<client::CallResult(http::Request request,
                                                client::ResendRule resend)>;

struct Context {
  GlobalOptions global;
  boost::program_options::variables_map given;  // of the subcommand
  Caller call;
  std::ostream& out;
  std::ostream& err;

  // A positional argument or option that the parser has made sure of.
  const std::string& Text(const std::string& name) const {
    return given[name].as<std::string>();
  }
};

}  // namespace sassafras::ctl

#endif  // CTL_SRC_CONTEXT_H_
