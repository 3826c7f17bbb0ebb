// SHA-256 and constant-time comparison, using libcrypto.

#include "sha256.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace sassafras::document {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char it : digest) {
    hex += kDigits[it >> 4];
    hex += kDigits[it & 15];
  }
  return hex;
}

bool IsEqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace sassafras::document
