// The calling side of the streams between processes: one connection to one
// peer, kept alive by heartbeats, redialled when it fails or goes silent.

#ifndef PEER_CHANNEL_H_
#define PEER_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "net/caller_watch.h"

namespace sassafras::peer {

enum class CallError {
  kNone,
  kNotSent,  // certain: no byte of the call left this process
  kLost,     // the connection ended first; the peer may have acted
  kTimeout,  // the deadline passed first; the peer may have acted
  kRefused   // the peer answered with an error status
};
using CallReason = base::Reason<CallError>;

// The answer's body, or nothing and the reason.
using CallDone =
    std::function<void(std::optional<std::string>, const CallReason&)>;

struct ChannelOptions {
  std::string address;  // IP number
  uint16_t port = 0;
  std::string secret;  // of the cluster, sent with each call
  // While calls are open, a ping is sent when nothing arrived or was sent for
  // this long.
  base::Duration heartbeat = std::chrono::milliseconds(200);
  // The same without open calls. Must be well below the server's limit for
  // idle connections.
  base::Duration idle_heartbeat = std::chrono::milliseconds(1000);
  base::Duration idle_silence_limit = std::chrono::milliseconds(2500);
  // A connection on which nothing arrived for this long while calls were open
  // is dropped.
  base::Duration silence_limit = std::chrono::milliseconds(800);
  base::Duration connect_limit = std::chrono::milliseconds(800);
  base::Duration redial_pause = std::chrono::milliseconds(50);
  size_t max_answer_bytes = 64 << 20;
};

// Thread-safe. Callbacks run on `executor`, one at a time.
class Channel {
 public:
  static std::unique_ptr<Channel> Create(
      const boost::asio::any_io_executor& executor,
      ChannelOptions options);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // `done` is called exactly once, at the latest when `limit` has passed. Once
  // `watch` goes off, the call is given up: the peer hears that its stream
  // has ended, `done` gets kLost.
  void Call(std::string_view method,
            std::string body,
            base::Duration limit,
            CallDone done,
            const std::shared_ptr<net::CallerWatch>& watch = nullptr);

  // Fails the calls in progress and takes no more.
  void Close();

 private:
  class Impl;
  explicit Channel(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::peer

#endif  // PEER_CHANNEL_H_
