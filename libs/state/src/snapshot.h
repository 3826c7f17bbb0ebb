// Serializes and restores the store.

#ifndef STATE_SRC_SNAPSHOT_H_
#define STATE_SRC_SNAPSHOT_H_

#include <optional>
#include <string>
#include <string_view>

#include "store.h"

namespace sassafras::state {

std::string EncodeStore(const Store& store);

// Also rebuilds the derived indexes. Error: kBadSnapshot.
std::optional<Store> DecodeStore(std::string_view bytes, StateReason& why);

}  // namespace sassafras::state

#endif  // STATE_SRC_SNAPSHOT_H_
