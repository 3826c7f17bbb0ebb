// A simulation in logical time that runs the real dispatchers and the real slot
// ledger with a simple admission log, upstreams that record what they run and
// callers that record the responses. Tests inject the failures.

#ifndef ROUTING_TEST_SIMULATION_H_
#define ROUTING_TEST_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "routing/dispatcher.h"
#include "routing/slot_ledger.h"

namespace sassafras::routing::test {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct SimulationOptions {
  size_t entries = 3;
  size_t upstreams = 4;
  size_t zones = 3;
  uint64_t seed = 1;
  Duration network_delay = milliseconds(1);
  Duration commit_delay = milliseconds(4);
  Duration service_time = milliseconds(50);
  bool is_jittered = true;  // randomizes delays and service times
  // Results of commits that are lost, per 1000.
  uint32_t lost_commits_per_mille = 0;
};

enum class UpstreamMode {
  kHealthy,
  kRefusesConnections,
  kBreaksConnections,
  kSilent,
  kReturnsErrors
};

struct Upstream {
  uint32_t slots = 8;
  uint32_t incarnation = 1;
  uint32_t running = 0;
  uint32_t max_running = 0;
  bool is_leaving = false;
  bool is_host_lost = false;  // sends no heartbeats and no answers
  UpstreamMode mode = UpstreamMode::kHealthy;
  double slowdown_factor = 1;
  uint64_t received = 0;  // requests; tests reset it
  uint64_t sequence = 0;  // of the last heartbeat
  // From the last answer to a heartbeat of this incarnation.
  wire::Stamp answered;
};

// One run of a non-idempotent request on an upstream.
struct UpstreamRun {
  uint64_t answer = 0;
  Instant at;
};

// One send of a request by a caller, and the response to it.
struct SentRequest {
  std::string key;
  std::string owner;
  bool is_idempotent = true;
  bool is_first_sending = false;
  Instant sent_at;
  Instant deadline;
  std::optional<Outcome> outcome;  // nullopt until the response
  uint64_t answer = 0;  // identifies the run that gave the answer; 0 if none
  Instant answered_at;  // meaningless until the response
  // When the last try was sent; nullopt if there was none.
  std::optional<Instant> started_at;
  std::string code;        // from the error response; empty if completed
  Duration retry_after{};  // zero if the response has none
  uint32_t tries = 0;
  uint32_t responses = 0;
  size_t entry = 0;
  // The upstream is in another zone than the entry that the caller reached.
  bool crossed_zone = false;
};

struct SendOptions {
  std::string owner = "akt";
  std::string service = "booking";
  wire::Priority priority = wire::Priority::kNormal;
  bool is_idempotent = true;
  std::string key;  // empty if the caller gives none
  Duration timeout = seconds(5);
  bool is_first_sending = false;
  // Digest of the request's content: two different digests for one key are a
  // conflict.
  std::string digest = "d";
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  Instant now() const { return now_; }
  base::Random& random() { return random_; }
  std::vector<Upstream>& upstreams() { return upstreams_; }
  std::vector<SentRequest>& sent_requests() { return sent_requests_; }
  // Runs of non-idempotent requests on upstreams, by key.
  const std::map<std::string, std::vector<UpstreamRun>>& runs() const {
    return runs_;
  }
  DispatcherCounters Counters(size_t entry) const;
  size_t EntryCount() const { return entries_.size(); }

  // Runs for long enough that every entry has a session and granted slots.
  void Settle();
  void Run(Duration time);
  void Schedule(Instant at, std::function<void()> action);
  size_t Send(size_t entry, const SendOptions& options);
  void SetPolicy(const PolicyUpdated& policy);
  void DropCaller(size_t sent_index);

  // Ends the entry process. Its callers get no response.
  void Kill(size_t entry);
  // Replaces the entry process by a new one with a new incarnation.
  void Restart(size_t entry);
  // Defers messages to the entry and its timers until Thaw.
  void Freeze(size_t entry);
  void Thaw(size_t entry);
  // Cuts the entry off from the leader, or reconnects it.
  void Isolate(size_t entry, bool is_isolated);
  void BeginDrain(size_t entry) { Step(entry, Drain()); }
  bool IsIdle(size_t entry) const {
    return entries_[entry].dispatcher->IsIdle();
  }
  void ChangeLeader();
  // Sets how many of 1000 commit results are lost.
  void SetLostCommits(uint32_t lost) { options_.lost_commits_per_mille = lost; }
  void SetQuorum(bool has_quorum) { has_quorum_ = has_quorum; }
  void RestartUpstream(size_t upstream);
  // Ends all entries and upstreams of a zone at once.
  void LoseZone(size_t zone);
  bool IsUp(size_t entry) const { return entries_[entry].is_up; }

 private:
  struct Request {
    // Indexes into `sent_requests_`. `sent_index` is set if the caller waits at
    // this entry, `origin` also if the request was forwarded here; both are
    // nullopt for an outcome query from another entry.
    std::optional<size_t> sent_index;
    std::optional<size_t> origin;
    // Returns the response to another entry; empty if a caller waits here
    // or the response was already returned.
    std::function<void(const Respond&, uint64_t answer)> relay;
    std::map<TryId, uint64_t> answers;  // 0 until the try is answered
    uint64_t stored_answer = 0;
    uint64_t relayed_answer = 0;
    std::string key;
    SendOptions options;
    Instant deadline;
  };
  struct Entry {
    bool is_up = true;
    bool is_frozen = false;
    bool is_isolated = false;
    uint64_t process = 1;  // numbers the processes of the entry
    uint32_t incarnation = 1;
    std::optional<Dispatcher> dispatcher;
    std::map<uint64_t, Request> requests;
    // For AnswerSource::kShared.
    std::map<uint64_t, uint64_t> answers_by_request;
    std::vector<std::function<void()>> deferred;  // until Thaw
    Instant tick_at = Instant::max();  // max() if no tick is scheduled
  };
  struct Admission {
    wire::AdmissionState state = wire::AdmissionState::kOpen;
    std::string digest;
    size_t entry = 0;
    wire::Incarnation incarnation;  // empty if the key was never admitted
    uint64_t answer = 0;
  };
  using Action = std::function<void()>;
  struct TimedAction {
    Instant at;
    uint64_t sequence;
    std::shared_ptr<Action> action;
    bool operator<(const TimedAction& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  Duration Jitter(Duration duration);
  wire::Incarnation IncarnationOf(size_t entry) const;
  static std::string LogKey(const wire::OwnerId& owner,
                            const wire::RequestKey& key);
  // Runs `action` on the entry after `delay`, or once it is no longer frozen.
  // Drops the action if the entry process `process` has ended.
  void DeliverToEntry(size_t entry,
                      uint64_t process,
                      Duration delay,
                      Action action);
  void Step(size_t entry, const Event& event);
  void ScheduleTick(size_t entry);
  void DeliverRequest(size_t entry,
                      Request request,
                      bool is_from_other_entry,
                      bool is_first_sending);

  void Perform(size_t entry, const SendToUpstream& effect);
  void Perform(size_t entry, const ProposeAdmit& effect);
  void Perform(size_t entry, const ReadAdmission& effect);
  void Perform(size_t entry, const ProposeClose& effect);
  void Perform(size_t entry, const ForwardTo& effect);
  void Perform(size_t entry, const QueryOutcome& effect);
  void Perform(size_t entry, const Respond& effect);
  void Perform(size_t entry, const Forget& effect);
  void Perform(size_t, const DecisionLog&) {}

  void ServeAt(size_t upstream, size_t entry, const SendToUpstream& effect);
  void ReportFailure(size_t entry,
                     const SendToUpstream& effect,
                     bool any_byte_sent,
                     UpstreamFailure failure);
  AdmitResolved Admit(size_t entry, const ProposeAdmit& effect);
  void FillFromAdmission(const Admission& admission,
                         const std::string& digest,
                         AdmitResolved& result);
  void Resolve(size_t entry,
               uint64_t process,
               RequestId request,
               const std::string& log_key,
               AdmitResolved result);
  void EndIncarnation(size_t entry, const wire::Incarnation& incarnation);
  void RenewLoop(size_t entry, uint64_t process);
  void OnAnswer(size_t entry, const wire::EntryAnswer& answer, Instant sent_at);
  void HeartbeatLoop(size_t upstream);
  void LeaderLoop();

  SimulationOptions options_;
  base::Random random_;
  Instant now_ = Instant(seconds(1000));
  uint64_t last_sequence_ = 0;
  std::priority_queue<TimedAction> actions_;
  std::vector<Entry> entries_;
  std::vector<Upstream> upstreams_;
  std::vector<SentRequest> sent_requests_;
  std::map<std::string, std::vector<UpstreamRun>> runs_;
  std::map<std::string, Admission> admission_log_;
  std::set<wire::Incarnation> ended_incarnations_;
  std::optional<SlotLedger> ledger_;
  uint64_t epoch_ = 0;
  bool has_quorum_ = true;
  uint64_t last_request_ = 0;
  uint64_t last_run_ = 0;
  PolicyUpdated policy_;
};

}  // namespace sassafras::routing::test

#endif  // ROUTING_TEST_SIMULATION_H_
