// Membership lookups and the JSON encoding of records.

#include "consensus/types.h"

#include <ranges>

namespace sassafras::consensus {

namespace {

const Member* FindIn(const std::vector<Member>& members, const ReplicaId& id) {
  const auto it = std::ranges::find(members, id, &Member::id);
  return it == members.end() ? nullptr : &*it;
}

}  // namespace

void to_json(nlohmann::json& out, const Record& record) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(record.payload.data());
  out = {{"term", record.term},
         {"index", record.index},
         {"kind", record.kind},
         {"payload",
          nlohmann::json::binary({bytes, bytes + record.payload.size()})}};
}

void from_json(const nlohmann::json& in, Record& record) {
  in.at("term").get_to(record.term);
  in.at("index").get_to(record.index);
  in.at("kind").get_to(record.kind);
  const auto& bytes = in.at("payload").get_binary();
  record.payload.assign(bytes.begin(), bytes.end());
}

bool Membership::IsVoter(const ReplicaId& id) const {
  return FindIn(voters, id) != nullptr;
}

bool Membership::IsLearner(const ReplicaId& id) const {
  return FindIn(learners, id) != nullptr;
}

const Member* Membership::Find(const ReplicaId& id) const {
  const Member* voter = FindIn(voters, id);
  return voter != nullptr ? voter : FindIn(learners, id);
}

const Member* Membership::FindByName(const wire::EntryId& name) const {
  for (const auto* list : {&voters, &learners}) {
    const auto it = std::ranges::find(*list, name, &Member::name);
    if (it != list->end()) {
      return &*it;
    }
  }
  return nullptr;
}

}  // namespace sassafras::consensus
