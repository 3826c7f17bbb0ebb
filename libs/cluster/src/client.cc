// Searches for the leader and tracks whether any try of a call may have been
// executed.

#include "cluster/client.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wire/codec.h"

namespace sassafras::cluster {
namespace {

// Delay before the second try of a call. It doubles with each further try, up
// to the maximum: while nobody leads, calls of a whole fleet must leave the
// control hosts time to elect.
constexpr auto kMinRetryDelay = std::chrono::milliseconds(20);
constexpr auto kMaxRetryDelay = std::chrono::milliseconds(320);
// How long leader hints that name an unreachable process are ignored.
constexpr auto kIgnoreHintTime = std::chrono::milliseconds(1000);
constexpr std::string_view kMethodPrefix = "control/";

// A call without a final reply. Used on the control thread.
struct PendingCall {
  std::string method;
  nlohmann::json body;
  base::Instant deadline;
  Resend resend = Resend::kNo;
  ReplyDone done;
  // The outcome of at least one try is unknown.
  bool may_have_run = false;
  // Message of the reply if the call ends without a final one.
  std::string last_message = "no control leader was found";
  base::Duration try_timeout{};
  base::Duration retry_delay = kMinRetryDelay;  // before the next try
  bool has_open_try = false;  // sent to another process, no result yet
  bool is_finished = false;   // `done` was called
};

wire::ControlReply MakeReply(wire::ReplyStatus status, std::string message) {
  wire::ControlReply reply;
  reply.status = status;
  reply.message = std::move(message);
  return reply;
}

}  // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
 public:
  Impl(wire::EntryId self,
       boost::asio::io_context& control,
       Peers& peers,
       LocalHandler local)
      : self_(std::move(self)),
        control_(control),
        peers_(peers),
        local_handler_(std::move(local)) {
    target_ = local_handler_ ? self_ : NextPeerAfter(self_);
  }

  base::Instant last_contact() const { return last_contact_; }

  void Abandon() {
    const auto calls = pending_calls_;
    for (const auto& call : calls) {
      call->may_have_run |= call->has_open_try;
      call->last_message = "the call was abandoned: no control host answers";
      Finish(call);
    }
  }

  void Start(std::shared_ptr<PendingCall> call) {
    boost::asio::post(control_,
                      [self = shared_from_this(), it = std::move(call)] {
                        self->pending_calls_.insert(it);
                        self->SendTry(it);
                      });
  }

 private:
  void SendTry(const std::shared_ptr<PendingCall>& call) {
    if (call->is_finished) {
      return;
    }
    const auto left = call->deadline - kernel::MonotonicNow();
    if (left <= base::Duration::zero()) {
      Finish(call);
      return;
    }
    if (target_ == self_ && local_handler_) {
      local_handler_(
          call->method, call->body,
          [self = shared_from_this(), call](const wire::ControlReply& it) {
            self->OnReply(call, self->self_, it);
          });
      return;
    }
    call->has_open_try = true;
    peers_.Call(
        target_, std::string(kMethodPrefix) + call->method,
        wire::EncodeCbor(call->body),
        std::min<base::Duration>(left, call->try_timeout),
        [self = shared_from_this(), call, target = target_](
            std::optional<std::string> body, const peer::CallReason& why) {
          self->OnPeerResult(call, target, std::move(body), why);
        });
  }

  void OnPeerResult(const std::shared_ptr<PendingCall>& call,
                    const wire::EntryId& target,
                    std::optional<std::string> body,
                    const peer::CallReason& why) {
    call->has_open_try = false;
    wire::CodecReason codec_why;
    auto reply = body ? wire::DecodeCbor<wire::ControlReply>(*body, codec_why)
                      : std::nullopt;
    if (reply) {
      last_contact_ = kernel::MonotonicNow();
      OnReply(call, target, *reply);
      return;
    }
    // After a reply that can't be decoded the outcome is unknown.
    const bool has_not_run = !body && (why.code == peer::CallError::kNotSent ||
                                       why.code == peer::CallError::kRefused);
    call->may_have_run = call->may_have_run || !has_not_run;
    call->last_message = body ? codec_why.message : why.message;
    OnTargetFailed(target);
    RetryOrFinish(call);
  }

  void OnReply(const std::shared_ptr<PendingCall>& call,
               const wire::EntryId& from,
               const wire::ControlReply& reply) {
    // An earlier try may still run, so the outcome is certain only without one.
    if (reply.IsOverloaded() && !call->may_have_run) {
      Finish(call, reply);
      WakeWaitingCalls();
      return;
    }
    if (reply.IsDenied()) {
      FinishDenied(call, reply);
      WakeWaitingCalls();
      return;
    }
    switch (reply.status) {
      case wire::ReplyStatus::kOk:
      case wire::ReplyStatus::kRefused:
        Finish(call, reply);
        WakeWaitingCalls();
        return;
      case wire::ReplyStatus::kNotLeader:
        FollowHint(from, reply.leader);
        break;
      case wire::ReplyStatus::kNotRun:
        call->last_message = reply.message;
        break;
      case wire::ReplyStatus::kUnknown:
        call->may_have_run = true;
        call->last_message = reply.message;
        break;
    }
    RetryOrFinish(call);
  }

  void RetryOrFinish(const std::shared_ptr<PendingCall>& call) {
    if (call->may_have_run && call->resend == Resend::kNo) {
      Finish(call);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(control_);
    timer->expires_after(std::exchange(
        call->retry_delay,
        std::min<base::Duration>(2 * call->retry_delay, kMaxRetryDelay)));
    retry_timers_.insert(timer);
    // A cancelled timer means that the leader was found.
    timer->async_wait([self = shared_from_this(), timer, call](auto /*ec*/) {
      self->retry_timers_.erase(timer);
      self->SendTry(call);
    });
  }

  // Further tries would be denied as well. An earlier one may have been
  // executed before the caller's key was removed. It can't have been if the id
  // belongs to another caller: the first that is recorded under an id keeps it.
  void FinishDenied(const std::shared_ptr<PendingCall>& call,
                    const wire::ControlReply& reply) {
    if (call->may_have_run && reply.denial != wire::Denial::kConflict) {
      call->last_message = reply.message;
      Finish(call);
    } else {
      Finish(call, reply);
    }
  }

  // The leader was found: calls that wait for their next try need wait no
  // longer.
  void WakeWaitingCalls() {
    for (const auto& timer : retry_timers_) {
      timer->cancel();
    }
  }

  void Finish(const std::shared_ptr<PendingCall>& call) {
    const auto status = call->may_have_run ? wire::ReplyStatus::kUnknown
                                           : wire::ReplyStatus::kNotRun;
    Finish(call, MakeReply(status, call->last_message));
  }

  void Finish(const std::shared_ptr<PendingCall>& call,
              const wire::ControlReply& reply) {
    if (!std::exchange(call->is_finished, true)) {
      pending_calls_.erase(call);
      call->done(reply);
    }
  }

  // Switches to the leader that the reply of `from` names. Other processes may
  // still report a leader that this process can't reach; such hints are ignored
  // for kIgnoreHintTime.
  void FollowHint(const wire::EntryId& from, const wire::EntryId& leader) {
    const bool is_unreachable = leader == unreachable_target_ &&
                                kernel::MonotonicNow() < ignore_hints_until_;
    if (leader.empty() || leader == from || is_unreachable) {
      LeaveTarget(from);
    } else {
      target_ = leader;
    }
  }

  void OnTargetFailed(const wire::EntryId& failed) {
    unreachable_target_ = failed;
    ignore_hints_until_ = kernel::MonotonicNow() + kIgnoreHintTime;
    LeaveTarget(failed);
  }

  // Goes on to the next process. Of several calls that `from` didn't serve,
  // only the first does so; the target of the others has already changed.
  void LeaveTarget(const wire::EntryId& from) {
    if (target_ == from) {
      target_ = NextPeerAfter(from);
    }
  }

  // Returns the process after `name` in the list, cyclically; the first one if
  // `name` isn't listed, and `name` itself if the list is empty.
  wire::EntryId NextPeerAfter(const wire::EntryId& name) const {
    const auto names = peers_.names();
    const auto it = std::ranges::find(names, name);
    if (names.empty()) {
      return name;
    }
    return it == names.end() || it + 1 == names.end() ? names.front()
                                                      : *(it + 1);
  }

  const wire::EntryId self_;
  boost::asio::io_context& control_;
  Peers& peers_;
  const LocalHandler local_handler_;
  // The following members are used on the control thread only.
  std::set<std::shared_ptr<PendingCall>> pending_calls_;
  std::set<std::shared_ptr<boost::asio::steady_timer>> retry_timers_;
  base::Instant last_contact_;        // when another process last replied
  wire::EntryId target_;              // process that gets the next try
  wire::EntryId unreachable_target_;  // last target of a failed try
  // Leader hints that name `unreachable_target_` are ignored until this time.
  base::Instant ignore_hints_until_;
};

Client::Client(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
Client::~Client() = default;

std::unique_ptr<Client> Client::Create(const wire::EntryId& self,
                                       boost::asio::io_context& control,
                                       Peers& peers,
                                       LocalHandler local) {
  return std::unique_ptr<Client>(new Client(
      std::make_shared<Impl>(self, control, peers, std::move(local))));
}

void Client::Call(std::string method,
                  nlohmann::json body,
                  base::Duration timeout,
                  Resend resend,
                  ReplyDone done,
                  base::Duration try_timeout) {
  auto call = std::make_shared<PendingCall>();
  call->method = std::move(method);
  call->body = std::move(body);
  call->deadline = kernel::MonotonicNow() + timeout;
  call->resend = resend;
  call->try_timeout = try_timeout;
  call->done = std::move(done);
  impl_->Start(std::move(call));
}

base::Instant Client::LastContact() const {
  return impl_->last_contact();
}

void Client::Abandon() {
  impl_->Abandon();
}

void Client::Propose(const wire::Command& command,
                     base::Duration timeout,
                     ReplyDone done) {
  const std::string bytes = wire::EncodeCommand(command);
  Call("propose",
       {{"command", nlohmann::json::binary({bytes.begin(), bytes.end()})}},
       timeout, Resend::kYes, std::move(done));
}

}  // namespace sassafras::cluster
