// Checks that requests run at most once and that reported outcomes are correct.

#include "outcome_check.h"

#include <algorithm>
#include <vector>

namespace sassafras::routing::test {

// Returns true if the run contradicts the outcome `not-run` of `sent`. It does
// if it started before a resend was sent, or if it can't belong to any other
// send of the same key. A first send is exempt from the former: while it was in
// transit, the key may still have been free when the admission log was read.
static bool ContradictsNotRun(Simulation& simulation,
                              const SentRequest& sent,
                              const UpstreamRun& run) {
  if (!sent.is_first_sending && run.at < sent.sent_at) {
    return true;
  }
  return std::ranges::none_of(
      simulation.sent_requests(), [&](const SentRequest& it) {
        return &it != &sent && it.key == sent.key && it.sent_at <= run.at &&
               (!it.outcome || it.answered_at >= run.at);
      });
}

// Describes how the response to one send is incorrect; empty if it is correct.
static std::string FindIncorrectResponse(Simulation& simulation,
                                         const SentRequest& it,
                                         bool had_failures) {
  const auto found = simulation.runs().find(it.key);
  const std::vector<UpstreamRun> runs = found == simulation.runs().end()
                                            ? std::vector<UpstreamRun>()
                                            : found->second;
  if (runs.size() > 1) {
    return "ran " + std::to_string(runs.size()) + " times";
  }
  if (it.responses > 1) {
    return "got more than one response";
  }
  if (it.outcome == Outcome::kCompleted &&
      (runs.size() != 1 || runs.front().answer != it.answer)) {
    return "completed with the wrong answer";
  }
  if (it.outcome == Outcome::kNotRun && !runs.empty() &&
      ContradictsNotRun(simulation, it, runs.front())) {
    return "ran although the outcome was not-run, " + it.code;
  }
  if (it.outcome == Outcome::kUnknown && !had_failures) {
    return "has the outcome unknown without an injected failure, " + it.code;
  }
  return "";
}

std::string FindIncorrectResponse(Simulation& simulation, bool had_failures) {
  for (const SentRequest& it : simulation.sent_requests()) {
    const std::string incorrect_response =
        it.is_idempotent ? ""
                         : FindIncorrectResponse(simulation, it, had_failures);
    if (!incorrect_response.empty()) {
      return "key " + it.key + " " + incorrect_response;
    }
  }
  return "";
}

SendOptions NonIdempotentRequest(const std::string& key) {
  SendOptions options;
  options.is_idempotent = false;
  options.key = key;
  return options;
}

}  // namespace sassafras::routing::test
