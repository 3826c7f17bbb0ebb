// Asks the leader which manifest is the newest, fetches what changed from the
// control hosts, and forwards callers' requests to the leader.

#include "jobcontrol/entry_node.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "call_counters.h"
#include "call_result.h"
#include "entry_key_check.h"
#include "entry_manifest.h"
#include "jobcontrol/advice_host.h"
#include "telemetry/decision.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kHelloPeriod = std::chrono::milliseconds(400);
constexpr auto kHelloTimeout = std::chrono::milliseconds(1500);
// Without a leader reply for this long, the leader has probably changed or
// can't be reached, and the entry rejects requests instead of routing them.
constexpr auto kMaxLeaderSilence = std::chrono::milliseconds(3000);
// Bounds the time that an unresponsive control host delays a hello to the next
// one.
constexpr auto kHelloTryTimeout = std::chrono::milliseconds(500);
// Without a reply from any control host for this long, the entry counts as
// disconnected, since other entries can serve its callers better. An election
// doesn't cause this: the other control hosts still reply during it.
constexpr auto kMaxContactAge = std::chrono::milliseconds(1400);

using telemetry::Decision;

}  // namespace

class EntryNode::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const settings::Settings& settings,
       kernel::Kernel& kernel,
       cluster::Peers& peers,
       cluster::Client& client,
       telemetry::Metrics& metrics)
      : kernel_(kernel),
        peers_(peers),
        client_(client),
        self_(settings.peer.ToString()),
        manifest_limit_(settings.jobs.manifest_limit),
        hello_timer_(kernel.control()),
        fetch_timer_(kernel.control()),
        manifest_(std::hash<wire::EntryId>()(self_), metrics),
        key_check_(settings.jobs.revoke_limit, settings.jobs.manifest_limit),
        call_counters_(metrics) {}

  const EntryManifest& manifest() const { return manifest_; }

  RouteResult Route(std::string_view host, std::string_view path) const {
    if (!CanServe()) {
      return {CallOutcome::kUnavailable};
    }
    return manifest_.Route(host, path, kernel::MonotonicNow(),
                           kernel::SuspendedTime(), manifest_limit_);
  }

  bool IsReady() const { return !is_draining_ && CanServe(); }

  // Each clock is read after the whole request, as the lease bounds the time at
  // which a request that is served was sent.
  Admission Admit(const jobs::Queue& queue,
                  const std::optional<jobs::KeyDigest>& key) {
    const base::Instant now = kernel::MonotonicNow();
    const KeyDecision decision =
        key_check_.Decide(manifest_, queue, key, now, kernel::SuspendedTime());
    if (decision.verdict != KeyVerdict::kServed) {
      LogDenied(queue, decision);
      call_counters_.CountDenied(decision.reason);
      return {decision.verdict == KeyVerdict::kUnauthenticated
                  ? CallOutcome::kUnauthenticated
                  : CallOutcome::kUnavailable,
              {}};
    }
    Caller caller;
    caller.is_checked = manifest_.index().HasCustomers();
    if (decision.customer != nullptr) {
      caller.key = key;
      caller.customer = decision.customer->id;
      call_counters_.CountServed(caller.customer);
    }
    return {CallOutcome::kOk, std::move(caller)};
  }

  template <typename Body>
  void Call(std::string_view method,
            const Body& body,
            base::Duration timeout,
            std::function<void(const wire::ControlReply&)> done) {
    client_.Call(
        std::string(method), body, timeout, cluster::Resend::kYes,
        [self = shared_from_this(),
         done = std::move(done)](const wire::ControlReply& reply) {
          if (reply.IsDenied()) {
            self->call_counters_.CountDenied(LeaderReasonOf(reply.denial));
          }
          done(reply);
        });
  }

  // Sends a hello periodically. Only one is open at a time, so that hellos
  // don't queue up on a slow link; the next one then follows the reply at once.
  void SendHellos() {
    is_hello_due_ = true;
    SendDueHello();
    CheckContact();
    hello_timer_.expires_after(kHelloPeriod);
    hello_timer_.async_wait([self = shared_from_this()](auto ec) {
      if (!ec) {
        self->SendHellos();
      }
    });
  }

  void Drain() { is_draining_ = true; }
  void Close() {
    hello_timer_.cancel();
    fetch_timer_.cancel();
  }
  boost::asio::io_context& control() { return kernel_.control(); }

 private:
  static void LogDenied(const jobs::Queue& queue, const KeyDecision& decision) {
    Decision("call-denied")
        .With("reason", decision.reason)
        .With("customer", decision.customer == nullptr ? jobs::CustomerId()
                                                       : decision.customer->id)
        .With("queue", queue.id)
        .Write();
  }

  bool CanServe() const {
    return manifest_.index().version() != 0 && IsInContact() &&
           kernel::MonotonicNow() - last_leader_reply_ < kMaxLeaderSilence;
  }

  bool IsInContact() const {
    return kernel::MonotonicNow() - client_.LastContact() < kMaxContactAge;
  }

  void SendDueHello() {
    if (is_hello_open_ || !std::exchange(is_hello_due_, false)) {
      return;
    }
    is_hello_open_ = true;
    Hello hello;
    hello.name = self_;
    hello.is_adviser = !is_draining_;
    hello.manifest_version = manifest_.index().version();
    hello.unpacks_manifest = true;
    hello.fetches_manifest = true;
    const base::Duration suspended = kernel::SuspendedTime();
    const base::Instant sent_at = kernel::MonotonicNow();
    client_.Call(
        std::string(kHelloMethod), hello, kHelloTimeout, cluster::Resend::kYes,
        [self = shared_from_this(), sent_at, suspended](const auto& reply) {
          self->is_hello_open_ = false;
          self->OnHelloReply(reply, sent_at, suspended);
          self->SendDueHello();
        },
        kHelloTryTimeout);
  }

  void OnHelloReply(const wire::ControlReply& reply,
                    base::Instant sent_at,
                    base::Duration suspended) {
    wire::CodecReason why;
    const auto answer = reply.status == wire::ReplyStatus::kOk
                            ? wire::FromValue<HelloReply>(reply.body, why)
                            : std::nullopt;
    if (!answer) {
      return;
    }
    last_leader_reply_ = std::max(last_leader_reply_, sent_at);
    manifest_.OnHelloReply(*answer, sent_at, suspended);
    std::vector<wire::EntryId> names;
    std::ranges::transform(answer->members, std::back_inserter(names),
                           &consensus::Member::name);
    peers_.SetNames(names);
    manifest_.SetHosts(std::move(names));
    FetchPiece();
  }

  // Requests the next piece, now or after the pause that follows failures.
  void FetchPiece() {
    const auto request = manifest_.NextRequest(kernel::MonotonicNow());
    if (!request) {
      if (const auto at = manifest_.NextRequestAt()) {
        fetch_timer_.expires_at(kernel::ToSteady(*at));
        fetch_timer_.async_wait([self = shared_from_this()](auto ec) {
          if (!ec) {
            self->FetchPiece();
          }
        });
      }
      return;
    }
    peers_.Call(request->host, kFetchMethod, wire::EncodeCbor(request->fetch),
                request->timeout,
                [self = shared_from_this(), request = *request](
                    const std::optional<std::string>& body,
                    const peer::CallReason& why) {
                  self->OnFetchReply(request, body, why);
                });
  }

  void OnFetchReply(const ManifestFetcher::Request& request,
                    const std::optional<std::string>& body,
                    const peer::CallReason& why) {
    wire::CodecReason codec_why;
    const auto piece =
        body ? wire::DecodeCbor<ManifestPiece>(*body, codec_why) : std::nullopt;
    const base::Instant now = kernel::MonotonicNow();
    if (piece) {
      manifest_.OnPiece(request, *piece, now);
    } else {
      manifest_.OnFetchFailure(request, body ? codec_why.message : why.message,
                               now);
    }
    FetchPiece();
  }

  // Aborts pending calls when the control hosts become unreachable, so that
  // callers get an error immediately.
  void CheckContact() {
    const bool is_in_contact = IsInContact();
    if (std::exchange(was_in_contact_, is_in_contact) == is_in_contact) {
      return;
    }
    Decision("control-contact")
        .With("reached", is_in_contact)
        .With("since_contact_us",
              kernel::MonotonicNow() - client_.LastContact())
        .Write();
    if (!is_in_contact) {
      client_.Abandon();
    }
  }

  kernel::Kernel& kernel_;
  cluster::Peers& peers_;
  cluster::Client& client_;
  const wire::EntryId self_;
  const base::Duration manifest_limit_;
  boost::asio::steady_timer hello_timer_;
  boost::asio::steady_timer fetch_timer_;
  EntryManifest manifest_;
  const EntryKeyCheck key_check_;
  CallCounters call_counters_;
  base::Instant last_leader_reply_;
  bool is_hello_open_ = false;
  bool is_hello_due_ = false;  // since the last one was sent
  bool is_draining_ = false;
  bool was_in_contact_ = false;
};

EntryNode::EntryNode(const settings::Settings& settings,
                     kernel::Kernel& kernel,
                     cluster::Peers& peers,
                     cluster::PeerService& peer_service,
                     cluster::Client& client,
                     WorkerLink& workers,
                     telemetry::Metrics& metrics)
    : impl_(std::make_shared<Impl>(settings, kernel, peers, client, metrics)) {
  ServeAdvice(peer_service, kernel.control().get_executor(), workers);
}

EntryNode::~EntryNode() = default;

RouteResult EntryNode::Route(std::string_view host,
                             std::string_view path) const {
  return impl_->Route(host, path);
}

const jobs::ManifestIndex& EntryNode::manifest() const {
  return impl_->manifest().index();
}

const ManifestProofs& EntryNode::proofs() const {
  return impl_->manifest().proofs();
}

bool EntryNode::IsReady() const {
  return impl_->IsReady();
}

Admission EntryNode::Admit(const jobs::Queue& queue,
                           const std::optional<jobs::KeyDigest>& key) {
  return impl_->Admit(queue, key);
}

void EntryNode::Submit(const CallScope& scope,
                       wire::JobId id,
                       jobs::JobSpec spec,
                       CallDone done) {
  CallResult result;
  result.message = jobs::FaultOf(spec);
  if (!result.message.empty()) {
    result.outcome = CallOutcome::kInvalid;
    done(result);
    return;
  }
  impl_->Call(kSubmitMethod,
              JobSubmission{{std::move(id), scope.queue.id, std::move(spec),
                             scope.caller.customer},
                            scope.caller},
              scope.timeout, [done = std::move(done)](const auto& reply) {
                done(ResultOf(reply));
              });
}

void EntryNode::GetState(const CallScope& scope,
                         const wire::JobId& id,
                         CallDone done) {
  impl_->Call(kStateMethod, JobQuery{scope.queue.id, id, scope.caller},
              scope.timeout, ReplyWithJobStatus(std::move(done)));
}

void EntryNode::Cancel(const CallScope& scope,
                       const wire::JobId& id,
                       CallDone done) {
  impl_->Call(kCancelMethod, JobQuery{scope.queue.id, id, scope.caller},
              scope.timeout, ReplyWithJobStatus(std::move(done)));
}

void EntryNode::CountWaiting(const CallScope& scope, CallDone done) {
  impl_->Call(kCountMethod, JobQuery{scope.queue.id, {}, scope.caller},
              scope.timeout, ReplyWithCount(std::move(done)));
}

bool EntryNode::Start(kernel::KernelReason&) {
  kernel::RunOn(impl_->control().get_executor(),
                [this] { impl_->SendHellos(); });
  return true;
}

void EntryNode::Drain(std::function<void()> done) {
  boost::asio::post(impl_->control(), [impl = impl_, done = std::move(done)] {
    impl->Drain();
    done();
  });
}

void EntryNode::Stop() {
  kernel::RunOn(impl_->control().get_executor(), [this] { impl_->Close(); });
}

}  // namespace sassafras::jobcontrol
