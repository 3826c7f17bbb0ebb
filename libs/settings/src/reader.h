// Reads TOML tables into structs by tables of fields, and collects every fault
// with its place.

#ifndef SETTINGS_READER_H_
#define SETTINGS_READER_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <toml++/toml.h>

#include "settings/settings.h"

namespace sassafras::settings {

// Whether a text is an IPv4 or IPv6 number; host names are none.
bool IsIpNumber(std::string_view text);

// What a text value must look like.
enum class TextRule {
  kName,       // 1 to 64 letters, digits, '-', '_' or '.'
  kIpNumber,   // see IsIpNumber
  kSecret,     // at least kMinSecretBytes
  kPath,       // not empty
  kLogLevel,   // debug, info, warning, error
  kEndpoint,   // an IPv4 number and a port: "10.0.0.1:80"
  kEndpoints,  // at least one, separated by commas
};
inline constexpr size_t kMinSecretBytes = 16;
inline constexpr size_t kMaxNameBytes = 64;

enum class Presence { kRequired, kOptional };

// The endpoints of a text that kEndpoints allows.
std::vector<Endpoint> ParseEndpoints(std::string_view text);

// Why `text` breaks `rule`; empty where it doesn't.
std::string TextFault(std::string_view text, TextRule rule);

template <typename Struct>
using MemberOf = std::variant<std::string Struct::*,
                              wire::EntryId Struct::*,
                              wire::ZoneId Struct::*,
                              uint16_t Struct::*,
                              uint32_t Struct::*,
                              bool Struct::*,
                              Endpoint Struct::*,
                              std::vector<Endpoint> Struct::*,
                              base::Duration Struct::*>;

// One key of a TOML table and the member that it fills. `min` and `max` bound
// numbers; durations are read in milliseconds.
template <typename Struct>
struct Field {
  std::string_view key;
  MemberOf<Struct> member;
  Presence presence = Presence::kOptional;
  TextRule rule = TextRule::kPath;
  int64_t min = 0;
  int64_t max = std::numeric_limits<int64_t>::max();
};

// Places of keys that were read, by dotted path, for checks across keys.
using Places = std::map<std::string, toml::source_position>;

class Reader {
 public:
  Reader(std::string_view file, std::vector<Problem>& problems)
      : file_(file), problems_(problems) {}

  void Report(toml::source_position at, std::string message);

  // Fills `out` from `table` and reports unknown, missing and bad keys.
  // `path` names the table in messages, such as "limits"; the caller reads
  // the key `skipped` itself.
  template <typename Struct>
  void ReadTable(const toml::table& table,
                 std::string_view path,
                 std::span<const Field<Struct>> fields,
                 Struct& out,
                 std::string_view skipped = "");

  // Reports keys of `table` for which `is_known` is false.
  template <typename Predicate>
  void ReportUnknown(const toml::table& table,
                     std::string_view path,
                     Predicate is_known);

  // The place of a key that was read, or {0, 0}.
  toml::source_position PlaceOf(const std::string& path) const;

 private:
  template <typename Struct>
  void ReadField(const toml::node& node,
                 const std::string& path,
                 const Field<Struct>& field,
                 Struct& out);

  std::optional<std::string> ReadText(const toml::node& node,
                                      const std::string& path,
                                      TextRule rule);
  std::optional<bool> ReadFlag(const toml::node& node, const std::string& path);
  std::optional<int64_t> ReadNumber(const toml::node& node,
                                    const std::string& path,
                                    int64_t min,
                                    int64_t max);
  // The same, but also takes fractions, which it rounds down.
  std::optional<int64_t> ReadMilliseconds(const toml::node& node,
                                          const std::string& path,
                                          int64_t min,
                                          int64_t max);
  // Returns the number, or nullopt after a report that it is out of range.
  std::optional<int64_t> CheckRange(const toml::node& node,
                                    const std::string& path,
                                    int64_t number,
                                    int64_t min,
                                    int64_t max);

  std::string file_;
  std::vector<Problem>& problems_;
  Places places_;
};

// "limits.max_body_bytes", or the key alone for the top level.
std::string JoinPath(std::string_view path, std::string_view key);

template <typename Predicate>
void Reader::ReportUnknown(const toml::table& table,
                           std::string_view path,
                           Predicate is_known) {
  for (const auto& [key, node] : table) {
    if (!is_known(key.str())) {
      Report(key.source().begin,
             "unknown key \"" + JoinPath(path, key.str()) + "\"");
    }
  }
}

template <typename Struct>
void Reader::ReadTable(const toml::table& table,
                       std::string_view path,
                       std::span<const Field<Struct>> fields,
                       Struct& out,
                       std::string_view skipped) {
  ReportUnknown(table, path, [&](std::string_view key) {
    return (!skipped.empty() && key == skipped) ||
           std::ranges::find(fields, key, &Field<Struct>::key) != fields.end();
  });
  for (const auto& field : fields) {
    const std::string name = JoinPath(path, field.key);
    if (const toml::node* node = table.get(field.key)) {
      places_[name] = node->source().begin;
      ReadField(*node, name, field, out);
    } else if (field.presence == Presence::kRequired) {
      Report(table.source().begin, "missing key \"" + name + "\"");
    }
  }
}

template <typename Struct>
void Reader::ReadField(const toml::node& node,
                       const std::string& path,
                       const Field<Struct>& field,
                       Struct& out) {
  const auto fill = [&]<typename Value>(Value Struct::*member) {
    if constexpr (std::is_same_v<Value, base::Duration>) {
      if (const auto n = ReadMilliseconds(node, path, field.min, field.max)) {
        out.*member = std::chrono::milliseconds(*n);
      }
    } else if constexpr (std::is_same_v<Value, bool>) {
      if (const auto flag = ReadFlag(node, path)) {
        out.*member = *flag;
      }
    } else if constexpr (std::is_same_v<Value, Endpoint>) {
      if (const auto text = ReadText(node, path, TextRule::kEndpoint)) {
        out.*member = *Endpoint::FromText(*text);
      }
    } else if constexpr (std::is_same_v<Value, std::vector<Endpoint>>) {
      if (const auto text = ReadText(node, path, TextRule::kEndpoints)) {
        out.*member = ParseEndpoints(*text);
      }
    } else if constexpr (std::is_integral_v<Value>) {
      constexpr int64_t kTypeMax = std::numeric_limits<Value>::max();
      const int64_t max = std::min(field.max, kTypeMax);
      if (const auto n = ReadNumber(node, path, field.min, max)) {
        out.*member = static_cast<Value>(*n);
      }
    } else {
      if (auto text = ReadText(node, path, field.rule)) {
        out.*member = Value(std::move(*text));
      }
    }
  };
  std::visit(fill, field.member);
}

}  // namespace sassafras::settings

#endif  // SETTINGS_READER_H_
