// Calls to the cluster as plain values, independent of the network library.

#ifndef CLIENT_CALL_H_
#define CLIENT_CALL_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/reason.h"
#include "base/time.h"
#include "http/message.h"

namespace sassafras::client {

enum class ClientError {
  kNone,
  kBadAddress,  // not "ADDRESS:PORT" with an IP number
  kNotReached,  // certain: not one byte of the request was sent
  kBrokenOff,   // the connection ended before the whole answer
  kTimeout,     // no whole answer in time
  kMalformed    // the answer isn't HTTP or is too large
};
using ClientReason = base::Reason<ClientError>;

// Where an entry listens: an IP number and a port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  // Reads "127.0.0.1:8080" or "[::1]:8080". Error: kBadAddress.
  static std::optional<Endpoint> Parse(std::string_view text,
                                       ClientReason& why);
  std::string ToString() const;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// When a request is sent again. Whatever is chosen, it ends with the limit.
struct ResendRule {
  // The request is idempotent or carries a key or id that makes it so; it is
  // resent when its outcome is unknown.
  bool on_unknown = true;
  // It is resent when the answer says that it didn't run for want of capacity
  // or of a leader (429 or 5xx, outcome "not-run").
  bool on_not_run = true;
};

struct CallOptions {
  base::Duration limit = std::chrono::seconds(10);     // of the whole call
  base::Duration try_limit = std::chrono::seconds(3);  // of one try
  ResendRule resend;
  http::Headers first_headers;  // sent with the first try only
};

struct CallResult {
  std::optional<http::Answer> answer;  // the last whole answer, if any
  ClientReason why;                    // of the last try without an answer
  // A try ended without a final answer and may have had effect. Stays true
  // when a later try is answered, unless that one was completed.
  bool may_have_run = false;
  uint32_t tries = 0;
};

// Calls the entries in turn, as EntryClient does, and waits for the end.
CallResult BlockingCall(const std::vector<Endpoint>& entries,
                        const std::string& token,
                        http::Request request,
                        const CallOptions& options);

// "completed", "not-run" or "unknown" as the answer's header or body says it;
// empty where it says nothing.
std::string OutcomeOf(const http::Answer& answer);

// Percent-encodes what may not stand in a path segment or a query value.
std::string EncodeSegment(std::string_view text);

}  // namespace sassafras::client

#endif  // CLIENT_CALL_H_
