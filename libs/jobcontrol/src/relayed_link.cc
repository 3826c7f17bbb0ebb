// Batches calls by relay and matches the replies with them.

#include "relayed_link.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

#include "kernel/kernel.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

// Calls to workers of a fleet up to this size cost the leader less than the
// detour costs all hosts together.
constexpr size_t kMaxDirectWorkers = 200;
// Calls that are made within this time share one message to a relay.
constexpr auto kCollectTime = std::chrono::milliseconds(2);
constexpr auto kProbePeriod = std::chrono::milliseconds(100);

}  // namespace

class RelayedLink::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& control, RelaySender send)
      : send_(std::move(send)), flush_timer_(control), probe_timer_(control) {}

  void BeginTerm(uint64_t term) {
    EndTerm();
    term_ = term;
    Probe();
  }

  void EndTerm() {
    term_ = 0;
    selector_ = {};
    selector_.SetHosts(hosts_);
    relays_.clear();
    probe_timer_.cancel();
    flush_timer_.cancel();
    is_flush_due_ = false;
  }

  void SetFleet(std::span<const wire::EntryId> hosts, size_t workers) {
    const bool was_large = std::exchange(is_large_, IsLarge(workers));
    hosts_.assign(hosts.begin(), hosts.end());
    selector_.SetHosts(hosts_);
    if (is_large_ && !was_large && term_ != 0) {
      Probe();
    }
  }

  std::optional<wire::EntryId> RelayFor(const wire::WorkerId& worker) const {
    return is_large_ && term_ != 0 ? selector_.Choose(worker) : std::nullopt;
  }

  void AddOrder(const wire::EntryId& host,
                const jobs::WorkerInfo& worker,
                const jobs::OrderCall& call,
                uint64_t fencing_token,
                OrderDone done) {
    Relay& relay = relays_[host];
    relay.unsent.orders.push_back(
        ToRelayedOrder(++last_id_, worker, call, fencing_token));
    relay.orders.emplace(last_id_, std::move(done));
    FlushSoon();
  }

  void AddHold(const wire::EntryId& host,
               const jobs::WorkerInfo& worker,
               const jobs::HoldCall& call,
               uint64_t fencing_token,
               HoldDone done) {
    Relay& relay = relays_[host];
    relay.unsent.holds.push_back(
        ToRelayedHold(++last_id_, worker, call, fencing_token));
    relay.holds.emplace(last_id_, std::move(done));
    FlushSoon();
  }

 private:
  // The calls in progress at one relay.
  struct Relay {
    RelayRequest unsent;
    size_t open_requests = 0;
    std::map<RelayedCallId, OrderDone> orders;
    std::map<RelayedCallId, HoldDone> holds;
  };

  void FlushSoon() {
    if (std::exchange(is_flush_due_, true)) {
      return;
    }
    flush_timer_.expires_after(kCollectTime);
    flush_timer_.async_wait([self = shared_from_this()](auto ec) {
      if (!ec) {
        self->Flush();
      }
    });
  }

  void Flush() {
    is_flush_due_ = false;
    for (auto& [host, relay] : relays_) {
      if (!relay.unsent.orders.empty() || !relay.unsent.holds.empty()) {
        SendRequest(host, relay);
      }
    }
  }

  // A request without calls only asks for the replies of workers.
  void SendRequest(const wire::EntryId& host, Relay& relay) {
    RelayRequest request = std::exchange(relay.unsent, {});
    request.term = term_;
    ++relay.open_requests;
    send_(host, wire::EncodeCbor(request),
          [self = shared_from_this(), host,
           term = term_](const std::optional<std::string>& body) {
            if (term == self->term_) {
              self->OnReply(host, body);
            }
          });
  }

  void OnReply(const wire::EntryId& host,
               const std::optional<std::string>& body) {
    Relay& relay = relays_[host];
    --relay.open_requests;
    wire::CodecReason why;
    auto reply = body ? wire::DecodeCbor<RelayReply>(*body, why) : std::nullopt;
    if (!reply) {
      OnFailure(host, relay);
      return;
    }
    if (!selector_.IsUsable(host)) {
      telemetry::Decision("relay-usable").With("host", host).Write();
      selector_.OnReply(host);
    }
    if (relay.open_requests == 0) {
      SendRequest(host, relay);
    }
    Deliver(host, *reply);
  }

  // A callback may begin new calls, also at the same relay.
  void Deliver(const wire::EntryId& host, const RelayReply& reply) {
    for (const RelayedOrderReply& it : reply.orders) {
      auto node = relays_[host].orders.extract(it.id);
      if (!node.empty()) {
        node.mapped()(ToOrderReply(it));
      }
    }
    for (const RelayedHoldReply& it : reply.holds) {
      auto node = relays_[host].holds.extract(it.id);
      if (!node.empty()) {
        node.mapped()(ToHoldReply(it));
      }
    }
  }

  // Replies may have been lost with the request, so none of the open calls can
  // count on one any more.
  void OnFailure(const wire::EntryId& host, Relay& relay) {
    if (selector_.IsUsable(host)) {
      telemetry::Decision("relay-lost")
          .With("host", host)
          .With("orders", relay.orders.size())
          .With("holds", relay.holds.size())
          .Write();
    }
    selector_.OnFailure(host, kernel::MonotonicNow());
    relay.unsent = {};
    const auto orders = std::exchange(relay.orders, {});
    const auto holds = std::exchange(relay.holds, {});
    for (const OrderDone& done : orders | std::views::values) {
      done({});
    }
    for (const HoldDone& done : holds | std::views::values) {
      done({});
    }
  }

  void Probe() {
    if (is_large_) {
      for (const wire::EntryId& host :
           selector_.HostsToProbe(kernel::MonotonicNow())) {
        Relay& relay = relays_[host];
        if (relay.open_requests == 0) {
          relay.unsent.is_probe = true;
          SendRequest(host, relay);
        }
      }
    }
    probe_timer_.expires_after(kProbePeriod);
    probe_timer_.async_wait([self = shared_from_this()](auto ec) {
      if (!ec && self->term_ != 0) {
        self->Probe();
      }
    });
  }

  const RelaySender send_;
  boost::asio::steady_timer flush_timer_;
  boost::asio::steady_timer probe_timer_;
  std::vector<wire::EntryId> hosts_;  // that can relay
  RelaySelector selector_;            // of the current term
  std::map<wire::EntryId, Relay> relays_;
  uint64_t term_ = 0;  // 0 while this process doesn't lead
  bool is_large_ = false;
  bool is_flush_due_ = false;
  RelayedCallId last_id_ = 0;
};

RelayedLink::RelayedLink(std::shared_ptr<Impl> impl, WorkerLink& direct)
    : impl_(std::move(impl)), direct_(direct) {}

RelayedLink::~RelayedLink() {
  impl_->EndTerm();
}

std::unique_ptr<RelayedLink> RelayedLink::Create(
    boost::asio::io_context& control,
    WorkerLink& direct,
    RelaySender send) {
  return std::unique_ptr<RelayedLink>(new RelayedLink(
      std::make_shared<Impl>(control, std::move(send)), direct));
}

void RelayedLink::BeginTerm(uint64_t term) {
  impl_->BeginTerm(term);
}

void RelayedLink::EndTerm() {
  impl_->EndTerm();
}

void RelayedLink::SetFleet(std::span<const wire::EntryId> hosts,
                           size_t workers) {
  impl_->SetFleet(hosts, workers);
}

bool RelayedLink::IsLarge(size_t workers) {
  return workers > kMaxDirectWorkers;
}

std::optional<wire::EntryId> RelayedLink::RelayFor(
    const wire::WorkerId& worker) const {
  return impl_->RelayFor(worker);
}

void RelayedLink::Order(const jobs::WorkerInfo& worker,
                        const jobs::OrderCall& call,
                        uint64_t fencing_token,
                        OrderDone done) {
  if (const auto relay = impl_->RelayFor(worker.boot.id)) {
    impl_->AddOrder(*relay, worker, call, fencing_token, std::move(done));
  } else {
    direct_.Order(worker, call, fencing_token, std::move(done));
  }
}

void RelayedLink::Hold(const jobs::WorkerInfo& worker,
                       const jobs::HoldCall& call,
                       uint64_t fencing_token,
                       HoldDone done) {
  if (const auto relay = impl_->RelayFor(worker.boot.id)) {
    impl_->AddHold(*relay, worker, call, fencing_token, std::move(done));
  } else {
    direct_.Hold(worker, call, fencing_token, std::move(done));
  }
}

void RelayedLink::QueryAdvice(const jobs::AdviceQuery& query,
                              base::Duration timeout,
                              AdviceDone done) {
  direct_.QueryAdvice(query, timeout, std::move(done));
}

}  // namespace sassafras::jobcontrol
