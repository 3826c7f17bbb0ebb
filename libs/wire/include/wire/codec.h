// Encoding of message structs: CBOR between processes and on disk, JSON
// outwards. Decoders never throw; bad input gives a reason.

#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/reason.h"

namespace sassafras::wire {

enum class CodecError { kNone, kMalformed, kTooDeep, kWrongShape };
using CodecReason = base::Reason<CodecError>;

// Nesting allowed in decoded input; deeper input is refused.
inline constexpr size_t kMaxDepth = 64;

// Parse bytes into a generic value. Errors: kMalformed, kTooDeep.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        CodecReason& why);
std::optional<nlohmann::json> ParseCbor(std::string_view bytes,
                                        CodecReason& why);

std::string ToCborBytes(const nlohmann::json& value);

// Writes JSON on one line. Strings may quote foreign bytes: what isn't UTF-8 is
// replaced by U+FFFD, where nlohmann::json::dump() alone would throw.
std::string ToJsonText(const nlohmann::json& value);

template <typename Message>
std::string EncodeCbor(const Message& message) {
  return ToCborBytes(nlohmann::json(message));
}

// Fills a message from a generic value. Error: kWrongShape.
template <typename Message>
std::optional<Message> FromValue(const nlohmann::json& value,
                                 CodecReason& why) {
  try {
    return value.get<Message>();
  } catch (const nlohmann::json::exception& error) {
    why.Set(CodecError::kWrongShape, error.what());
    return std::nullopt;
  }
}

template <typename Message>
std::optional<Message> DecodeCbor(std::string_view bytes, CodecReason& why) {
  const auto value = ParseCbor(bytes, why);
  return value ? FromValue<Message>(*value, why) : std::nullopt;
}

template <typename Message>
std::optional<Message> DecodeJson(std::string_view text, CodecReason& why) {
  const auto value = ParseJson(text, why);
  return value ? FromValue<Message>(*value, why) : std::nullopt;
}

}  // namespace sassafras::wire

#endif  // WIRE_CODEC_H_
