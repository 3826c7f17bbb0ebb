// The replicated state machine. Every control replica applies the same
// commands in the same order and so has the same state. Each command is
// validated when it is applied; a command that is no longer valid because of
// commands applied before it leaves the state unchanged.
//
// Result codes and CommandResult.details by command:
//   PutSection      see document/document.h
//   BeginEntry      kOk {entry, incarnation}; kStale: that run has ended, the
//                   entry needs a new incarnation; kInvalid; kForbidden: the
//                   cell has kMaxEntries entries
//   EndEntry        kOk {unknown: number of admissions closed as unknown};
//                   kStale
//   Admit           kOk {state: "open", entry, incarnation}: the caller's
//                   entry may dispatch;
//                   kDuplicate {state, entry, incarnation} of the admission
//                   under this key, with {answer} (wire::StoredAnswer) once it
//                   is "completed": the entry attaches to the open request,
//                   replies with the answer, or reports the outcome unknown;
//                   kConflict: the key belongs to a different request;
//                   kStale: the admitting run of the entry has ended;
//                   kForbidden: the owner has too many admissions
//   CloseAdmission  kOk {state}; kDuplicate {state}: already closed with
//                   this outcome; kConflict {state}: already closed with
//                   another outcome; kStale: not the admitting run, or the key
//                   was admitted again since; kInvalid; kNotFound
//   PutWorker       kOk {lost: number of attempts ended with an older run};
//                   kStale: that run has ended; the worker stops all its
//                   attempts and registers under a new incarnation; kInvalid;
//                   kForbidden: the cell has kMaxWorkers workers
//   EndWorker       kOk {lost: number of attempts ended}; kStale
//   SetQuarantine   kOk; kNotFound
//   SubmitJob       kOk {id}; kDuplicate {id, state}: same id and spec as
//                   an existing job; kConflict {id}: the id belongs to a job
//                   with another spec; kNotFound: the id belongs to another
//                   owner's job; kInfeasible {resource, asked,
//                   bound}; kInvalid; kForbidden: the owner has too many
//                   tasks
//   CancelJobs      kOk {jobs: [{id, code}]}, code "ok", "duplicate" (already
//                   ended or being cancelled), "forbidden" (declared by the
//                   document) or "not-found"; kNotFound if none of the listed
//                   jobs was found
//   AssignTasks     kOk, or kConflict if a group was refused; {groups: [{code,
//                   message, attempts: [number]}]} in the order proposed
//   OrderAttempts   kOk; {items: [code]}: "ok", "stale" or "not-found"
//   ReportAttempts  kOk; {reports: [code]}: "ok" or "stale"; kStale: the
//                   worker's run has ended, no report was applied
//   ParkJob         kOk; kNotFound; kDuplicate: the job has ended, is being
//                   cancelled or failed, or is already in that state
//   Expire          kOk {admissions, jobs, workers, entries}: numbers of
//                   removed records
// Results with other codes have null details and a message.

#ifndef STATE_MACHINE_H_
#define STATE_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/reason.h"
#include "document/document.h"
#include "state/records.h"
#include "wire/commands.h"

namespace sassafras::state {

enum class StateError { kNone, kBadSnapshot };
using StateReason = base::Reason<StateError>;

// Ended incarnations remembered for each worker and each entry.
inline constexpr size_t kMaxPastIncarnations = 16;
// Changes kept between two calls of TakeChanges.
inline constexpr size_t kMaxPendingChanges = 1 << 20;
inline constexpr size_t kMaxWorkers = 50'000;
inline constexpr size_t kMaxEntries = 1'000;
inline constexpr uint32_t kMaxTasksPerJob = 50'000;
// Bounds JobSpec::payload.
inline constexpr size_t kMaxPayloadBytes = 64 << 10;
// Longer reasons are truncated.
inline constexpr size_t kMaxReasonBytes = 512;
inline constexpr size_t kMaxIdBytes = 128;
// Bounds the body of a stored answer if its service has no policy.
inline constexpr size_t kMaxStoredAnswerBytes = 1 << 20;
// Bounds the names and values of a stored answer's headers, in total.
inline constexpr size_t kMaxStoredHeaderBytes = 16 << 10;

// Movable, not copyable. Not thread-safe. Pointers and references returned by
// accessors are valid until the next Apply.
class Machine {
 public:
  Machine();
  Machine(Machine&& other) noexcept;
  Machine& operator=(Machine&& other) noexcept;
  ~Machine();

  // Applies the committed command at log index `index`. Deterministic. Log
  // indexes must increase; an index at or below applied_index() is refused with
  // kStale.
  wire::CommandResult Apply(uint64_t index, const wire::Command& command);

  // Returns the serialized state. Equal states give equal bytes.
  std::string Snapshot() const;
  // Returns nullopt and sets `why` to kBadSnapshot if `bytes` is not a valid
  // snapshot.
  static std::optional<Machine> FromSnapshot(std::string_view bytes,
                                             StateReason& why);

  // Returns the changes since the last call, oldest first. Followers must call
  // it too. When more than kMaxPendingChanges are pending, a single Rebuild
  // replaces them. After FromSnapshot the list starts with a Rebuild.
  std::vector<Change> TakeChanges();

  uint64_t applied_index() const;
  const document::Document& document() const;
  const std::map<wire::EntryId, EntryRecord>& entries() const;
  const std::map<wire::WorkerId, WorkerRecord>& workers() const;
  const std::map<wire::JobId, JobRecord>& jobs() const;
  const std::map<AdmissionKey, AdmissionRecord>& admissions() const;

  // The Find functions return null if there is no such record.
  const WorkerRecord* FindWorker(const wire::WorkerId& worker) const;
  const JobRecord* FindJob(const wire::JobId& job) const;
  // Also returns null if the job belongs to another owner.
  const JobRecord* FindJob(const wire::JobId& job,
                           const wire::OwnerId& owner) const;
  const TaskRecord* FindTask(const wire::TaskId& task) const;
  const AdmissionRecord* FindAdmission(const wire::OwnerId& owner,
                                       const wire::RequestKey& key) const;

  // Returns the attempts that this run of the worker must run or stop, sorted
  // by task; the reply to its heartbeat carries this list. Returns an empty
  // list if the run is not the worker's live run.
  std::vector<wire::AttemptCommand> CommandsFor(
      const wire::WorkerId& worker,
      const wire::Incarnation& incarnation) const;

  // Returns the sum of the resources reserved by the owner's attempts.
  wire::Resources ReservedBy(const wire::OwnerId& owner) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::state

#endif  // STATE_MACHINE_H_
