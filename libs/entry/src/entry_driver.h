// Drives the dispatcher core: turns HTTP requests, control replies and peer
// answers into events, and carries out its effects.

#ifndef ENTRY_SRC_ENTRY_DRIVER_H_
#define ENTRY_SRC_ENTRY_DRIVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "connection_trim.h"
#include "entry/entry_service.h"
#include "entry_metrics.h"
#include "http/upstream_pool.h"
#include "kernel/kernel.h"
#include "request_table.h"
#include "routing/dispatcher.h"
#include "session_keeper.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"
#include "wire/relay.h"

namespace sassafras::entry {

// Used on `strand` only, except for session() and IsReady().
class EntryDriver : public std::enable_shared_from_this<EntryDriver> {
 public:
  struct Parts {
    const settings::Settings& settings;
    kernel::Kernel& kernel;
    cluster::Client& client;
    telemetry::Metrics& metrics;
    boost::asio::any_io_executor strand;
  };

  // Null where the settings don't suit the dispatcher; `why` says how.
  static std::shared_ptr<EntryDriver> Create(const Parts& parts,
                                             routing::RoutingReason& why);

  void Start();
  void Stop();

  void Serve(CallerRequest caller, Finish finish, bool is_from_other_entry);
  void Ask(const wire::AskCall& call, Finish finish);

  // Calls `done` once no request is known and the grants are given back.
  void Drain(std::function<void()> done);

  const SessionKeeper& session() const { return *session_; }
  bool IsReady() const;
  const wire::Incarnation& incarnation() const { return incarnation_; }

 private:
  explicit EntryDriver(const Parts& parts);
  bool Open(routing::RoutingReason& why);

  wire::EntryRenewal BuildRenewal();
  void Step(const routing::Event& event);
  // What must not run twice isn't begun any more once its caller has gone: the
  // caller may have heard of its key elsewhere since.
  void WatchCaller(routing::RequestId request);
  void OnCallerGone(routing::RequestId request);
  void ArmTimer();
  void SetPolicy(const document::Document& document);
  void WaitUntilIdle(std::function<void()> done);
  void GiveBack(std::function<void()> done);

  void CarryOut(const routing::SendToUpstream& effect);
  void CarryOut(const routing::ProposeAdmit& effect);
  void CarryOut(const routing::ReadAdmission& effect);
  void CarryOut(const routing::ProposeClose& effect);
  void CarryOut(const routing::ForwardTo& effect);
  void CarryOut(const routing::QueryOutcome& effect);
  void CarryOut(const routing::Respond& effect);
  void CarryOut(const routing::Forget& effect);
  void CarryOut(const routing::DecisionLog& effect);

  void OnTried(const routing::SendToUpstream& effect,
               std::optional<http::Answer> answer,
               const http::TryReason& why);
  void OnAdmitReply(routing::RequestId request,
                    const wire::ControlReply& reply);
  void OnConsulted(const routing::ReadAdmission& effect,
                   const wire::ControlReply& reply);
  void OnCloseReply(routing::RequestId request,
                    const wire::ControlReply& reply);
  // Calls another entry about a request; the answer goes to OnRelayed.
  void CallEntry(const wire::EntryId& entry,
                 std::string_view method,
                 std::string body,
                 base::Instant deadline,
                 routing::RequestId request);
  void OnRelayed(routing::RequestId request,
                 std::optional<std::string> body,
                 const peer::CallReason& why);
  void KeepStored(routing::RequestId request, const nlohmann::json& answer);

  // Runs a member function on the strand with the reply of a control call.
  template <typename Member, typename Context>
  cluster::ReplyDone OnStrand(Member member, Context context);

  Parts parts_;
  EntryMetrics metrics_;
  std::unique_ptr<http::UpstreamPool> pool_;
  ConnectionTrim trim_;
  std::unique_ptr<cluster::Peers> peers_;
  std::optional<routing::Dispatcher> dispatcher_;  // set by Open()
  std::shared_ptr<SessionKeeper> session_;
  boost::asio::steady_timer timer_;
  RequestTable requests_;
  routing::RequestId last_request_;
  wire::Incarnation incarnation_;
  std::atomic<base::Instant> session_until_{};  // as of the last step
  uint64_t answers_ = 0;                        // of the leader to renewals
  // This process could serve every service at some time since it started.
  std::atomic<bool> is_informed_ = false;
  bool is_stopped_ = false;
};

// SHA-256 of method, target and body, in hexadecimal digits.
std::string DigestOf(const http::Request& request);

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_ENTRY_DRIVER_H_
