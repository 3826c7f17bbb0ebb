// The leader's link to workers: calls the workers of a small fleet itself, and
// those of a large one through the other control hosts, in batches.

#ifndef JOBCONTROL_SRC_RELAYED_LINK_H_
#define JOBCONTROL_SRC_RELAYED_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.h"
#include "jobcontrol/worker_link.h"
#include "relay_messages.h"
#include "relay_selector.h"

namespace sassafras::jobcontrol {

// Used on the control thread.
class RelayedLink : public WorkerLink {
 public:
  // Receives the body of the reply, or nullopt if the request failed.
  using RelayDone = std::function<void(std::optional<std::string>)>;
  // Sends an encoded RelayRequest to a control host.
  using RelaySender = std::function<
      void(const wire::EntryId& host, std::string body, RelayDone done)>;

  // `direct` calls workers from this process. `control` and `direct` must
  // outlive the link.
  static std::unique_ptr<RelayedLink> Create(boost::asio::io_context& control,
                                             WorkerLink& direct,
                                             RelaySender send);
  ~RelayedLink() override;

  // Starts to use relays for the leader of `term`.
  void BeginTerm(uint64_t term);
  // Discards all open calls: their leader no longer exists.
  void EndTerm();
  // Sets the control hosts other than this one, and the size of the fleet.
  void SetFleet(std::span<const wire::EntryId> hosts, size_t workers);
  // Whether a fleet of this size is called through relays.
  static bool IsLarge(size_t workers);
  // Returns the relay for calls to the worker, or nullopt if it is called
  // directly.
  std::optional<wire::EntryId> RelayFor(const wire::WorkerId& worker) const;

  void Order(const jobs::WorkerInfo& worker,
             const jobs::OrderCall& call,
             uint64_t fencing_token,
             OrderDone done) override;
  void Hold(const jobs::WorkerInfo& worker,
            const jobs::HoldCall& call,
            uint64_t fencing_token,
            HoldDone done) override;
  void QueryAdvice(const jobs::AdviceQuery& query,
                   base::Duration timeout,
                   AdviceDone done) override;

 private:
  class Impl;
  RelayedLink(std::shared_ptr<Impl> impl, WorkerLink& direct);

  const std::shared_ptr<Impl> impl_;
  WorkerLink& direct_;
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_RELAYED_LINK_H_
