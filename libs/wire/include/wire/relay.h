// Requests and answers that one entry passes to another.

#ifndef WIRE_RELAY_H_
#define WIRE_RELAY_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "wire/commands.h"
#include "wire/ids.h"
#include "wire/job.h"

namespace sassafras::wire {

// A caller's request that the receiver serves with its own slots.
struct ForwardCall {
  ServiceId service;
  OwnerId owner;
  Priority priority = Priority::kNormal;
  int64_t timeout_ms = 0;  // left when it was sent
  bool is_idempotent = true;
  RequestKey key;
  std::string digest;
  bool is_first_sending = false;
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  nlohmann::json::binary_t body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ForwardCall,
                                                service,
                                                owner,
                                                priority,
                                                timeout_ms,
                                                is_idempotent,
                                                key,
                                                digest,
                                                is_first_sending,
                                                method,
                                                target,
                                                headers,
                                                body)

// Asks the entry that admitted a key for its outcome.
struct AskCall {
  Incarnation incarnation;  // of the entry asked
  OwnerId owner;
  RequestKey key;
  int64_t timeout_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AskCall,
                                                incarnation,
                                                owner,
                                                key,
                                                timeout_ms)

enum class RelayState { kCompleted, kNotRun, kUnknown, kNotKnown };
NLOHMANN_JSON_SERIALIZE_ENUM(RelayState,
                             {{RelayState::kUnknown, "unknown"},
                              {RelayState::kCompleted, "completed"},
                              {RelayState::kNotRun, "not-run"},
                              {RelayState::kNotKnown, "not-known"}})

struct RelayAnswer {
  RelayState state = RelayState::kUnknown;
  StoredAnswer answer;  // when completed
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RelayAnswer, state, answer)

}  // namespace sassafras::wire

#endif  // WIRE_RELAY_H_
