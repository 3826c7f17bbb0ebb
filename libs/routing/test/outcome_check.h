// Checks the responses to callers against what the upstreams ran.

#ifndef ROUTING_TEST_OUTCOME_CHECK_H_
#define ROUTING_TEST_OUTCOME_CHECK_H_

#include <string>

#include "simulation.h"

namespace sassafras::routing::test {

// Returns a description of the first incorrect response to a non-idempotent
// request, or an empty string if all are correct. `had_failures`: the test
// injected failures, so that the outcome `unknown` is allowed.
std::string FindIncorrectResponse(Simulation& simulation, bool had_failures);

// Options for a non-idempotent request, which must run at most once.
SendOptions NonIdempotentRequest(const std::string& key);

}  // namespace sassafras::routing::test

#endif  // ROUTING_TEST_OUTCOME_CHECK_H_
