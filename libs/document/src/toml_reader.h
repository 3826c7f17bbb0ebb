// TOML parsing and typed key access that collect every error with its line and
// column.

#ifndef DOCUMENT_SRC_TOML_READER_H_
#define DOCUMENT_SRC_TOML_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace sassafras::document {

// One error in a section's text. Line and column count from one; line 0 marks
// an error of the request rather than of the text.
struct TextError {
  size_t line = 0;
  size_t column = 0;
  std::string message;
};

// Collects errors up to a limit; one final entry says that further errors are
// not listed.
class ErrorList {
 public:
  void Add(const toml::source_region& where, std::string message);
  void Add(TextError error);

  bool empty() const { return errors_.empty(); }
  // Returns the errors in order of line and column.
  std::vector<TextError> Sorted() const;

 private:
  std::vector<TextError> errors_;
};

// A parsed text. On a syntax error the faulty line is removed and the rest
// parsed again, to find later errors too. `is_recovered` is then true, and
// missing keys are not reported, because they may have been on a removed line.
struct ParsedText {
  toml::table table;
  bool is_recovered = false;
};

// Adds syntax errors to `errors`. The table is empty if parsing cannot recover.
ParsedText ParseText(std::string_view text, ErrorList& errors);

// Allowed values of an integer key; both bounds are inclusive.
struct Range {
  int64_t min = 0;
  int64_t max = 0;
};

// Reads the keys of one table. Finish() reports the keys that were never read
// as unknown. ReadInteger() and ReadString() return false and leave `out`
// unchanged if the key is absent or its value is invalid; an invalid value is
// reported.
class TableReader {
 public:
  // `path` is the name of the table in messages. `table`, `text` and `errors`
  // must outlive the reader.
  TableReader(const toml::table& table,
              std::string path,
              const ParsedText& text,
              ErrorList& errors);

  bool ReadInteger(std::string_view key, Range range, int64_t& out);
  bool ReadString(std::string_view key, size_t max_bytes, std::string& out);
  // These return null if the key is absent or has another type; the latter is
  // reported.
  const toml::table* ReadTable(std::string_view key);
  const toml::array* ReadArray(std::string_view key);

  // Calls `visit` with the name and a reader for each table within the table
  // `key`, then Finish() on that reader. Reports invalid names and values that
  // are not tables.
  using Visitor = std::function<void(std::string_view, TableReader&)>;
  void ForEachTable(std::string_view key, const Visitor& visit);

  // Reports an error if the key is absent.
  void Require(std::string_view key);
  // Reports keys that were not read.
  void Finish();

  // Reports an error at the key's value, or at the table if the key is absent.
  // An empty key is used for errors of the table itself.
  void AddError(std::string_view key, std::string message);
  // Returns the location of the key's value, or of the table if the key is
  // absent.
  toml::source_region LocationOf(std::string_view key) const;
  const std::string& path() const { return path_; }

 private:
  // Marks the key as known and returns its value, or null if it is absent.
  const toml::node* FindKey(std::string_view key);
  std::string Quote(std::string_view key) const;
  void AddTypeError(std::string_view key,
                    std::string_view expected_type,
                    const toml::node& node);

  const toml::table& table_;
  std::string path_;
  const ParsedText& text_;
  ErrorList& errors_;
  std::set<std::string, std::less<>> known_keys_;
};

// Returns whether the name has 1 to 63 characters, all of them letters, digits,
// '.', '_' or '-', and starts with a letter or digit.
bool IsValidName(std::string_view name);

}  // namespace sassafras::document

#endif  // DOCUMENT_SRC_TOML_READER_H_
