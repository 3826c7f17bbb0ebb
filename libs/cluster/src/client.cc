// The search for the leader and the account of what each try can have done.

#include "cluster/client.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "wire/codec.h"

namespace sassafras::cluster {
namespace {

constexpr auto kSearchPause = std::chrono::milliseconds(20);
constexpr auto kLostPause = std::chrono::milliseconds(1000);
constexpr std::string_view kMethodPrefix = "control/";

// One call on its way to an answer.
struct Pending {
  std::string method;
  nlohmann::json body;
  base::Instant deadline;
  Resend resend = Resend::kNo;
  ReplyDone done;
  // Some try ended without telling whether the leader acted.
  bool may_have_run = false;
  std::string last_message = "no control leader is known";
  base::Duration try_limit{};
  bool is_trying = false;    // a try is on its way
  bool is_finished = false;  // `done` was called
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
        local_(std::move(local)) {
    target_ = local_ ? self_ : NextAfter(self_);
  }

  base::Instant last_contact() const { return last_contact_; }

  void Abandon() {
    const auto calls = pending_;
    for (const auto& call : calls) {
      call->may_have_run |= call->is_trying;
      call->last_message = "no control host answers";
      Finish(call);
    }
  }

  void Begin(std::shared_ptr<Pending> call) {
    boost::asio::post(control_,
                      [self = shared_from_this(), it = std::move(call)] {
                        self->pending_.insert(it);
                        self->Try(it);
                      });
  }

 private:
  void Try(const std::shared_ptr<Pending>& call) {
    if (call->is_finished) {
      return;
    }
    const auto left = call->deadline - kernel::MonotonicNow();
    if (left <= base::Duration::zero()) {
      Finish(call);
      return;
    }
    if (target_ == self_ && local_) {
      local_(call->method, call->body,
             [self = shared_from_this(), call](const wire::ControlReply& it) {
               self->OnReply(call, it);
             });
      return;
    }
    call->is_trying = true;
    peers_.Call(
        target_, std::string(kMethodPrefix) + call->method,
        wire::EncodeCbor(call->body),
        std::min<base::Duration>(left, call->try_limit),
        [self = shared_from_this(), call, target = target_](
            std::optional<std::string> body, const peer::CallReason& why) {
          self->OnAnswer(call, target, std::move(body), why);
        });
  }

  void OnAnswer(const std::shared_ptr<Pending>& call,
                const wire::EntryId& target,
                std::optional<std::string> body,
                const peer::CallReason& why) {
    call->is_trying = false;
    wire::CodecReason codec_why;
    auto reply = body ? wire::DecodeCbor<wire::ControlReply>(*body, codec_why)
                      : std::nullopt;
    if (reply) {
      last_contact_ = kernel::MonotonicNow();
      OnReply(call, *reply);
      return;
    }
    // An answer that can't be read tells nothing about what was done.
    const bool is_certain = !body && (why.code == peer::CallError::kNotSent ||
                                      why.code == peer::CallError::kRefused);
    call->may_have_run = call->may_have_run || !is_certain;
    call->last_message = body ? codec_why.message : why.message;
    LeaveTarget(target);
    TryAgainOrFinish(call);
  }

  void OnReply(const std::shared_ptr<Pending>& call,
               const wire::ControlReply& reply) {
    switch (reply.status) {
      case wire::ReplyStatus::kOk:
      case wire::ReplyStatus::kRefused:
        Finish(call, reply);
        return;
      case wire::ReplyStatus::kNotLeader:
        FollowHint(reply.leader);
        break;
      case wire::ReplyStatus::kNotRun:
        call->last_message = reply.message;
        break;
      case wire::ReplyStatus::kUnknown:
        call->may_have_run = true;
        call->last_message = reply.message;
        break;
    }
    TryAgainOrFinish(call);
  }

  void TryAgainOrFinish(const std::shared_ptr<Pending>& call) {
    if (call->may_have_run && call->resend == Resend::kNo) {
      Finish(call);
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(control_);
    timer->expires_after(kSearchPause);
    timer->async_wait([self = shared_from_this(), timer, call](auto ec) {
      if (!ec) {
        self->Try(call);
      }
    });
  }

  void Finish(const std::shared_ptr<Pending>& call) {
    const auto status = call->may_have_run ? wire::ReplyStatus::kUnknown
                                           : wire::ReplyStatus::kNotRun;
    Finish(call, MakeReply(status, call->last_message));
  }

  void Finish(const std::shared_ptr<Pending>& call,
              const wire::ControlReply& reply) {
    if (!std::exchange(call->is_finished, true)) {
      pending_.erase(call);
      call->done(reply);
    }
  }

  // Others may still believe in a leader that doesn't answer here.
  void FollowHint(const wire::EntryId& leader) {
    const bool is_lost =
        leader == lost_target_ && kernel::MonotonicNow() < lost_until_;
    const bool is_useless = leader.empty() || leader == target_ || is_lost;
    target_ = is_useless ? NextAfter(target_) : leader;
  }

  // Several calls may fail at one target: only the first moves on.
  void LeaveTarget(const wire::EntryId& failed) {
    lost_target_ = failed;
    lost_until_ = kernel::MonotonicNow() + kLostPause;
    if (target_ == failed) {
      target_ = NextAfter(failed);
    }
  }

  wire::EntryId NextAfter(const wire::EntryId& name) const {
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
  const LocalHandler local_;
  // Used on the control thread.
  std::set<std::shared_ptr<Pending>> pending_;
  base::Instant last_contact_;  // another process answered
  wire::EntryId target_;        // the process asked next
  wire::EntryId lost_target_;   // the last that didn't answer
  base::Instant lost_until_;    // no hint leads back to it before
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
                  base::Duration limit,
                  Resend resend,
                  ReplyDone done,
                  base::Duration try_limit) {
  auto call = std::make_shared<Pending>();
  call->method = std::move(method);
  call->body = std::move(body);
  call->deadline = kernel::MonotonicNow() + limit;
  call->resend = resend;
  call->try_limit = try_limit;
  call->done = std::move(done);
  impl_->Begin(std::move(call));
}

base::Instant Client::LastContact() const {
  return impl_->last_contact();
}

void Client::Abandon() {
  impl_->Abandon();
}

void Client::Propose(const wire::Command& command,
                     base::Duration limit,
                     ReplyDone done) {
  const std::string bytes = wire::EncodeCommand(command);
  Call("propose",
       {{"command", nlohmann::json::binary({bytes.begin(), bytes.end()})}},
       limit, Resend::kYes, std::move(done));
}

}  // namespace sassafras::cluster
