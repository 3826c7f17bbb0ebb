// Helpers shared by the parts of the state machine.

#include "store.h"

#include <algorithm>

namespace sassafras::state {

base::WallMs Store::Advance(base::WallMs at_ms) {
  clock_ms = std::max(clock_ms, at_ms);
  return clock_ms;
}

void Store::Emit(Change change) {
  if (changes.size() < kMaxPendingChanges) {
    changes.push_back(std::move(change));
    return;
  }
  changes.clear();
  changes.shrink_to_fit();
  changes.emplace_back(Rebuild{});
}

void AddPastIncarnation(std::vector<wire::Incarnation>& past,
                        const wire::Incarnation& incarnation) {
  if (incarnation.empty() || IsPastIncarnation(past, incarnation)) {
    return;
  }
  past.push_back(incarnation);
  if (past.size() > kMaxPastIncarnations) {
    past.erase(past.begin());
  }
}

bool IsPastIncarnation(const std::vector<wire::Incarnation>& past,
                       const wire::Incarnation& incarnation) {
  return std::ranges::find(past, incarnation) != past.end();
}

std::string ShortReason(std::string_view reason) {
  if (reason.size() <= kMaxReasonBytes) {
    return std::string(reason);
  }
  const auto is_continuation = [](char it) {
    return (static_cast<unsigned char>(it) & 0xC0) == 0x80;
  };
  size_t end = kMaxReasonBytes;
  while (end > 0 && is_continuation(reason[end])) {
    --end;
  }
  return std::string(reason.substr(0, end));
}

bool IsValidId(std::string_view id) {
  const auto is_visible = [](char it) { return it > ' ' && it < 0x7f; };
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::ranges::all_of(id, is_visible);
}

bool IsValidAmount(const wire::Resources& amount) {
  const wire::Resources none;
  const wire::Resources most = {kMaxAmount, kMaxAmount, kMaxAmount};
  return none.FitsIn(amount) && amount.FitsIn(most);
}

wire::CommandResult Refuse(wire::ResultCode code, std::string message) {
  return {code, std::move(message), {}};
}

}  // namespace sassafras::state
