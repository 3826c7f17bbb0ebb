// Checks of single values: texts by rule, numbers by range.

#include "reader.h"

#include <arpa/inet.h>

#include <array>
#include <cmath>
#include <ranges>
#include <utility>

namespace sassafras::settings {

namespace {

constexpr double kMaxFraction = 1e15;
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string NameFault(std::string_view text) {
  const bool is_sized = !text.empty() && text.size() <= kMaxNameBytes;
  if (is_sized && std::ranges::all_of(text, IsNameCharacter)) {
    return "";
  }
  return "must be 1 to " + std::to_string(kMaxNameBytes) +
         " letters, digits, '-', '_' or '.'";
}

std::string IpNumberFault(std::string_view text) {
  if (IsIpNumber(text)) {
    return "";
  }
  return "must be an IP number, \"" + std::string(text) + "\" is none";
}

std::string SecretFault(std::string_view text) {
  if (text.size() >= kMinSecretBytes) {
    return "";
  }
  return "must have at least " + std::to_string(kMinSecretBytes) + " bytes";
}

std::string PathFault(std::string_view text) {
  return text.empty() ? "must not be empty" : "";
}

std::string LogLevelFault(std::string_view text) {
  const bool is_level = std::ranges::find(kLogLevels, text) != kLogLevels.end();
  return is_level ? "" : "must be one of debug, info, warning, error";
}

std::string EndpointFault(std::string_view text) {
  if (Endpoint::FromText(text)) {
    return "";
  }
  return "must be an IPv4 number and a port, \"" + std::string(text) +
         "\" is none";
}

std::string EndpointsFault(std::string_view text) {
  for (const auto part : std::views::split(text, ',')) {
    std::string fault =
        EndpointFault(std::string_view(part.begin(), part.end()));
    if (!fault.empty()) {
      return fault;
    }
  }
  return text.empty() ? "must not be empty" : "";
}

}  // namespace

std::vector<Endpoint> ParseEndpoints(std::string_view text) {
  std::vector<Endpoint> endpoints;
  for (const auto part : std::views::split(text, ',')) {
    const auto endpoint =
        Endpoint::FromText(std::string_view(part.begin(), part.end()));
    if (endpoint) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

bool IsIpNumber(std::string_view text) {
  const std::string terminated(text);
  std::array<unsigned char, sizeof(in6_addr)> buf;
  return terminated.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, terminated.c_str(), buf.data()) == 1 ||
          inet_pton(AF_INET6, terminated.c_str(), buf.data()) == 1);
}

std::string TextFault(std::string_view text, TextRule rule) {
  using Check = std::string (*)(std::string_view);
  // Indexed by TextRule.
  constexpr std::array<Check, 7> kChecks = {
      NameFault,     IpNumberFault, SecretFault,   PathFault,
      LogLevelFault, EndpointFault, EndpointsFault};
  return kChecks[static_cast<size_t>(rule)](text);
}

std::string JoinPath(std::string_view path, std::string_view key) {
  std::string joined(path);
  if (!joined.empty()) {
    joined += '.';
  }
  return joined += key;
}

void Reader::Report(toml::source_position at, std::string message) {
  problems_.push_back({file_, at.line, at.column, std::move(message)});
}

toml::source_position Reader::PlaceOf(const std::string& path) const {
  const auto it = places_.find(path);
  return it == places_.end() ? toml::source_position{} : it->second;
}

std::optional<std::string> Reader::ReadText(const toml::node& node,
                                            const std::string& path,
                                            TextRule rule) {
  const auto text = node.value_exact<std::string>();
  if (!text) {
    Report(node.source().begin, "\"" + path + "\" must be a string");
    return std::nullopt;
  }
  const std::string fault = TextFault(*text, rule);
  if (!fault.empty()) {
    Report(node.source().begin, "\"" + path + "\" " + fault);
    return std::nullopt;
  }
  return text;
}

std::optional<bool> Reader::ReadFlag(const toml::node& node,
                                     const std::string& path) {
  const auto flag = node.value_exact<bool>();
  if (!flag) {
    Report(node.source().begin, "\"" + path + "\" must be true or false");
  }
  return flag;
}

std::optional<int64_t> Reader::ReadNumber(const toml::node& node,
                                          const std::string& path,
                                          int64_t min,
                                          int64_t max) {
  const auto number = node.value_exact<int64_t>();
  if (!number) {
    Report(node.source().begin, "\"" + path + "\" must be an integer");
    return std::nullopt;
  }
  return CheckRange(node, path, *number, min, max);
}

std::optional<int64_t> Reader::ReadMilliseconds(const toml::node& node,
                                                const std::string& path,
                                                int64_t min,
                                                int64_t max) {
  const auto fraction = node.value_exact<double>();
  // Conversion of what an integer can't hold isn't defined.
  const bool is_roundable = fraction && std::abs(*fraction) < kMaxFraction;
  return is_roundable
             ? CheckRange(node, path, static_cast<int64_t>(*fraction), min, max)
             : ReadNumber(node, path, min, max);
}

std::optional<int64_t> Reader::CheckRange(const toml::node& node,
                                          const std::string& path,
                                          int64_t number,
                                          int64_t min,
                                          int64_t max) {
  if (number < min || number > max) {
    Report(node.source().begin,
           "\"" + path + "\" is " + std::to_string(number) + ", must be " +
               std::to_string(min) + " to " + std::to_string(max));
    return std::nullopt;
  }
  return number;
}

}  // namespace sassafras::settings
