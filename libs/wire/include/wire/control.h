// Calls to the control leader, as they travel between processes.

#ifndef WIRE_CONTROL_H_
#define WIRE_CONTROL_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "wire/ids.h"

namespace sassafras::wire {

enum class ReplyStatus {
  kOk,         // `body` is the answer
  kNotLeader,  // nothing was done; `leader` is the best guess, may be empty
  kNotRun,     // nothing was done and nothing will be
  kUnknown,    // it may have been done or may yet be
  kRefused     // the call is wrong in itself; `message` says why
};
NLOHMANN_JSON_SERIALIZE_ENUM(ReplyStatus,
                             {{ReplyStatus::kUnknown, "unknown"},
                              {ReplyStatus::kOk, "ok"},
                              {ReplyStatus::kNotLeader, "not-leader"},
                              {ReplyStatus::kNotRun, "not-run"},
                              {ReplyStatus::kRefused, "refused"}})

// Why a call with kNotRun is denied to its caller, so that another try of the
// same call won't be served either.
enum class Denial {
  kNone,
  // The caller gave a key that a confirmed leader doesn't know, or needs one
  // and gave none.
  kUnauthenticated,
  kConflict,  // the id that the caller chose is in use by another caller
  // The process that sent the call didn't check keys, which are needed now.
  kUnverified,
};
// A program that doesn't know a value takes it for kNone, and the call for any
// other kNotRun.
NLOHMANN_JSON_SERIALIZE_ENUM(Denial,
                             {{Denial::kNone, ""},
                              {Denial::kUnauthenticated, "unauthenticated"},
                              {Denial::kConflict, "conflict"},
                              {Denial::kUnverified, "unverified"}})

struct ControlReply {
  ReplyStatus status = ReplyStatus::kUnknown;
  EntryId leader;
  std::string message;
  nlohmann::json body;
  // Above 0 with kNotRun: the call can't be served now. The caller should hear
  // that at once, and call again after this time. An older program takes it for
  // any other kNotRun.
  int64_t retry_after_ms = 0;
  // Other than kNone with kNotRun only.
  Denial denial = Denial::kNone;

  // Whether the call was refused for lack of capacity.
  bool IsOverloaded() const {
    return status == ReplyStatus::kNotRun && retry_after_ms > 0;
  }
  bool IsDenied() const {
    return status == ReplyStatus::kNotRun && denial != Denial::kNone;
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlReply,
                                                status,
                                                leader,
                                                message,
                                                body,
                                                retry_after_ms,
                                                denial)

}  // namespace sassafras::wire

#endif  // WIRE_CONTROL_H_
