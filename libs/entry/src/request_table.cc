// Converts answers between HTTP and their stored form, and builds final
// answers.

#include "request_table.h"

#include <array>
#include <chrono>
#include <utility>

namespace sassafras::entry {
namespace {

// In the order of routing::Outcome.
constexpr std::array kOutcomeNames = {"completed", "not-run", "unknown"};

constexpr int kGone = 410;  // HTTP statuses
constexpr int kServiceUnavailable = 503;

// Returns the answer that the effect refers to, or nullopt if it refers to none
// or the table lacks it.
std::optional<http::Answer> FindAnswer(const routing::Respond& respond,
                                       const RequestTable& table) {
  const bool is_shared = !respond.shared_with.IsNone();
  const auto it = table.find(is_shared ? respond.shared_with : respond.request);
  if (it == table.end()) {
    return std::nullopt;
  }
  switch (respond.source) {
    case routing::AnswerSource::kUpstream: {
      const auto answer = it->second.answers.find(respond.answered_by);
      return answer == it->second.answers.end() ? std::nullopt
                                                : std::optional(answer->second);
    }
    case routing::AnswerSource::kStored:
      return it->second.stored;
    case routing::AnswerSource::kRelay:
      return it->second.relayed;
    case routing::AnswerSource::kShared:
      return it->second.final_answer
                 ? std::optional(it->second.final_answer->answer)
                 : std::nullopt;
    case routing::AnswerSource::kNone:
      return std::nullopt;
  }
  return std::nullopt;
}

http::Answer MakeErrorAnswer(const routing::Respond& respond) {
  const auto retry_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(respond.retry_after)
          .count();
  return http::ErrorAnswer(static_cast<int>(respond.status), respond.code,
                           respond.message,
                           kOutcomeNames[static_cast<size_t>(respond.outcome)],
                           retry_ms > 0 ? retry_ms : -1);
}

}  // namespace

wire::StoredAnswer ToStored(const http::Answer& answer, size_t max_body_bytes) {
  wire::StoredAnswer stored;
  stored.status = static_cast<uint32_t>(answer.status);
  stored.headers = answer.headers;
  stored.is_body_kept = answer.body.size() <= max_body_bytes;
  if (stored.is_body_kept) {
    stored.body =
        nlohmann::json::binary_t({answer.body.begin(), answer.body.end()});
  }
  return stored;
}

http::Answer FromStored(const wire::StoredAnswer& stored) {
  if (!stored.is_body_kept) {
    return http::ErrorAnswer(
        kGone, "answer-not-kept",
        "the request was completed, but its answer exceeded a size limit "
        "and was not stored",
        "completed");
  }
  return {.status = static_cast<int>(stored.status),
          .headers = stored.headers,
          .body = std::string(stored.body.begin(), stored.body.end())};
}

FinalAnswer MakeFinalAnswer(const routing::Respond& respond,
                            const RequestTable& table) {
  FinalAnswer final_answer;
  final_answer.outcome = respond.outcome;
  auto answer = FindAnswer(respond, table);
  if (!answer && respond.outcome == routing::Outcome::kCompleted) {
    // The dispatcher never emits this combination. If it did, an empty answer
    // must not be taken for the upstream's.
    final_answer.outcome = routing::Outcome::kUnknown;
    final_answer.answer = http::ErrorAnswer(
        kServiceUnavailable, "answer-lost",
        "the answer to the request is not available", "unknown");
    return final_answer;
  }
  final_answer.answer = answer ? *std::move(answer) : MakeErrorAnswer(respond);
  const bool has_outcome =
      !http::FindHeader(final_answer.answer.headers, "Sassafras-Outcome")
           .empty();
  if (!has_outcome) {
    final_answer.answer.headers.emplace_back(
        "Sassafras-Outcome",
        kOutcomeNames[static_cast<size_t>(respond.outcome)]);
  }
  if (!respond.key.empty()) {
    final_answer.answer.headers.emplace_back("Sassafras-Key",
                                             respond.key.str());
  }
  return final_answer;
}

}  // namespace sassafras::entry
