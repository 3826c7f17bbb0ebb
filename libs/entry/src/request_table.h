// Requests and answers in full. The dispatcher refers to requests by id only;
// this table holds their content.

#ifndef ENTRY_SRC_REQUEST_TABLE_H_
#define ENTRY_SRC_REQUEST_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "entry/entry_service.h"
#include "http/message.h"
#include "routing/effects.h"
#include "wire/commands.h"
#include "wire/relay.h"

namespace sassafras::entry {

// The answer that this entry returns to a caller or to another entry.
struct FinalAnswer {
  routing::Outcome outcome = routing::Outcome::kUnknown;
  http::Answer answer;
};
using FinalAnswerCallback = std::function<void(const FinalAnswer&)>;

// Content of one request. Kept until the dispatcher emits Forget for it.
struct RequestState {
  CallerRequest caller;  // empty if another entry queries a key's outcome
  std::string digest;    // as returned by DigestOf(); empty for such a query
  base::Instant deadline;
  FinalAnswerCallback on_final_answer;             // empty once answered
  std::map<routing::TryId, http::Answer> answers;  // answers of upstreams
  std::optional<http::Answer> stored;       // read from the admission log
  std::optional<http::Answer> relayed;      // received from another entry
  std::optional<FinalAnswer> final_answer;  // reused for AnswerSource::kShared
};

using RequestTable = std::unordered_map<routing::RequestId, RequestState>;

// Converts an answer to the form stored in the admission log. The body is
// omitted if it is larger than `max_body_bytes`.
wire::StoredAnswer ToStored(const http::Answer& answer, size_t max_body_bytes);

// Converts a stored answer back. Returns an error answer if its body was
// omitted.
http::Answer FromStored(const wire::StoredAnswer& stored);

// Builds the answer for a Respond effect, with headers and body from the
// effect's source.
FinalAnswer MakeFinalAnswer(const routing::Respond& respond,
                            const RequestTable& table);

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_REQUEST_TABLE_H_
