// Command-line options that every sample program has.

#ifndef SAMPLES_SRC_SAMPLE_OPTIONS_H_
#define SAMPLES_SRC_SAMPLE_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "client/call.h"
#include "ledger.h"

namespace sassafras::samples {

inline constexpr int kExitUsage = 2;

// How to reach the cluster.
struct CommonOptions {
  std::vector<client::Endpoint> entries;  // not empty
  std::string token;
  std::string ledger;  // path; empty: none
};

// Adds --entry, --token, --ledger and --help.
void AddCommonOptions(boost::program_options::options_description& description);

// Parses the command line and reads the common options. Prints the help text
// or the fault and returns nothing where the program shall end; `exit_code` is
// then set.
std::optional<CommonOptions> ReadCommonOptions(
    int argc,
    char** argv,
    const boost::program_options::options_description& description,
    boost::program_options::variables_map& given,
    int& exit_code);

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_SAMPLE_OPTIONS_H_
