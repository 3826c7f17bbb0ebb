// Line-based recovery from syntax errors, and typed access to table keys.

#include "toml_reader.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <tuple>
#include <utility>

#include "key_depth.h"

namespace sassafras::document {
namespace {

constexpr size_t kMaxListedErrors = 200;
constexpr size_t kMaxSyntaxErrors = 16;  // each one costs another parse
constexpr size_t kMaxNameBytes = 63;
// Prefix of the tables that replace table headers with syntax errors.
constexpr std::string_view kRecoveryTablePrefix = "__broken_line_";

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  std::istringstream in{std::string(text)};
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line;
    text += '\n';
  }
  return text;
}

// Replaces DEL and bytes outside ASCII, because the parser's messages may quote
// parts of a text that is not valid UTF-8, which JSON cannot represent.
std::string ToAscii(std::string_view message) {
  std::string ascii(message);
  std::ranges::replace_if(
      ascii, [](char it) { return static_cast<unsigned char>(it) >= 0x7f; },
      '?');
  return ascii;
}

bool IsTableHeader(std::string_view line) {
  const size_t first = line.find_first_not_of(" \t");
  return first != std::string_view::npos && line[first] == '[';
}

// Returns the text that replaces a line with a syntax error. A table header is
// replaced by another header, so that the keys below it do not become keys of
// the table above.
std::string ReplacementLine(std::string_view line, size_t number) {
  if (!IsTableHeader(line)) {
    return "";
  }
  return "[" + std::string(kRecoveryTablePrefix) + std::to_string(number) + "]";
}

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a float";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

}  // namespace

void ErrorList::Add(const toml::source_region& where, std::string message) {
  Add(TextError{where.begin.line, where.begin.column, std::move(message)});
}

void ErrorList::Add(TextError error) {
  if (errors_.size() < kMaxListedErrors) {
    errors_.push_back(std::move(error));
  } else if (errors_.size() == kMaxListedErrors) {
    errors_.push_back(
        {error.line, error.column, "further errors are not listed"});
  }
}

std::vector<TextError> ErrorList::Sorted() const {
  std::vector<TextError> sorted = errors_;
  std::ranges::stable_sort(sorted, {}, [](const TextError& it) {
    return std::tuple(it.line, it.column);
  });
  return sorted;
}

ParsedText ParseText(std::string_view text, ErrorList& errors) {
  std::vector<std::string> lines;
  std::string remaining(text);
  size_t last_line = 0;
  for (size_t n = 0; n < kMaxSyntaxErrors; ++n) {
    if (auto error = FindDeepKey(remaining)) {
      errors.Add(*std::move(error));
      break;
    }
    try {
      return {toml::parse(remaining), n > 0};
    } catch (const toml::parse_error& error) {
      errors.Add(error.source(), ToAscii(error.description()));
      if (n == 0) {
        lines = SplitLines(text);
      }
      const size_t line = error.source().begin.line;
      // Stops if replacing the last faulty line did not move the error forward.
      if (line <= last_line || line > lines.size()) {
        break;
      }
      last_line = line;
      lines[line - 1] = ReplacementLine(lines[line - 1], line);
      remaining = JoinLines(lines);
    }
  }
  return {toml::table{}, true};
}

TableReader::TableReader(const toml::table& table,
                         std::string path,
                         const ParsedText& text,
                         ErrorList& errors)
    : table_(table), path_(std::move(path)), text_(text), errors_(errors) {}

const toml::node* TableReader::FindKey(std::string_view key) {
  known_keys_.emplace(key);
  return table_.get(key);
}

std::string TableReader::Quote(std::string_view key) const {
  const std::string prefix = path_.empty() ? "" : path_ + ".";
  return "\"" + prefix + std::string(key) + "\"";
}

void TableReader::AddTypeError(std::string_view key,
                               std::string_view expected_type,
                               const toml::node& node) {
  errors_.Add(node.source(), Quote(key) + " must be " +
                                 std::string(expected_type) + ", not " +
                                 std::string(TypeName(node)));
}

bool TableReader::ReadInteger(std::string_view key, Range range, int64_t& out) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) {
    return false;
  }
  if (!node->is_integer()) {
    AddTypeError(key, "an integer", *node);
    return false;
  }
  const int64_t value = node->as_integer()->get();
  if (value < range.min || value > range.max) {
    errors_.Add(node->source(), Quote(key) + " is " + std::to_string(value) +
                                    ", must be " + std::to_string(range.min) +
                                    " to " + std::to_string(range.max));
    return false;
  }
  out = value;
  return true;
}

bool TableReader::ReadString(std::string_view key,
                             size_t max_bytes,
                             std::string& out) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) {
    return false;
  }
  if (!node->is_string()) {
    AddTypeError(key, "a string", *node);
    return false;
  }
  const std::string& value = node->as_string()->get();
  if (value.size() > max_bytes) {
    errors_.Add(node->source(),
                Quote(key) + " has " + std::to_string(value.size()) +
                    " bytes, the maximum is " + std::to_string(max_bytes));
    return false;
  }
  out = value;
  return true;
}

const toml::table* TableReader::ReadTable(std::string_view key) {
  const toml::node* node = FindKey(key);
  if (node != nullptr && !node->is_table()) {
    AddTypeError(key, "a table", *node);
  }
  return node != nullptr ? node->as_table() : nullptr;
}

const toml::array* TableReader::ReadArray(std::string_view key) {
  const toml::node* node = FindKey(key);
  if (node != nullptr && !node->is_array()) {
    AddTypeError(key, "an array", *node);
  }
  return node != nullptr ? node->as_array() : nullptr;
}

void TableReader::ForEachTable(std::string_view key, const Visitor& visit) {
  const toml::table* parent = ReadTable(key);
  if (parent == nullptr) {
    return;
  }
  TableReader parent_reader(*parent, std::string(key), text_, errors_);
  for (auto&& [name, value] : *parent) {
    const toml::table* table = parent_reader.ReadTable(name.str());
    if (!IsValidName(name.str())) {
      errors_.Add(name.source(),
                  "\"" + std::string(name.str()) +
                      "\" is not a name of 1 to 63 letters, digits, '.', '_' "
                      "or '-', starting with a letter or digit");
    } else if (table != nullptr) {
      TableReader reader(*table,
                         parent_reader.path() + "." + std::string(name.str()),
                         text_, errors_);
      visit(name.str(), reader);
      reader.Finish();
    }
  }
}

void TableReader::Require(std::string_view key) {
  if (FindKey(key) == nullptr && !text_.is_recovered) {
    errors_.Add(table_.source(), Quote(key) + " is missing");
  }
}

void TableReader::Finish() {
  for (auto&& [key, value] : table_) {
    const bool is_recovery_table =
        text_.is_recovered && key.str().starts_with(kRecoveryTablePrefix);
    if (!known_keys_.contains(key.str()) && !is_recovery_table) {
      errors_.Add(key.source(), "unknown key " + Quote(key.str()));
    }
  }
}

void TableReader::AddError(std::string_view key, std::string message) {
  errors_.Add(LocationOf(key), std::move(message));
}

toml::source_region TableReader::LocationOf(std::string_view key) const {
  const toml::node* node = table_.get(key);
  return node != nullptr ? node->source() : table_.source();
}

bool IsValidName(std::string_view name) {
  const auto is_alnum = [](char it) {
    return std::isalnum(static_cast<unsigned char>(it)) != 0;
  };
  const auto is_allowed = [&](char it) {
    return is_alnum(it) || it == '.' || it == '_' || it == '-';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         is_alnum(name.front()) && std::ranges::all_of(name, is_allowed);
}

}  // namespace sassafras::document
