// A deadline for the operations on one socket.

#ifndef HTTP_SRC_DEADLINE_H_
#define HTTP_SRC_DEADLINE_H_

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.h"

namespace sassafras::http {

// Cancels the operations on a socket when its time has passed; destruction
// disarms it. Used on the socket's strand only.
class Deadline {
 public:
  Deadline(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
           base::Duration limit)
      : timer_(socket->get_executor(), limit),
        state_(std::make_shared<State>()) {
    timer_.async_wait([socket, state = state_](boost::system::error_code ec) {
      // A handler that was queued before the destruction still runs.
      if (ec || !state->is_armed) {
        return;
      }
      state->has_passed = true;
      boost::system::error_code ignored;
      socket->cancel(ignored);
    });
  }
  ~Deadline() { state_->is_armed = false; }
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  bool has_passed() const { return state_->has_passed; }

 private:
  struct State {
    bool is_armed = true;
    bool has_passed = false;
  };

  boost::asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

}  // namespace sassafras::http

#endif  // HTTP_SRC_DEADLINE_H_
