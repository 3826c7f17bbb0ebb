// Dialling, heartbeats and deadlines of calls to one peer.

#include "peer/channel.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "link.h"

namespace sassafras::peer {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kTickPeriod = std::chrono::milliseconds(50);
// Of a channel without calls: a process may hold hundreds of these.
constexpr auto kIdleTickPeriod = std::chrono::milliseconds(500);

struct PendingCall {
  uint64_t number = 0;  // of this channel
  std::string path;
  std::string body;
  SteadyClock::time_point deadline;
  CallDone done;
};

CallReason MakeReason(CallError code, std::string message) {
  return {code, std::move(message)};
}

}  // namespace

// Every member but `last_number_` is used on `executor_` only.
class Channel::Impl : public std::enable_shared_from_this<Channel::Impl> {
 public:
  Impl(const boost::asio::any_io_executor& executor, ChannelOptions options)
      : executor_(boost::asio::make_strand(executor)),
        options_(std::move(options)),
        tick_timer_(executor_),
        dial_socket_(executor_) {}

  void Start() {
    boost::asio::post(executor_, [self = shared_from_this()] { self->Tick(); });
  }

  void Call(PendingCall call) {
    boost::asio::post(
        executor_, [self = shared_from_this(), it = std::move(call)]() mutable {
          self->Begin(std::move(it));
        });
  }

  void GiveUp(uint64_t number) {
    boost::asio::post(executor_, [self = shared_from_this(), number] {
      self->CancelCall(number);
    });
  }

  uint64_t NextNumber() { return ++last_number_; }

  void Close() {
    boost::asio::post(executor_, [self = shared_from_this()] {
      self->is_closed_ = true;
      self->tick_timer_.cancel();
      error_code ec;
      self->dial_socket_.close(ec);
      self->DropLink("the channel was closed");
      self->FailWaiting("the channel was closed");
    });
  }

 private:
  void Begin(PendingCall call) {
    if (is_closed_) {
      call.done(std::nullopt,
                MakeReason(CallError::kNotSent, "the channel was closed"));
      return;
    }
    const bool was_idle = IsIdle();
    if (link_) {
      Send(std::move(call));
    } else {
      waiting_.push_back(std::move(call));
      Dial();
    }
    if (was_idle) {
      last_call_began_ = SteadyClock::now();
      ArmTick();
    }
  }

  bool IsIdle() const {
    return sent_.empty() && waiting_.empty() && !is_dialling_;
  }

  void Send(PendingCall call) {
    const int32_t stream = link_->session().SubmitRequest(
        call.path, options_.secret, std::move(call.body));
    if (stream < 0) {
      call.done(std::nullopt,
                MakeReason(CallError::kNotSent, "no stream could be opened"));
      return;
    }
    sent_.emplace(stream, std::move(call));
    last_sent_ = SteadyClock::now();
    link_->Flush();
  }

  void Dial() {
    const auto now = SteadyClock::now();
    if (is_dialling_ || is_closed_ || now < next_dial_) {
      return;
    }
    error_code ec;
    const auto address = boost::asio::ip::make_address(options_.address, ec);
    if (ec) {
      FailWaiting("\"" + options_.address + "\" is not an IP number");
      return;
    }
    is_dialling_ = true;
    dial_deadline_ = now + options_.connect_limit;
    dial_socket_ = tcp::socket(executor_);
    dial_socket_.async_connect(
        tcp::endpoint(address, options_.port),
        [self = shared_from_this()](error_code connect_ec) {
          self->OnDialled(connect_ec);
        });
  }

  void OnDialled(error_code ec) {
    is_dialling_ = false;
    if (is_closed_) {
      return;
    }
    if (ec) {
      next_dial_ = SteadyClock::now() + options_.redial_pause;
      FailWaiting("connecting to " + options_.address + ":" +
                  std::to_string(options_.port) + " failed: " + ec.message());
      return;
    }
    OpenLink();
  }

  void OpenLink() {
    Link::Callbacks callbacks;
    callbacks.on_message = [this](int32_t stream, Http2Message message) {
      OnAnswer(stream, std::move(message));
    };
    callbacks.on_stream_closed = [this](int32_t stream) {
      FailStream(stream, "the peer ended the stream without an answer");
    };
    callbacks.on_closed = [self = shared_from_this()] {
      self->DropLink("the connection ended");
    };
    link_ = Link::Create(Http2Session::Side::kClient, std::move(dial_socket_),
                         options_.max_answer_bytes, std::move(callbacks));
    if (!link_) {
      FailWaiting("no HTTP/2 session could be made");
      return;
    }
    link_->Start();
    last_ping_ = SteadyClock::now();
    auto calls = std::exchange(waiting_, {});
    for (auto& call : calls) {
      Send(std::move(call));
    }
  }

  void OnAnswer(int32_t stream, Http2Message message) {
    const auto it = sent_.find(stream);
    if (it == sent_.end()) {
      return;
    }
    // Posted, because the session must not be entered again from here.
    boost::asio::post(executor_, [done = std::move(it->second.done),
                                  answer = std::move(message)]() mutable {
      if (answer.status == 200) {
        done(std::move(answer.body), {});
        return;
      }
      done(std::nullopt,
           MakeReason(CallError::kRefused,
                      answer.body.empty()
                          ? "status " + std::to_string(answer.status)
                          : answer.body));
    });
    sent_.erase(it);
  }

  void FailStream(int32_t stream, std::string message) {
    const auto it = sent_.find(stream);
    if (it == sent_.end()) {
      return;
    }
    boost::asio::post(executor_, [done = std::move(it->second.done),
                                  text = std::move(message)]() mutable {
      done(std::nullopt, MakeReason(CallError::kLost, std::move(text)));
    });
    sent_.erase(it);
  }

  void CancelCall(uint64_t number) {
    const auto waiting =
        std::ranges::find(waiting_, number, &PendingCall::number);
    if (waiting != waiting_.end()) {
      const PendingCall call = std::move(*waiting);
      waiting_.erase(waiting);
      call.done(std::nullopt,
                MakeReason(CallError::kNotSent, "the call was given up"));
      return;
    }
    const auto sent = std::ranges::find_if(
        sent_, [&](auto& it) { return it.second.number == number; });
    if (sent != sent_.end()) {
      const auto node = sent_.extract(sent);
      link_->session().ResetStream(node.key());
      link_->Flush();
      node.mapped().done(std::nullopt,
                         MakeReason(CallError::kLost, "the call was given up"));
    }
  }

  void DropLink(const std::string& message) {
    if (link_) {
      link_->Close();
      link_.reset();
    }
    auto calls = std::exchange(sent_, {});
    for (auto& [stream, call] : calls) {
      call.done(std::nullopt, MakeReason(CallError::kLost, message));
    }
  }

  void FailWaiting(const std::string& message) {
    auto calls = std::exchange(waiting_, {});
    for (auto& call : calls) {
      call.done(std::nullopt, MakeReason(CallError::kNotSent, message));
    }
  }

  void Tick() {
    if (is_closed_) {
      return;
    }
    const auto now = SteadyClock::now();
    CheckDial(now);
    CheckLink(now);
    ExpireCalls(now);
    if (!link_ && !waiting_.empty()) {
      Dial();
    }
    ArmTick();
  }

  void ArmTick() {
    tick_timer_.expires_after(IsIdle() ? kIdleTickPeriod : kTickPeriod);
    tick_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->Tick();
      }
    });
  }

  void CheckDial(SteadyClock::time_point now) {
    if (is_dialling_ && now > dial_deadline_) {
      error_code ec;
      dial_socket_.close(ec);  // OnDialled fails the waiting calls.
    }
  }

  void CheckLink(SteadyClock::time_point now) {
    if (!link_) {
      return;
    }
    const bool is_idle = IsIdle();
    const auto limit =
        is_idle ? options_.idle_silence_limit : options_.silence_limit;
    // An idle link is quiet, so its silence counts from the first call on.
    const auto heard = is_idle
                           ? link_->last_receive()
                           : std::max(link_->last_receive(), last_call_began_);
    if (now - heard > limit) {
      DropLink("the connection went silent");
      return;
    }
    const auto period = is_idle ? options_.idle_heartbeat : options_.heartbeat;
    const auto last_traffic = std::min(link_->last_receive(), last_sent_);
    if (now - std::max(last_ping_, last_traffic) >= period) {
      last_ping_ = now;
      last_sent_ = now;
      link_->session().SubmitPing();
      link_->Flush();
    }
  }

  void ExpireCalls(SteadyClock::time_point now) {
    std::vector<int32_t> expired;
    for (const auto& [stream, call] : sent_) {
      if (now >= call.deadline) {
        expired.push_back(stream);
      }
    }
    for (const int32_t stream : expired) {
      auto node = sent_.extract(stream);
      link_->session().ResetStream(stream);
      node.mapped().done(std::nullopt,
                         MakeReason(CallError::kTimeout, "no answer in time"));
    }
    if (link_ && !expired.empty()) {
      link_->Flush();
    }
    ExpireWaiting(now);
  }

  void ExpireWaiting(SteadyClock::time_point now) {
    const auto middle =
        std::stable_partition(waiting_.begin(), waiting_.end(),
                              [&](auto& it) { return now < it.deadline; });
    std::vector<PendingCall> expired(std::make_move_iterator(middle),
                                     std::make_move_iterator(waiting_.end()));
    waiting_.erase(middle, waiting_.end());
    for (auto& call : expired) {
      call.done(std::nullopt,
                MakeReason(CallError::kNotSent, "no connection in time"));
    }
  }

  boost::asio::any_io_executor executor_;
  const ChannelOptions options_;
  boost::asio::steady_timer tick_timer_;
  tcp::socket dial_socket_;
  std::shared_ptr<Link> link_;       // null while there is no connection
  std::deque<PendingCall> waiting_;  // not one byte written; empty with a link
  std::unordered_map<int32_t, PendingCall> sent_;  // by stream of `link_`
  std::atomic<uint64_t> last_number_ = 0;  // of calls; used by any thread
  bool is_dialling_ = false;
  bool is_closed_ = false;
  SteadyClock::time_point dial_deadline_;
  SteadyClock::time_point next_dial_;
  SteadyClock::time_point last_ping_;
  SteadyClock::time_point last_sent_;        // of calls and pings
  SteadyClock::time_point last_call_began_;  // when the channel became busy
};

Channel::Channel(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Channel::~Channel() {
  Close();
}

std::unique_ptr<Channel> Channel::Create(
    const boost::asio::any_io_executor& executor,
    ChannelOptions options) {
  auto impl = std::make_shared<Impl>(executor, std::move(options));
  impl->Start();
  return std::unique_ptr<Channel>(new Channel(std::move(impl)));
}

void Channel::Call(std::string_view method,
                   std::string body,
                   base::Duration limit,
                   CallDone done,
                   const std::shared_ptr<net::CallerWatch>& watch) {
  const uint64_t number = impl_->NextNumber();
  impl_->Call({.number = number,
               .path = "/" + std::string(method),
               .body = std::move(body),
               .deadline = SteadyClock::now() + limit,
               .done = std::move(done)});
  if (watch) {
    watch->OnGone([weak = std::weak_ptr(impl_), number] {
      if (const auto impl = weak.lock()) {
        impl->GiveUp(number);
      }
    });
  }
}

void Channel::Close() {
  impl_->Close();
}

}  // namespace sassafras::peer
