// The order of waiting connections.

#include "connection_table.h"

#include <ranges>

namespace sassafras::http {

ConnectionTable::Admission ConnectionTable::Admit(base::Instant now) {
  Admission admission;
  if (connections_.size() >= max_connections_) {
    if (waiting_.empty()) {
      return {};
    }
    admission.replaced = waiting_.begin()->second;
    Remove(admission.replaced);
  }
  admission.id = ++last_id_;
  connections_.emplace(admission.id, Connection{ConnectionPhase::kIdle, now});
  waiting_.emplace(now, admission.id);
  return admission;
}

bool ConnectionTable::Enter(Id id, ConnectionPhase phase, base::Instant now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return false;
  }
  Connection& connection = it->second;
  waiting_.erase({connection.since, id});
  connection = {phase, now};
  if (phase != ConnectionPhase::kInProgress) {
    waiting_.emplace(now, id);
  }
  return true;
}

void ConnectionTable::Remove(Id id) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) {
    waiting_.erase({it->second.since, id});
    connections_.erase(it);
  }
}

std::vector<ConnectionTable::Id> ConnectionTable::RemoveIdleSince(
    base::Instant instant) {
  const auto is_long = [&](const auto& it) { return it.first <= instant; };
  std::vector<Id> found;
  for (const auto& [since, id] : waiting_ | std::views::take_while(is_long)) {
    if (connections_.at(id).phase == ConnectionPhase::kIdle) {
      found.push_back(id);
    }
  }
  for (const Id id : found) {
    Remove(id);
  }
  return found;
}

}  // namespace sassafras::http
