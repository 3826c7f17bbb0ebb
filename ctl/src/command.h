// The table of subcommands.

#ifndef CTL_SRC_COMMAND_H_
#define CTL_SRC_COMMAND_H_

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "context.h"

namespace sassafras::ctl {

// Whom a subcommand calls: the entries, which must be given, or the control
// host of the option --control, if that is given.
enum class Callee { kEntries, kControlHost };

// One subcommand. `name` has one or two words.
struct Command {
  std::string_view name;
  std::string_view arguments;  // positional ones, as the help shows them
  std::string_view summary;
  std::vector<std::string_view> positionals;  // required, in order
  // Adds options beside the positional ones; may be null.
  void (*add_options)(boost::program_options::options_description&);
  ExitCode (*run)(Context&);
  Callee callee = Callee::kEntries;
};

// All subcommands, in the order of the help text.
std::span<const Command> Commands();

// Subcommands by area; Commands() joins them.
std::vector<Command> DocumentCommands();
std::vector<Command> ReportCommands();
std::vector<Command> JobCommands();
std::vector<Command> ClusterCommands();
std::vector<Command> ManifestCommands();

// What the command line asks for.
struct Invocation {
  const Command* command = nullptr;
  GlobalOptions global;
  boost::program_options::variables_map given;
};

// The environment's part of the settings.
struct Environment {
  std::string token;    // SASSAFRAS_TOKEN
  std::string entries;  // SASSAFRAS_ENTRIES, separated by commas
};

// Reads a command line without the program's name. Nothing where the program
// shall end: after --help with kOk, after a fault, which is printed, with
// kUsage.
std::optional<Invocation> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const Environment& environment,
    std::ostream& out,
    std::ostream& err,
    ExitCode& exit_code);

}  // namespace sassafras::ctl

#endif  // CTL_SRC_COMMAND_H_
