// Customers of the job queues: their keys, the share that they are entitled to
// and the limit of what they may have running.

#ifndef JOBS_CUSTOMER_H_
#define JOBS_CUSTOMER_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/id.h"
#include "jobs/types.h"

namespace sassafras::jobs {

// The digest of a customer's key. A key itself is kept only in the text of the
// manifest, on control hosts.
struct KeyDigest {
  static constexpr size_t kSize = 16;

  // Returns the first bytes of the key's SHA-256.
  static KeyDigest Of(std::string_view key);

  std::array<uint8_t, kSize> bytes{};

  // For order and lookup. The time that it takes depends on the bytes; see
  // IsSameKey().
  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;
};

// Compares two digests in a time that doesn't depend on their bytes.
bool IsSameKey(const KeyDigest& left, const KeyDigest& right);

void to_json(nlohmann::json& value, const KeyDigest& digest);
// Throws nlohmann::json::exception if `value` isn't binary with kSize bytes.
void from_json(const nlohmann::json& value, KeyDigest& digest);

struct Customer {
  CustomerId id;
  // Share of a pool's capacity that the customer is entitled to when all
  // customers use theirs, relative to the weights of the others. Also the
  // number of jobs a second beyond which its jobs yield to all others; 0 for no
  // such limit.
  double weight = 0;
  uint32_t priority = 0;  // 0 is the highest
  // Limit of what its open runs may need over all workers; an amount of 0 is no
  // limit.
  Resources cap;
  std::vector<KeyDigest> keys;  // in the order of the manifest

  friend bool operator==(const Customer&, const Customer&) = default;
};

// All digests are one binary value, as there may be 100,000 of them.
void to_json(nlohmann::json& value, const Customer& customer);
void from_json(const nlohmann::json& value, Customer& customer);

}  // namespace sassafras::jobs

#endif  // JOBS_CUSTOMER_H_
