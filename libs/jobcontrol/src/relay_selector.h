// Decides through which control host the leader calls a worker. In a large
// fleet the calls to workers cost the leader more than all else, while the
// other control hosts are idle. A worker keeps its relay, and so its
// connections, as long as that host replies.

#ifndef JOBCONTROL_SRC_RELAY_SELECTOR_H_
#define JOBCONTROL_SRC_RELAY_SELECTOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"

namespace sassafras::jobcontrol {

// Not thread-safe. Lives for one term of leadership.
class RelaySelector {
 public:
  // Replaces the list of hosts. New hosts are unusable until their first reply.
  void SetHosts(std::span<const wire::EntryId> hosts);

  // A request to the host got a valid reply.
  void OnReply(const wire::EntryId& host);
  // A request to the host failed at `now`; it may be probed again later.
  void OnFailure(const wire::EntryId& host, base::Instant now);

  // Returns the relay for calls to `worker`, or nullopt if no host is usable.
  std::optional<wire::EntryId> Choose(const wire::WorkerId& worker) const;
  bool IsUsable(const wire::EntryId& host) const;
  // Returns the hosts that aren't usable and should be sent a probe at `now`.
  std::vector<wire::EntryId> HostsToProbe(base::Instant now) const;

 private:
  struct Host {
    bool is_usable = false;
    base::Instant next_probe;
    size_t hash = 0;  // of its name
  };

  std::map<wire::EntryId, Host> hosts_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_RELAY_SELECTOR_H_
