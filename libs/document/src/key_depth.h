// Limit on the number of parts of a dotted TOML key, checked before parsing.

#ifndef DOCUMENT_SRC_KEY_DEPTH_H_
#define DOCUMENT_SRC_KEY_DEPTH_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "toml_reader.h"

namespace sassafras::document {

inline constexpr size_t kMaxKeyParts = 16;

// Returns an error at the first dotted key with more than kMaxKeyParts parts,
// or nullopt. The parser creates a nested table for each part and frees them
// recursively, so a long key could exhaust the stack. Dots in strings and
// comments are not counted.
std::optional<TextError> FindDeepKey(std::string_view text);

}  // namespace sassafras::document

#endif  // DOCUMENT_SRC_KEY_DEPTH_H_
