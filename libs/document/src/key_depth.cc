// Counts the dots of each key, skipping strings and comments.

#include "key_depth.h"

#include <algorithm>
#include <string>

namespace sassafras::document {
namespace {

// A multi-line string is enclosed in three quotes on each side.
constexpr size_t kMultiLineQuoteBytes = 3;

// Returns the end of a single-line string whose opening quote is at `at`. An
// unterminated string ends at the next line break, or at npos if there is none.
size_t EndOfSingleLineString(std::string_view text, size_t at) {
  const char quote = text[at];
  for (size_t n = at + 1; n < text.size() && text[n] != '\n'; ++n) {
    if (text[n] == quote) {
      return n + 1;
    }
    n += quote == '"' && text[n] == '\\' ? 1 : 0;
  }
  return text.find('\n', at);
}

// Returns the end of a multi-line string whose delimiter starts at `at`. Its
// content may end in up to two quotes before the closing delimiter.
size_t EndOfMultiLineString(std::string_view text, size_t at) {
  const char quote = text[at];
  const std::string delimiter(kMultiLineQuoteBytes, quote);
  for (size_t n = at + kMultiLineQuoteBytes; n < text.size(); ++n) {
    if (text.substr(n).starts_with(delimiter)) {
      const size_t max_end = n + kMultiLineQuoteBytes + 2;
      return std::min(text.find_first_not_of(quote, n), max_end);
    }
    n += quote == '"' && text[n] == '\\' ? 1 : 0;
  }
  return text.size();
}

size_t EndOfString(std::string_view text, size_t at) {
  const std::string delimiter(kMultiLineQuoteBytes, text[at]);
  const size_t end = text.substr(at).starts_with(delimiter)
                         ? EndOfMultiLineString(text, at)
                         : EndOfSingleLineString(text, at);
  return std::min(end, text.size());
}

TextError ErrorAt(std::string_view text, size_t at) {
  const std::string_view before = text.substr(0, at);
  const size_t line_start = before.rfind('\n') + 1;  // 0 on the first line
  return {static_cast<size_t>(std::ranges::count(before, '\n')) + 1,
          at - line_start + 1,
          "a key has more than " + std::to_string(kMaxKeyParts) + " parts"};
}

}  // namespace

std::optional<TextError> FindDeepKey(std::string_view text) {
  constexpr std::string_view kKeyTerminators = "=,[]{}\n";
  size_t key_dots = 0;
  for (size_t n = 0; n < text.size();) {
    const char it = text[n];
    if (it == '"' || it == '\'') {
      n = EndOfString(text, n);
      continue;
    }
    if (it == '#') {
      n = std::min(text.find('\n', n), text.size());
      continue;
    }
    if (kKeyTerminators.find(it) != std::string_view::npos) {
      key_dots = 0;
    } else if (it == '.' && ++key_dots >= kMaxKeyParts) {
      return ErrorAt(text, n);
    }
    ++n;
  }
  return std::nullopt;
}

}  // namespace sassafras::document
