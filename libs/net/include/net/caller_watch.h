// Tells whether anyone still waits for the answer to a call.

#ifndef NET_CALLER_WATCH_H_
#define NET_CALLER_WATCH_H_

#include <functional>
#include <mutex>
#include <vector>

namespace sassafras::net {

// Shared by the server that sees the connection and those who work on the
// call. Thread-safe.
class CallerWatch {
 public:
  // Calls `callback` once, when the caller goes, on the thread that notices
  // it; at once where it has gone.
  void OnGone(std::function<void()> callback);

  // To be called by the server: the connection or stream has ended. Only the
  // first call counts.
  void MarkGone();

 private:
  std::mutex mutex_;
  bool is_gone_ = false;
  std::vector<std::function<void()>> callbacks_;  // empty once gone
};

}  // namespace sassafras::net

#endif  // NET_CALLER_WATCH_H_
