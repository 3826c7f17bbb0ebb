// A small model in logical time around the real dispatchers and the real slot
// ledger: a naive admission log, upstreams that count what they run, callers
// that remember what they were told. Failures are brought about by the tests.

#ifndef ROUTING_TEST_WORLD_H_
#define ROUTING_TEST_WORLD_H_

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

struct WorldOptions {
  size_t entries = 3;
  size_t upstreams = 4;
  size_t zones = 3;
  uint64_t seed = 1;
  Duration hop = milliseconds(1);
  Duration commit = milliseconds(4);
  Duration service_time = milliseconds(50);
  bool is_jittered = true;    // delays and service times vary
  uint32_t lost_commits = 0;  // of 1000 results of commits
};

enum class UpstreamMode { kHealthy, kRefuses, kBreaksOff, kSilent, kFails };

struct Upstream {
  uint32_t slots = 8;
  uint32_t run = 1;
  uint32_t running = 0;
  uint32_t most_running = 0;
  bool is_leaving = false;
  bool is_gone = false;  // its host is lost: no heartbeat, no answer
  UpstreamMode mode = UpstreamMode::kHealthy;
  double slowness = 1;
  uint64_t received = 0;  // since the mode was set
  uint64_t sequence = 0;
  wire::Stamp answered;
};

// One run of a request that must not run twice.
struct UpstreamRun {
  uint64_t answer = 0;
  Instant at;
};

// One sending of a request and what its caller heard.
struct Sending {
  std::string key;
  std::string owner;
  bool is_idempotent = true;
  bool is_first = false;
  Instant sent_at;
  Instant deadline;
  std::optional<Outcome> outcome;
  uint64_t answer = 0;  // the run of the upstream that made the answer
  Instant answered_at;
  std::optional<Instant> started_at;
  std::string code;
  Duration retry_after{};
  uint32_t tries = 0;
  uint32_t times_told = 0;
  size_t entry = 0;
  bool crossed_zone = false;  // from its entry to the upstream
};

struct SendOptions {
  std::string owner = "akt";
  std::string service = "booking";
  wire::Priority priority = wire::Priority::kNormal;
  bool is_idempotent = true;
  std::string key;
  Duration timeout = seconds(5);
  bool is_first_sending = false;
  std::string digest = "d";
};

class World {
 public:
  explicit World(const WorldOptions& options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Instant now() const { return now_; }
  base::Random& random() { return random_; }
  std::vector<Upstream>& upstreams() { return upstreams_; }
  std::vector<Sending>& sendings() { return sendings_; }
  // Runs of each key at upstreams.
  const std::map<std::string, std::vector<UpstreamRun>>& runs() const {
    return runs_;
  }
  DispatcherCounters Counters(size_t entry) const;
  size_t entries() const { return entries_.size(); }

  // Runs until the session of every entry is up and slots are granted.
  void Settle();
  void Run(Duration time);
  void At(Instant at, std::function<void()> action);
  size_t Send(size_t entry, const SendOptions& options);
  void SetPolicy(const PolicyUpdated& policy);
  void DropCaller(size_t sending);

  void Kill(size_t entry);
  void Restart(size_t entry);
  void Freeze(size_t entry);
  void Thaw(size_t entry);
  void Isolate(size_t entry, bool is_isolated);  // from the leader
  void BeginDrain(size_t entry) { Step(entry, Drain()); }
  bool IsIdle(size_t entry) const {
    return entries_[entry].dispatcher->IsIdle();
  }
  void ChangeLeader();
  // Of 1000 results of commits.
  void SetLostCommits(uint32_t lost) { options_.lost_commits = lost; }
  void SetQuorum(bool has_quorum) { has_quorum_ = has_quorum; }
  void RestartUpstream(size_t upstream);
  // Ends all entries and upstreams of a zone at once.
  void LoseZone(size_t zone);
  bool IsUp(size_t entry) const { return entries_[entry].is_up; }

 private:
  struct Request {
    std::optional<size_t> sending;  // of a caller of this entry
    std::optional<size_t> origin;   // of a caller of any entry
    std::function<void(const Respond&, uint64_t answer)> relay;
    std::map<TryId, uint64_t> answers;
    uint64_t stored = 0;
    uint64_t relayed = 0;
    std::string key;
    SendOptions options;
    Instant deadline;
  };
  struct Entry {
    bool is_up = true;
    bool is_frozen = false;
    bool is_isolated = false;
    uint64_t process = 1;
    uint32_t incarnation = 1;
    std::optional<Dispatcher> dispatcher;
    std::map<uint64_t, Request> requests;
    std::map<uint64_t, uint64_t> told;  // answers by request, for kShared
    std::vector<std::function<void()>> deferred;
    Instant tick_at = Instant::max();
  };
  struct Admission {
    wire::AdmissionState state = wire::AdmissionState::kOpen;
    std::string digest;
    size_t entry = 0;
    wire::Incarnation incarnation;
    uint64_t answer = 0;
  };
  using Action = std::function<void()>;
  struct Timed {
    Instant at;
    uint64_t order;
    std::shared_ptr<Action> action;
    bool operator<(const Timed& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  Duration Vary(Duration duration);
  wire::Incarnation IncarnationOf(size_t entry) const;
  static std::string LogKey(const wire::OwnerId& owner,
                            const wire::RequestKey& key);
  // Something reaches this run of the entry; waits while it is frozen.
  void Reach(size_t entry, uint64_t process, Duration delay, Action action);
  void Step(size_t entry, const Event& event);
  void ScheduleTick(size_t entry);
  void Arrive(size_t entry,
              Request request,
              bool is_from_other_entry,
              bool is_first_sending);

  void Do(size_t entry, const SendToUpstream& effect);
  void Do(size_t entry, const ProposeAdmit& effect);
  void Do(size_t entry, const ReadAdmission& effect);
  void Do(size_t entry, const ProposeClose& effect);
  void Do(size_t entry, const ForwardTo& effect);
  void Do(size_t entry, const QueryOutcome& effect);
  void Do(size_t entry, const Respond& effect);
  void Do(size_t entry, const Forget& effect);
  void Do(size_t, const DecisionLog&) {}

  void ServeAt(size_t upstream, size_t entry, const SendToUpstream& effect);
  void Fail(size_t entry,
            const SendToUpstream& effect,
            bool any_byte_sent,
            UpstreamFailure failure);
  AdmitResolved Admit(size_t entry, const ProposeAdmit& effect);
  void FillFrom(const Admission& admission,
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

  WorldOptions options_;
  base::Random random_;
  Instant now_ = Instant(seconds(1000));
  uint64_t order_ = 0;
  std::priority_queue<Timed> actions_;
  std::vector<Entry> entries_;
  std::vector<Upstream> upstreams_;
  std::vector<Sending> sendings_;
  std::map<std::string, std::vector<UpstreamRun>> runs_;
  std::map<std::string, Admission> log_;
  std::set<wire::Incarnation> ended_;
  std::optional<SlotLedger> ledger_;
  uint64_t epoch_ = 0;
  bool has_quorum_ = true;
  uint64_t last_request_ = 0;
  uint64_t last_run_ = 0;
  PolicyUpdated policy_;
};

}  // namespace sassafras::routing::test

#endif  // ROUTING_TEST_WORLD_H_
