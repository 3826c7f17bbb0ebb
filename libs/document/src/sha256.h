// SHA-256 and a constant-time string comparison.

#ifndef DOCUMENT_SRC_SHA256_H_
#define DOCUMENT_SRC_SHA256_H_

#include <string>
#include <string_view>

namespace sassafras::document {

// Returns the digest as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view bytes);

// The duration depends on the sizes only, not on the contents.
bool IsEqualConstantTime(std::string_view a, std::string_view b);

}  // namespace sassafras::document

#endif  // DOCUMENT_SRC_SHA256_H_
