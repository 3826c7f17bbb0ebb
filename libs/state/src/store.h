// The data of the state machine, shared by the parts that apply commands.

#ifndef STATE_SRC_STORE_H_
#define STATE_SRC_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "document/document.h"
#include "state/machine.h"
#include "state/records.h"

namespace sassafras::state {

// Resources and records in use by one owner; derived from the records.
struct OwnerUsage {
  // End time and ID.
  using EndedJob = std::pair<base::WallMs, wire::JobId>;

  wire::Resources reserved;
  int64_t tasks = 0;               // tasks of jobs that have not ended
  int64_t ended_tasks = 0;         // tasks of the jobs in `uncompacted`
  std::set<EndedJob> ended;        // oldest first
  std::set<EndedJob> uncompacted;  // subset of `ended`
  int64_t admissions = 0;          // open and closed
  int64_t answer_bytes = 0;        // bodies and headers of stored answers
};

struct Store {
  uint64_t applied_index = 0;
  base::WallMs clock_ms = 0;  // latest timestamp of a command; never decreases
  wire::AttemptId last_attempt;  // the newest ID given to an attempt
  document::Document document;
  std::map<wire::EntryId, EntryRecord> entries;
  std::map<wire::WorkerId, WorkerRecord> workers;
  std::map<wire::JobId, JobRecord> jobs;
  std::map<AdmissionKey, AdmissionRecord> admissions;

  // Derived indexes, rebuilt from the records above when a snapshot is decoded.
  std::map<wire::OwnerId, OwnerUsage> usage;
  // By the entry that admitted them.
  std::map<wire::EntryId, std::set<AdmissionKey>> open_admissions;
  // Closed admissions by the time at which their retention ends.
  std::set<std::pair<base::WallMs, AdmissionKey>> admission_expiry;

  // Set when the document changes or a service job ends: the jobs must be
  // reconciled with the declared workloads before Apply returns.
  bool needs_reconcile = false;
  // Owners with a newly ended job; their ended jobs are trimmed before Apply
  // returns.
  std::set<wire::OwnerId> owners_to_trim;
  std::vector<Change> changes;

  // Advances clock_ms to the timestamp of a command if that is later. Returns
  // clock_ms, which is the time to store in records.
  base::WallMs Advance(base::WallMs at_ms);
  // Appends a change for TakeChanges. Replaces all pending changes by a Rebuild
  // when there are kMaxPendingChanges of them.
  void Emit(Change change);
};

// Records an ended run so that it can be refused if it registers again. Keeps
// the newest kMaxPastIncarnations.
void AddPastIncarnation(std::vector<wire::Incarnation>& past,
                        const wire::Incarnation& incarnation);
bool IsPastIncarnation(const std::vector<wire::Incarnation>& past,
                       const wire::Incarnation& incarnation);

// Truncates to at most kMaxReasonBytes, on a UTF-8 character boundary.
std::string ShortReason(std::string_view reason);

// Returns true for 1 to kMaxIdBytes visible ASCII characters.
bool IsValidId(std::string_view id);

// Upper bound of each resource amount.
inline constexpr int64_t kMaxAmount = 1'000'000'000'000;
// Returns true if every amount is in [0, kMaxAmount].
bool IsValidAmount(const wire::Resources& amount);

// Returns a result with null details.
wire::CommandResult Refuse(wire::ResultCode code, std::string message);

}  // namespace sassafras::state

#endif  // STATE_SRC_STORE_H_
