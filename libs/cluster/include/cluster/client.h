// Calls to the control leader from any process: finds the leader, goes on to
// the next replica when one doesn't answer, and says truthfully what is known
// of the outcome.

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

using ReplyDone = std::function<void(const wire::ControlReply&)>;

// Handles a call in this process, on the control thread.
using LocalHandler = std::function<void(const std::string& method,
                                        const nlohmann::json& body,
                                        ReplyDone done)>;

// Whether a call may be sent again while its outcome isn't known.
enum class Resend { kNo, kYes };

// How long one process may take to answer before the next is asked.
inline constexpr base::Duration kMaxTryLimit = std::chrono::milliseconds(1500);

// Thread-safe. Callbacks run on the control thread; a reply's status is never
// kNotLeader: without a leader in time it is kNotRun.
class Client {
 public:
  // `local` is empty in a process that is no control replica.
  static std::unique_ptr<Client> Create(const wire::EntryId& self,
                                        boost::asio::io_context& control,
                                        Peers& peers,
                                        LocalHandler local);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Call(std::string method,
            nlohmann::json body,
            base::Duration limit,
            Resend resend,
            ReplyDone done,
            base::Duration try_limit = kMaxTryLimit);

  // When another process answered last, with whatever. To be used on the
  // control thread.
  base::Instant LastContact() const;
  // Ends all calls that are under way with what is known of them. To be used
  // on the control thread.
  void Abandon();

  // Commits a command; every command may be resent. The reply's body is a
  // wire::CommandResult.
  void Propose(const wire::Command& command,
               base::Duration limit,
               ReplyDone done);

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_CLIENT_H_
