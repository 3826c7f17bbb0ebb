// Finds the caller's key in the leader's table.

#include "leader_key_check.h"

#include <utility>

namespace sassafras::jobcontrol {
namespace {

// A queue that the manifest no longer contains stays as it was last.
bool IsOpen(const jobs::QueueId& id, const jobs::JobTable& table) {
  const jobs::Queue* current = table.FindCurrentQueue(id);
  const jobs::Queue* queue = current != nullptr ? current : table.FindQueue(id);
  return queue != nullptr && queue->is_open;
}

}  // namespace

CallerRights RightsOf(const Caller& caller,
                      const jobs::QueueId& queue,
                      const jobs::JobTable& table) {
  using enum wire::Denial;
  const jobs::ManifestIndex& index = table.index();
  if (!index.HasCustomers()) {
    return {};
  }
  const bool is_open = IsOpen(queue, table);
  if (caller.key) {
    const jobs::Customer* customer = index.FindCustomerWith(*caller.key);
    return customer == nullptr
               ? CallerRights{kUnauthenticated, "unknown-key", {}, false}
               : CallerRights{kNone, {}, customer->id, is_open};
  }
  if (is_open) {
    return {};
  }
  return caller.is_checked
             ? CallerRights{kUnauthenticated, "no-key", {}, false}
             : CallerRights{kUnverified, "not-checked", {}, false};
}

void FindRights(LeaderContext& context,
                const Caller& caller,
                const jobs::QueueId& queue,
                RightsDone done) {
  const CallerRights rights = RightsOf(caller, queue, context.table());
  if (rights.denial == wire::Denial::kNone) {
    done(rights);
    return;
  }
  context.Barrier(
      [&context, caller, queue, done = std::move(done)](bool passed) {
        done(passed ? std::optional(RightsOf(caller, queue, context.table()))
                    : std::nullopt);
      });
}

const jobs::JobRecord* FindVisibleJob(const jobs::JobTable& table,
                                      const JobQuery& query,
                                      const CallerRights& rights) {
  const jobs::JobRecord* job = table.FindJob(query.queue, query.job);
  return job != nullptr && rights.MaySee(*job) ? job : nullptr;
}

}  // namespace sassafras::jobcontrol
