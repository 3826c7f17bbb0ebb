// An admission is open from the commit of its Admit until the admitting run of
// the entry closes it or ends. An entry that finds the admission open or
// completed under another run never dispatches the request.

#include "admissions.h"

#include <algorithm>
#include <string>

namespace sassafras::state {
namespace {

using Json = nlohmann::json;
using wire::AdmissionState;
using wire::CommandResult;
using wire::ResultCode;

// Upper bound of the retention of an admission: 7 days.
constexpr int64_t kMaxRetentionMs = 604'800'000;

bool IsLiveRun(const Store& store,
               const wire::EntryId& entry,
               const wire::Incarnation& incarnation) {
  const auto it = store.entries.find(entry);
  return it != store.entries.end() && it->second.is_live &&
         it->second.incarnation == incarnation;
}

CommandResult RefuseEndedRun(const wire::EntryId& entry) {
  return Refuse(ResultCode::kStale,
                "this run of entry \"" + entry.str() + "\" has ended");
}

size_t HeaderBytes(const wire::StoredAnswer& answer) {
  size_t bytes = 0;
  for (const auto& [name, value] : answer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

int64_t AnswerBytes(const AdmissionRecord& record) {
  return static_cast<int64_t>(record.answer.body.size() +
                              HeaderBytes(record.answer));
}

base::WallMs ExpiryOf(const AdmissionRecord& record) {
  return record.closed_ms + record.retention_ms;
}

Json ToDetails(const AdmissionRecord& record) {
  Json details = {{"state", record.state},
                  {"entry", record.entry},
                  {"incarnation", record.incarnation}};
  if (record.state == AdmissionState::kCompleted) {
    details["answer"] = record.answer;
  }
  return details;
}

void Unindex(Store& store,
             const AdmissionKey& key,
             const AdmissionRecord& record) {
  OwnerUsage& usage = store.usage[key.first];
  --usage.admissions;
  usage.answer_bytes -= AnswerBytes(record);
  if (record.state != AdmissionState::kOpen) {
    store.admission_expiry.erase({ExpiryOf(record), key});
    return;
  }
  const auto open = store.open_admissions.find(record.entry);
  open->second.erase(key);
  if (open->second.empty()) {
    store.open_admissions.erase(open);
  }
}

void CloseRecord(Store& store,
                 const AdmissionKey& key,
                 AdmissionRecord& record,
                 AdmissionState outcome) {
  Unindex(store, key, record);
  record.state = outcome;
  record.closed_ms = store.clock_ms;
  IndexAdmission(store, key, record);
}

// Closes as unknown all open admissions of an entry whose run has ended: their
// outcomes can no longer be determined. Returns their number.
size_t CloseAllOpen(Store& store, const wire::EntryId& entry) {
  const auto it = store.open_admissions.find(entry);
  if (it == store.open_admissions.end()) {
    return 0;
  }
  const std::set<AdmissionKey> keys = it->second;
  for (const AdmissionKey& key : keys) {
    CloseRecord(store, key, store.admissions.at(key), AdmissionState::kUnknown);
  }
  return keys.size();
}

bool HasMaxAdmissions(const Store& store, const wire::OwnerId& owner) {
  const auto it = store.usage.find(owner);
  return it != store.usage.end() &&
         it->second.admissions >=
             store.document.limits().max_admissions_per_owner;
}

int64_t RetentionFor(const Store& store, const wire::Admit& command) {
  const int64_t asked = command.retention_ms > 0
                            ? command.retention_ms
                            : store.document.limits().answer_retention_ms;
  return std::min(asked, kMaxRetentionMs);
}

CommandResult OpenNew(Store& store,
                      const AdmissionKey& key,
                      const wire::Admit& command) {
  AdmissionRecord record;
  record.service = command.service;
  record.digest = command.digest;
  record.entry = command.entry;
  record.incarnation = command.incarnation;
  record.serial = command.serial;
  record.opened_ms = store.clock_ms;
  record.retention_ms = RetentionFor(store, command);
  IndexAdmission(store, key, record);
  const Json details = ToDetails(record);
  store.admissions.insert_or_assign(key, std::move(record));
  return {ResultCode::kOk, "", details};
}

bool IsSameRun(const AdmissionRecord& record, const wire::Admit& command) {
  return record.entry == command.entry &&
         record.incarnation == command.incarnation;
}

// Returns true for a delayed duplicate of an Admit that was already applied.
// Its request no longer waits for the result.
bool IsDelayedDuplicate(const AdmissionRecord& record,
                        const wire::Admit& command) {
  return IsSameRun(record, command) && command.serial != 0 &&
         command.serial <= record.serial;
}

CommandResult AdmitExisting(Store& store,
                            const AdmissionKey& key,
                            const wire::Admit& command) {
  AdmissionRecord& record = store.admissions.at(key);
  if (record.digest != command.digest || record.service != command.service) {
    return Refuse(
        ResultCode::kConflict,
        "key \"" + command.key.str() + "\" belongs to a different request");
  }
  if (record.state == AdmissionState::kNotRun &&
      !IsDelayedDuplicate(record, command)) {
    Unindex(store, key, record);
    return OpenNew(store, key, command);
  }
  const bool is_repeat =
      record.state == AdmissionState::kOpen && IsSameRun(record, command);
  if (is_repeat) {
    record.serial = std::max(record.serial, command.serial);
  }
  const ResultCode code = is_repeat ? ResultCode::kOk : ResultCode::kDuplicate;
  return {code, is_repeat ? "" : "already admitted", ToDetails(record)};
}

// Removes body and headers of an answer that exceeds a limit; the outcome
// itself is always kept.
wire::StoredAnswer LimitAnswer(const Store& store,
                               const AdmissionKey& key,
                               const AdmissionRecord& record,
                               wire::StoredAnswer answer) {
  const document::ServicePolicy* policy =
      store.document.FindService(record.service);
  const auto limit = static_cast<int64_t>(
      policy != nullptr ? policy->max_answer_bytes : kMaxStoredAnswerBytes);
  const auto size = static_cast<int64_t>(answer.body.size());
  const size_t headers = HeaderBytes(answer);
  const int64_t stored_bytes = store.usage.at(key.first).answer_bytes;
  const bool exceeds_limit =
      size > limit || headers > kMaxStoredHeaderBytes ||
      stored_bytes + size + static_cast<int64_t>(headers) >
          store.document.limits().max_answer_bytes_per_owner;
  if (exceeds_limit) {
    answer.headers.clear();
    answer.body.clear();
    answer.is_body_kept = false;
  }
  return answer;
}

}  // namespace

CommandResult ApplyBeginEntry(Store& store, const wire::BeginEntry& command) {
  store.Advance(command.at_ms);
  const bool is_valid = IsValidId(command.entry.str()) &&
                        IsValidId(command.incarnation.str()) &&
                        command.zone.str().size() <= kMaxIdBytes;
  if (!is_valid) {
    return Refuse(ResultCode::kInvalid,
                  "entry and incarnation must be 1 to 128 visible characters, "
                  "zone at most 128 bytes");
  }
  if (!store.entries.contains(command.entry) &&
      store.entries.size() == kMaxEntries) {
    return Refuse(ResultCode::kForbidden,
                  "the cell already has the maximum of " +
                      std::to_string(kMaxEntries) + " entries");
  }
  EntryRecord& entry = store.entries[command.entry];
  const bool is_latest = entry.incarnation == command.incarnation;
  if ((is_latest && !entry.is_live) ||
      IsPastIncarnation(entry.past, command.incarnation)) {
    return RefuseEndedRun(command.entry);
  }
  if (!is_latest) {
    CloseAllOpen(store, command.entry);
    AddPastIncarnation(entry.past, entry.incarnation);
  }
  entry.incarnation = command.incarnation;
  entry.zone = command.zone;
  entry.is_live = true;
  entry.at_ms = store.clock_ms;
  store.Emit(EntryChanged{command.entry});
  return {ResultCode::kOk,
          "",
          {{"entry", command.entry}, {"incarnation", command.incarnation}}};
}

CommandResult ApplyEndEntry(Store& store, const wire::EndEntry& command) {
  store.Advance(command.at_ms);
  if (!IsLiveRun(store, command.entry, command.incarnation)) {
    return RefuseEndedRun(command.entry);
  }
  EntryRecord& entry = store.entries.at(command.entry);
  const size_t unknown = CloseAllOpen(store, command.entry);
  entry.is_live = false;
  entry.at_ms = store.clock_ms;
  store.Emit(EntryChanged{command.entry});
  return {ResultCode::kOk, "", {{"unknown", unknown}}};
}

CommandResult ApplyAdmit(Store& store, const wire::Admit& command) {
  store.Advance(command.at_ms);
  const bool is_valid =
      IsValidId(command.key.str()) && IsValidId(command.owner.str()) &&
      IsValidId(command.service.str()) && command.digest.size() <= kMaxIdBytes;
  if (!is_valid) {
    return Refuse(ResultCode::kInvalid,
                  "key, owner and service must be 1 to 128 visible "
                  "characters, the digest at most 128 bytes");
  }
  if (!IsLiveRun(store, command.entry, command.incarnation)) {
    return RefuseEndedRun(command.entry);
  }
  const AdmissionKey key = {command.owner, command.key};
  if (store.admissions.contains(key)) {
    return AdmitExisting(store, key, command);
  }
  if (HasMaxAdmissions(store, command.owner)) {
    return Refuse(ResultCode::kForbidden, "owner \"" + command.owner.str() +
                                              "\" has too many admissions");
  }
  return OpenNew(store, key, command);
}

CommandResult ApplyClose(Store& store, const wire::CloseAdmission& command) {
  store.Advance(command.at_ms);
  const AdmissionKey key = {command.owner, command.key};
  const auto it = store.admissions.find(key);
  if (it == store.admissions.end()) {
    return Refuse(ResultCode::kNotFound,
                  "key \"" + command.key.str() + "\" is not admitted");
  }
  AdmissionRecord& record = it->second;
  const bool is_admitting_run =
      record.entry == command.entry &&
      record.incarnation == command.incarnation &&
      IsLiveRun(store, command.entry, command.incarnation);
  if (!is_admitting_run) {
    return RefuseEndedRun(command.entry);
  }
  if (command.outcome == AdmissionState::kOpen) {
    return Refuse(ResultCode::kInvalid, "outcome must not be open");
  }
  const bool is_superseded =
      command.serial != 0 && command.serial != record.serial;
  if (is_superseded) {
    return Refuse(ResultCode::kStale,
                  "key \"" + command.key.str() + "\" was admitted again since");
  }
  if (record.state != AdmissionState::kOpen) {
    const bool is_same = record.state == command.outcome;
    return {is_same ? ResultCode::kDuplicate : ResultCode::kConflict,
            "already closed",
            {{"state", record.state}}};
  }
  CloseRecord(store, key, record, command.outcome);
  if (command.outcome == AdmissionState::kCompleted) {
    record.answer = LimitAnswer(store, key, record, command.answer);
    store.usage.at(key.first).answer_bytes += AnswerBytes(record);
  }
  return {ResultCode::kOk, "", {{"state", record.state}}};
}

void IndexAdmission(Store& store,
                    const AdmissionKey& key,
                    const AdmissionRecord& record) {
  OwnerUsage& usage = store.usage[key.first];
  ++usage.admissions;
  usage.answer_bytes += AnswerBytes(record);
  if (record.state == AdmissionState::kOpen) {
    store.open_admissions[record.entry].insert(key);
  } else {
    store.admission_expiry.emplace(ExpiryOf(record), key);
  }
}

size_t ExpireAdmissions(Store& store) {
  size_t count = 0;
  while (!store.admission_expiry.empty() &&
         store.admission_expiry.begin()->first <= store.clock_ms) {
    const AdmissionKey key = store.admission_expiry.begin()->second;
    const auto it = store.admissions.find(key);
    Unindex(store, key, it->second);
    store.admissions.erase(it);
    ++count;
  }
  return count;
}

}  // namespace sassafras::state
