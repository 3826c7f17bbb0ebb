// Remembers what the replicas say about themselves.

#include "copy_support.h"

#include <algorithm>

namespace sassafras::jobcontrol {

void CopySupport::OnHello(const Hello& hello) {
  if (hello.replica.empty()) {
    return;
  }
  if (hello.applies_copies) {
    supporting_.insert(hello.replica);
  } else {
    supporting_.erase(hello.replica);
  }
}

bool CopySupport::IsComplete(const consensus::Membership& members,
                             const consensus::ReplicaId& self) const {
  const auto supports = [&](const consensus::Member& it) {
    return it.id == self || supporting_.contains(it.id);
  };
  return std::ranges::all_of(members.voters, supports) &&
         std::ranges::all_of(members.learners, supports);
}

}  // namespace sassafras::jobcontrol
