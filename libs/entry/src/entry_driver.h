// Runs the dispatcher: turns HTTP requests, control replies and answers of
// other entries into events, and performs the effects it returns.

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

// Must be used on `strand` only, except for session() and IsReady().
class EntryDriver : public std::enable_shared_from_this<EntryDriver> {
 public:
  struct Dependencies {
    const settings::Settings& settings;
    kernel::Kernel& kernel;
    cluster::Client& client;
    telemetry::Metrics& metrics;
    boost::asio::any_io_executor strand;
  };

  // Returns null and sets `why` if the settings are invalid for the dispatcher.
  static std::shared_ptr<EntryDriver> Create(const Dependencies& dependencies,
                                             routing::RoutingReason& why);

  void Start();
  void Stop();

  // Serves a caller's request. Calls `on_final_answer` at most once.
  void Serve(CallerRequest caller,
             FinalAnswerCallback on_final_answer,
             bool is_from_other_entry);
  // Answers another entry's query for the outcome of an idempotency key that
  // this incarnation admitted.
  void ServeOutcomeQuery(const wire::AskCall& call,
                         FinalAnswerCallback on_final_answer);

  // Keeps serving requests until none is in progress, then releases the grants
  // and calls `done`.
  void Drain(std::function<void()> done);

  const SessionKeeper& session() const { return *session_; }
  // Returns true if the session is valid and the entry has finished its
  // warm-up, see `has_warmed_up_`.
  bool IsReady() const;
  // Returns the current incarnation. It is replaced when the cluster has ended
  // it.
  const wire::Incarnation& incarnation() const { return incarnation_; }

 private:
  explicit EntryDriver(const Dependencies& dependencies);
  bool CreateDispatcher(routing::RoutingReason& why);

  // Builds the renewal to send next and closes the idle connections that exceed
  // what it reports.
  wire::EntryRenewal BuildRenewal();
  // Applies the event to the dispatcher and performs the resulting effects.
  void Step(const routing::Event& event);
  // Reports the caller's disconnection to the dispatcher, which then no longer
  // starts a non-idempotent request: the caller may have received the outcome
  // of its key from another entry in the meantime.
  void WatchCaller(routing::RequestId request);
  void OnCallerDisconnected(routing::RequestId request);
  void ArmTimer();
  void SetPolicy(const document::Document& document);
  void WaitUntilIdle(std::function<void()> done);
  void ReleaseGrants(std::function<void()> done);

  void Perform(const routing::SendToUpstream& effect);
  void Perform(const routing::ProposeAdmit& effect);
  void Perform(const routing::ReadAdmission& effect);
  void Perform(const routing::ProposeClose& effect);
  void Perform(const routing::ForwardTo& effect);
  void Perform(const routing::QueryOutcome& effect);
  void Perform(const routing::Respond& effect);
  void Perform(const routing::Forget& effect);
  void Perform(const routing::DecisionLog& effect);

  // Handles the end of a try; `answer` is nullopt if it failed.
  void OnTryDone(const routing::SendToUpstream& effect,
                 std::optional<http::Answer> answer,
                 const http::TryReason& why);
  // Handles the reply to ProposeAdmit.
  void OnAdmitReply(routing::RequestId request,
                    const wire::ControlReply& reply);
  // Handles the reply to ReadAdmission.
  void OnAdmissionRead(const routing::ReadAdmission& effect,
                       const wire::ControlReply& reply);
  // Handles the reply to ProposeClose.
  void OnCloseReply(routing::RequestId request,
                    const wire::ControlReply& reply);
  // Calls another entry on behalf of a request; OnRelayReply receives the
  // answer.
  void CallEntry(const wire::EntryId& entry,
                 std::string_view method,
                 std::string body,
                 base::Instant deadline,
                 routing::RequestId request);
  void OnRelayReply(routing::RequestId request,
                    std::optional<std::string> body,
                    const peer::CallReason& why);
  // Keeps the upstream's answer from the details of an admission, if there is
  // one, until the request is forgotten.
  void KeepStoredAnswer(routing::RequestId request,
                        const nlohmann::json& details);

  // Returns a callback that runs a member function on the strand with `context`
  // and the reply of a control call.
  template <typename Member, typename Context>
  cluster::ReplyDone OnStrand(Member member, Context context);

  Dependencies dependencies_;
  EntryMetrics metrics_;
  std::unique_ptr<http::UpstreamPool> pool_;
  ConnectionTrim connection_trim_;
  std::unique_ptr<cluster::Peers> peers_;
  std::optional<routing::Dispatcher> dispatcher_;  // set by CreateDispatcher()
  std::shared_ptr<SessionKeeper> session_;
  boost::asio::steady_timer timer_;
  RequestTable requests_;
  routing::RequestId last_request_;  // the id assigned last
  wire::Incarnation incarnation_;
  // End of the session, as of the last Step().
  std::atomic<base::Instant> session_until_{};
  uint64_t renewal_answers_ = 0;  // number of the leader's answers to renewals
  // Set once the entry was able to serve every service, or once it received
  // kMaxWarmUpAnswers answers; never reset.
  std::atomic<bool> has_warmed_up_ = false;
  bool is_stopped_ = false;
};

// Returns the SHA-256 of method, target and body in lowercase hexadecimal.
std::string DigestOf(const http::Request& request);

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_ENTRY_DRIVER_H_
