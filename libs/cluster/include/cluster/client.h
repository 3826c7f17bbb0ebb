// Calls to the control leader from any process. The client finds the leader,
// tries the next control process when one doesn't answer, and reports whether
// the call was executed, was not, or may have been.

#ifndef CLUSTER_CLIENT_H_
#define CLUSTER_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "base/time.h"
#include "cluster/peers.h"
#include "wire/commands.h"
#include "wire/control.h"

namespace sassafras::cluster {

// Receives the final reply of a call.
using ReplyDone = std::function<void(const wire::ControlReply&)>;

// Handles a call within this process. Runs on the control thread.
using LocalHandler = std::function<void(const std::string& method,
                                        const nlohmann::json& body,
                                        ReplyDone done)>;

// Whether a call may be sent again while an earlier try may have been executed.
enum class Resend { kNo, kYes };

// How long one try may take before the client goes on to the next process.
inline constexpr base::Duration kDefaultTryTimeout =
    std::chrono::milliseconds(1500);

// Sends calls to the control leader. Thread-safe except where noted. Callbacks
// run on the control thread. The status of a reply is never kNotLeader; if no
// leader is found before the timeout, it is kNotRun.
class Client {
 public:
  // `local` handles the calls that the client directs to its own process; it
  // is empty in a process that isn't a control replica. `control` and `peers`
  // must outlive the client and its calls.
  static std::unique_ptr<Client> Create(const wire::EntryId& self,
                                        boost::asio::io_context& control,
                                        Peers& peers,
                                        LocalHandler local);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Calls `method` on the leader and retries until a final reply arrives or
  // `timeout` has passed. After a try that may have been executed, a call with
  // Resend::kNo ends with kUnknown. `try_timeout` limits each try to a remote
  // process.
  void Call(std::string method,
            nlohmann::json body,
            base::Duration timeout,
            Resend resend,
            ReplyDone done,
            base::Duration try_timeout = kDefaultTryTimeout);

  // Returns the time at which another process last sent a reply that could be
  // decoded, whatever its status; the default Instant if none has. Control
  // thread only.
  base::Instant LastContact() const;
  // Ends all open calls at once: with kUnknown if they may have been executed,
  // with kNotRun otherwise. Control thread only.
  void Abandon();

  // Proposes a command to the replicated log. Every command may be resent. The
  // body of a kOk reply is a wire::CommandResult.
  void Propose(const wire::Command& command,
               base::Duration timeout,
               ReplyDone done);

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_CLIENT_H_
