// Reads the command line: options before and after the subcommand, help.

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ranges>
#include <sstream>

#include "command.h"

namespace sassafras::ctl {

namespace po = boost::program_options;

namespace {

constexpr std::string_view kUsage =
    "Usage: sassafrasctl [options] SUBCOMMAND [arguments]\n"
    "       sassafrasctl SUBCOMMAND --help\n";

constexpr std::string_view kExitCodes =
    "Exit codes: 0 ok, 1 refused by the server, or findings of a check,\n"
    "2 wrong command line, 3 nothing done: no entry could be reached or none\n"
    "could do it, or a check's input can't be read,\n"
    "4 unknown outcome, 5 conflict with another change,\n"
    "6 errors in the section's text, 7 not in force in time\n";

void AddGlobalOptions(po::options_description& description) {
  description.add_options()("help", "print the help text and exit")(
      "entry", po::value<std::vector<std::string>>(),
      "ADDRESS:PORT of an entry, by IP number; may be given several times "
      "(default: SASSAFRAS_ENTRIES, separated by commas)")(
      "token", po::value<std::string>(),
      "bearer token (default: SASSAFRAS_TOKEN)")(
      "token-file", po::value<std::string>(), "file that holds the token")(
      "json", po::bool_switch(), "print the server's JSON")(
      "timeout-ms", po::value<int64_t>()->default_value(10000),
      "time for each request with its resends, and for a wait");
}

std::vector<std::string_view> WordsOf(std::string_view name) {
  std::vector<std::string_view> words;
  for (const auto word : std::views::split(name, ' ')) {
    words.emplace_back(word.begin(), word.end());
  }
  return words;
}

// The subcommand whose words stand first among `words`; the longest name wins.
const Command* FindCommand(std::span<const std::string> words) {
  const Command* found = nullptr;
  size_t found_words = 0;
  for (const auto& command : Commands()) {
    const auto name = WordsOf(command.name);
    const bool matches = name.size() <= words.size() &&
                         std::ranges::equal(name, words.first(name.size()));
    if (matches && name.size() > found_words) {
      found = &command;
      found_words = name.size();
    }
  }
  return found;
}

po::options_description OptionsOf(const Command* command) {
  po::options_description description("Options");
  AddGlobalOptions(description);
  if (command != nullptr && command->add_options != nullptr) {
    po::options_description own("Options of " + std::string(command->name));
    command->add_options(own);
    description.add(own);
  }
  return description;
}

void PrintOverview(std::ostream& out) {
  out << kUsage << "\nSubcommands:\n";
  constexpr int kNameWidth = 42;
  for (const auto& command : Commands()) {
    const std::string name =
        std::string(command.name) +
        (command.arguments.empty() ? "" : " " + std::string(command.arguments));
    out << "  " << std::left << std::setw(kNameWidth) << name << command.summary
        << "\n";
  }
  out << "\n" << OptionsOf(nullptr) << "\n" << kExitCodes;
}

void PrintHelp(const Command& command, std::ostream& out) {
  out << "Usage: sassafrasctl " << command.name << " " << command.arguments
      << " [options]\n"
      << command.summary << "\n\n"
      << OptionsOf(&command) << "\n"
      << kExitCodes;
}

// Options, whose names begin with a dash, and the other words in order.
struct SplitWords {
  std::vector<std::string> options;
  std::vector<std::string> words;
};

// Tells option values from words by means of the option's description.
SplitWords Split(const std::vector<std::string>& arguments,
                 const po::options_description& description) {
  SplitWords split;
  bool takes_value = false;
  for (const auto& text : arguments) {
    const bool is_option = text.size() > 1 && text.starts_with("-");
    if (takes_value || is_option) {
      const auto* option = takes_value || text.find('=') != std::string::npos
                               ? nullptr
                               : description.find_nothrow(
                                     text.substr(text.find_first_not_of('-')),
                                     /*approx=*/false);
      takes_value = option != nullptr && option->semantic()->max_tokens() > 0;
      split.options.push_back(text);
      continue;
    }
    split.words.push_back(text);
  }
  return split;
}

// Every option that any subcommand has, to split the line before the
// subcommand is known.
po::options_description AllOptions() {
  po::options_description all;
  AddGlobalOptions(all);
  for (const auto& command : Commands()) {
    po::options_description own;
    if (command.add_options != nullptr) {
      command.add_options(own);
    }
    for (const auto& option : own.options()) {
      if (all.find_nothrow(option->long_name(), /*approx=*/false) == nullptr) {
        all.add(option);
      }
    }
  }
  return all;
}

std::vector<std::string> SplitCommas(std::string_view text) {
  std::vector<std::string> parts;
  for (const auto part : std::views::split(text, ',')) {
    if (!part.empty()) {
      parts.emplace_back(part.begin(), part.end());
    }
  }
  return parts;
}

std::string Trim(std::string text) {
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  return text;
}

bool ReadTokenFile(const std::string& path,
                   std::string& token,
                   std::ostream& err) {
  std::ifstream in(path);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    err << "--token-file: cannot read \"" << path << "\"\n";
    return false;
  }
  token = Trim(text.str());
  return true;
}

bool ReadEntries(const po::variables_map& given,
                 const Environment& environment,
                 GlobalOptions& global,
                 std::ostream& err) {
  const auto texts = given.contains("entry")
                         ? given["entry"].as<std::vector<std::string>>()
                         : SplitCommas(environment.entries);
  for (const auto& text : texts) {
    client::ClientReason why;
    const auto endpoint = client::Endpoint::Parse(text, why);
    if (!endpoint) {
      err << "--entry: " << why.message << "\n";
      return false;
    }
    global.entries.push_back(*endpoint);
  }
  if (global.entries.empty()) {
    err << "no entry: give --entry ADDRESS:PORT or set SASSAFRAS_ENTRIES\n";
  }
  return !global.entries.empty();
}

// A control host takes no token, so it gets none.
bool ReadControlHost(const po::variables_map& given,
                     GlobalOptions& global,
                     std::ostream& err) {
  global.token.clear();
  if (!given.contains("control")) {
    return true;
  }
  client::ClientReason why;
  const auto endpoint =
      client::Endpoint::Parse(given["control"].as<std::string>(), why);
  if (!endpoint) {
    err << "--control: " << why.message << "\n";
    return false;
  }
  global.entries = {*endpoint};
  return true;
}

bool ReadGlobal(const po::variables_map& given,
                const Environment& environment,
                Callee callee,
                GlobalOptions& global,
                std::ostream& err) {
  global.token = environment.token;
  if (given.contains("token")) {
    global.token = given["token"].as<std::string>();
  } else if (given.contains("token-file") &&
             !ReadTokenFile(given["token-file"].as<std::string>(), global.token,
                            err)) {
    return false;
  }
  global.is_json = given["json"].as<bool>();
  const int64_t timeout_ms = given["timeout-ms"].as<int64_t>();
  global.timeout = std::chrono::milliseconds(timeout_ms);
  if (timeout_ms <= 0) {
    err << "--timeout-ms must be above 0\n";
    return false;
  }
  return callee == Callee::kControlHost
             ? ReadControlHost(given, global, err)
             : ReadEntries(given, environment, global, err);
}

// Puts the words after the subcommand's name under their names.
bool TakePositionals(const Command& command,
                     std::span<const std::string> words,
                     po::variables_map& given,
                     std::ostream& err) {
  if (words.size() != command.positionals.size()) {
    err << "sassafrasctl " << command.name << " needs "
        << command.positionals.size() << " arguments (" << command.arguments
        << "), got " << words.size() << "\n";
    return false;
  }
  for (size_t i = 0; i < words.size(); ++i) {
    given.emplace(std::string(command.positionals[i]),
                  po::variable_value(words[i], false));
  }
  return true;
}

}  // namespace

std::span<const Command> Commands() {
  static const std::vector<Command> commands = [] {
    std::vector<Command> joined;
    for (auto make : {DocumentCommands, ReportCommands, JobCommands,
                      ClusterCommands, ManifestCommands}) {
      std::ranges::move(make(), std::back_inserter(joined));
    }
    return joined;
  }();
  return commands;
}

std::optional<Invocation> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const Environment& environment,
    std::ostream& out,
    std::ostream& err,
    ExitCode& exit_code) {
  exit_code = ExitCode::kUsage;
  const SplitWords split = Split(arguments, AllOptions());
  Invocation invocation;
  invocation.command = FindCommand(split.words);
  const bool wants_help =
      std::ranges::find(split.options, "--help") != split.options.end();
  if (wants_help) {
    exit_code = ExitCode::kOk;
    invocation.command != nullptr ? PrintHelp(*invocation.command, out)
                                  : PrintOverview(out);
    return std::nullopt;
  }
  if (invocation.command == nullptr) {
    err << (split.words.empty()
                ? "no subcommand"
                : "unknown subcommand \"" + split.words.front() + "\"")
        << "; see sassafrasctl --help\n";
    return std::nullopt;
  }
  const size_t name_words = WordsOf(invocation.command->name).size();
  try {
    po::store(po::command_line_parser(split.options)
                  .options(OptionsOf(invocation.command))
                  .run(),
              invocation.given);
    po::notify(invocation.given);
  } catch (const po::error& error) {
    err << error.what() << "\n";
    return std::nullopt;
  }
  const auto rest = std::span(split.words).subspan(name_words);
  if (!TakePositionals(*invocation.command, rest, invocation.given, err) ||
      !ReadGlobal(invocation.given, environment, invocation.command->callee,
                  invocation.global, err)) {
    return std::nullopt;
  }
  return invocation;
}

}  // namespace sassafras::ctl
