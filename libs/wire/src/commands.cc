// The table that ties each command struct to its name in the log.

#include "wire/commands.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace sassafras::wire {
namespace {

// In the order of the alternatives of Command.
constexpr std::array kNames = {
    "put-section",     "begin-entry", "end-entry",    "admit",
    "close-admission", "put-worker",  "end-worker",   "set-quarantine",
    "submit-job",      "cancel-jobs", "assign-tasks", "order-attempts",
    "report-attempts", "park-job",    "expire"};
static_assert(kNames.size() == std::variant_size_v<Command>);

template <size_t kIndex = 0>
std::optional<Command> DecodeAs(size_t index,
                                const nlohmann::json& fields,
                                CodecReason& why) {
  if constexpr (kIndex == std::variant_size_v<Command>) {
    why.Set(CodecError::kWrongShape, "unknown kind of command");
    return std::nullopt;
  } else {
    if (index != kIndex) {
      return DecodeAs<kIndex + 1>(index, fields, why);
    }
    using Kind = std::variant_alternative_t<kIndex, Command>;
    auto command = FromValue<Kind>(fields, why);
    return command ? std::optional<Command>(*std::move(command)) : std::nullopt;
  }
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  nlohmann::json value =
      std::visit([](const auto& it) { return nlohmann::json(it); }, command);
  value["kind"] = kNames[command.index()];
  return ToCborBytes(value);
}

std::optional<Command> DecodeCommand(std::string_view bytes, CodecReason& why) {
  const auto value = ParseCbor(bytes, why);
  if (!value) {
    return std::nullopt;
  }
  if (!value->is_object() || !value->contains("kind") ||
      !value->at("kind").is_string()) {
    why.Set(CodecError::kWrongShape, "a command needs the field \"kind\"");
    return std::nullopt;
  }
  const std::string kind = value->at("kind").get<std::string>();
  const auto it = std::ranges::find(kNames, kind);
  return DecodeAs(static_cast<size_t>(it - kNames.begin()), *value, why);
}

}  // namespace sassafras::wire
