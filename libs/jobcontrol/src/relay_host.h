// The relay of a control host: carries out the leader's calls to workers and
// returns the workers' replies. It decides nothing; a call that it carries out
// late is one that the leader counts as sent until the call's lease has passed.

#ifndef JOBCONTROL_SRC_RELAY_HOST_H_
#define JOBCONTROL_SRC_RELAY_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jobcontrol/worker_link.h"
#include "peer/server.h"
#include "relay_messages.h"

namespace sassafras::jobcontrol {

// Used on the control thread. Serves one leader at a time: that of the highest
// term that has called.
class RelayHost : public std::enable_shared_from_this<RelayHost> {
 public:
  // Returns the highest term that this host has seen.
  using TermSource = std::function<uint64_t()>;

  // `control` and `workers` must outlive the relay and its open calls.
  static std::shared_ptr<RelayHost> Create(boost::asio::io_context& control,
                                           WorkerLink& workers,
                                           TermSource current_term);

  // Handles an encoded RelayRequest. A probe is answered at once, any other as
  // soon as a worker has replied to any call or the next request has arrived,
  // and after kMaxReplyDelay in any case.
  void Handle(const std::string& body, peer::Respond respond);
  void Close();

 private:
  RelayHost(boost::asio::io_context& control,
            WorkerLink& workers,
            TermSource current_term);

  void BeginTerm(uint64_t term);
  void CarryOut(const RelayRequest& request);
  uint64_t TokenOf(uint64_t fencing_token) const;
  void OnReplyAdded();
  void WaitForReplies(base::Duration limit);
  void AnswerOpenRequest();

  WorkerLink& workers_;
  const TermSource current_term_;
  boost::asio::steady_timer timer_;
  uint64_t term_ = 0;   // of the leader that is served; 0 before the first
  RelayReply replies_;  // not yet returned to the leader
  std::function<void(int, std::string)> open_request_;  // empty if none
  bool is_collecting_ = false;  // the open request is about to be answered
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_SRC_RELAY_HOST_H_
