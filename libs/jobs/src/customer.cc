// Digests of keys, and customers as JSON.

#include "jobs/customer.h"

#include <algorithm>
#include <iterator>
#include <span>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace sassafras::jobs {
namespace {

using Bytes = nlohmann::json::binary_t::container_type;

// Members of a customer but for its keys.
struct CustomerFields {
  CustomerId id;
  double weight = 0;
  uint32_t priority = 0;
  Resources cap;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CustomerFields,
                                                id,
                                                weight,
                                                priority,
                                                cap)

KeyDigest DigestFrom(std::span<const uint8_t> bytes) {
  KeyDigest digest;
  std::ranges::copy(bytes, digest.bytes.begin());
  return digest;
}

// Throws if the number of bytes isn't a multiple of a digest's size.
std::vector<KeyDigest> ReadDigests(const nlohmann::json& value) {
  const Bytes& bytes = value.get_binary();
  if (bytes.size() % KeyDigest::kSize != 0) {
    throw nlohmann::json::out_of_range::create(
        401, "digests of keys must have 16 bytes each", &value);
  }
  std::vector<KeyDigest> digests;
  for (size_t n = 0; n < bytes.size(); n += KeyDigest::kSize) {
    digests.push_back(
        DigestFrom(std::span(bytes).subspan(n, KeyDigest::kSize)));
  }
  return digests;
}

nlohmann::json WriteDigests(std::span<const KeyDigest> digests) {
  Bytes bytes;
  bytes.reserve(digests.size() * KeyDigest::kSize);
  for (const KeyDigest& it : digests) {
    std::ranges::copy(it.bytes, std::back_inserter(bytes));
  }
  return nlohmann::json::binary(std::move(bytes));
}

}  // namespace

KeyDigest KeyDigest::Of(std::string_view key) {
  std::array<uint8_t, SHA256_DIGEST_LENGTH> whole{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         whole.data());
  return DigestFrom(std::span(whole).first(kSize));
}

bool IsSameKey(const KeyDigest& left, const KeyDigest& right) {
  return CRYPTO_memcmp(left.bytes.data(), right.bytes.data(),
                       KeyDigest::kSize) == 0;
}

void to_json(nlohmann::json& value, const KeyDigest& digest) {
  value = WriteDigests({&digest, 1});
}

void from_json(const nlohmann::json& value, KeyDigest& digest) {
  const auto digests = ReadDigests(value);
  if (digests.size() != 1) {
    throw nlohmann::json::out_of_range::create(
        401, "the digest of a key must have 16 bytes", &value);
  }
  digest = digests.front();
}

void to_json(nlohmann::json& value, const Customer& customer) {
  value = CustomerFields{customer.id, customer.weight, customer.priority,
                         customer.cap};
  value["keys"] = WriteDigests(customer.keys);
}

void from_json(const nlohmann::json& value, Customer& customer) {
  auto fields = value.get<CustomerFields>();
  customer.id = std::move(fields.id);
  customer.weight = fields.weight;
  customer.priority = fields.priority;
  customer.cap = fields.cap;
  customer.keys = ReadDigests(value.at("keys"));
}

}  // namespace sassafras::jobs
