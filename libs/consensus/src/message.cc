// JSON encoding of messages. `records` is omitted when empty; the snapshot
// fields are written only for snapshot chunks and their replies.

#include "consensus/message.h"

namespace sassafras::consensus {

namespace {

nlohmann::json ToBinary(const std::string& data) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(data.data());
  return nlohmann::json::binary({bytes, bytes + data.size()});
}

}  // namespace

void to_json(nlohmann::json& out, const Message& message) {
  out = {{"kind", message.kind},
         {"from", message.from},
         {"to", message.to},
         {"term", message.term},
         {"index", message.index},
         {"log_term", message.log_term},
         {"commit", message.commit},
         {"is_granted", message.is_granted},
         {"is_transfer", message.is_transfer},
         {"hint", message.hint},
         {"round", message.round}};
  if (!message.records.empty()) {
    out["records"] = message.records;
  }
  if (message.kind == MessageKind::kSnapshot ||
      message.kind == MessageKind::kSnapshotReply) {
    out["snapshot"] = message.snapshot;
    out["offset"] = message.offset;
    out["total_bytes"] = message.total_bytes;
    out["data"] = ToBinary(message.data);
  }
}

void from_json(const nlohmann::json& in, Message& message) {
  in.at("kind").get_to(message.kind);
  in.at("from").get_to(message.from);
  in.at("to").get_to(message.to);
  in.at("term").get_to(message.term);
  in.at("index").get_to(message.index);
  in.at("log_term").get_to(message.log_term);
  in.at("commit").get_to(message.commit);
  in.at("is_granted").get_to(message.is_granted);
  in.at("is_transfer").get_to(message.is_transfer);
  in.at("hint").get_to(message.hint);
  in.at("round").get_to(message.round);
  if (const auto it = in.find("records"); it != in.end()) {
    it->get_to(message.records);
  }
  if (const auto it = in.find("snapshot"); it != in.end()) {
    it->get_to(message.snapshot);
    in.at("offset").get_to(message.offset);
    in.at("total_bytes").get_to(message.total_bytes);
    const auto& bytes = in.at("data").get_binary();
    message.data.assign(bytes.begin(), bytes.end());
  }
}

}  // namespace sassafras::consensus
