// Retention of admissions with their answers, ended jobs, ended workers and
// entries, and change ids of the document.

#include "expire.h"

#include <map>

#include "admissions.h"
#include "ended_jobs.h"

namespace sassafras::state {
namespace {

// Removes the records that ended at or before `oldest`; calls `on_forget` with
// the ID of each. Returns their number.
template <typename Id, typename Record, typename OnForget>
size_t ExpireEnded(std::map<Id, Record>& records,
                   base::WallMs oldest,
                   const OnForget& on_forget) {
  return std::erase_if(records, [&](const auto& item) {
    const auto& [id, record] = item;
    const bool is_expired = !record.is_live && record.at_ms <= oldest;
    if (is_expired) {
      on_forget(id);
    }
    return is_expired;
  });
}

}  // namespace

wire::CommandResult ApplyExpire(Store& store, const wire::Expire& command) {
  store.Advance(command.at_ms);
  const base::WallMs oldest =
      store.clock_ms - store.document.limits().worker_retention_ms;
  const size_t admissions = ExpireAdmissions(store);
  const size_t jobs = ExpireJobs(store);
  const size_t workers = ExpireEnded(
      store.workers, oldest,
      [&](const wire::WorkerId& id) { store.Emit(WorkerChanged{id}); });
  const size_t entries = ExpireEnded(
      store.entries, oldest,
      [&](const wire::EntryId& id) { store.Emit(EntryChanged{id}); });
  store.document.ExpireChanges(store.clock_ms);
  std::erase_if(store.usage, [](const auto& item) {
    const OwnerUsage& usage = item.second;
    return usage.tasks == 0 && usage.admissions == 0 && usage.ended.empty();
  });
  return {wire::ResultCode::kOk,
          "",
          {{"admissions", admissions},
           {"jobs", jobs},
           {"workers", workers},
           {"entries", entries}}};
}

}  // namespace sassafras::state
