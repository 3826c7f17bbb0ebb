// A simulated cluster of replicas for tests. Messages may be lost, duplicated,
// delayed and reordered; replicas crash, freeze and lose disks. The behaviour
// is checked against a reference log, which holds the first record applied at
// each index.

#ifndef CONSENSUS_TEST_CLUSTER_H_
#define CONSENSUS_TEST_CLUSTER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "consensus/replica.h"

namespace sassafras::consensus {

inline constexpr base::Duration kStep = std::chrono::milliseconds(1);

// Probabilities in percent; durations in steps of kStep.
struct Faults {
  uint64_t loss_percent = 0;
  uint64_t duplicate_percent = 0;
  uint64_t max_delay_steps = 2;  // of a message
  uint64_t max_sync_steps = 3;   // of a persist request
  uint64_t min_sync_steps = 0;   // at most max_sync_steps
  // Whether a request that is issued during a sync waits for the next one, as
  // on a real disk, instead of joining it.
  bool is_late_request_delayed = false;
};

// A data folder and, while the host is up, the replica that owns it.
struct Host {
  Recovered disk;  // the synced state, which survives a crash
  std::optional<Replica> replica;
  std::deque<PersistRequest> unsynced;
  size_t syncing = 0;    // the first unsynced requests, which a sync writes
  uint64_t sync_at = 0;  // step at which that sync ends
  uint64_t frozen_until = 0;         // processes no events before this step
  std::vector<std::string> applied;  // the state machine: all applied commands
};

class Cluster {
 public:
  Cluster(size_t n, uint64_t seed);

  void Run(uint64_t steps);
  // Runs until `done` holds. Returns false if it does not hold within `steps`.
  template <typename Condition>
  bool RunUntil(uint64_t steps, Condition done) {
    for (uint64_t i = 0; i < steps && !done(); ++i) {
      Run(1);
    }
    return done();
  }

  Effects Step(size_t i, const Event& event);
  void Crash(size_t i);  // may lose requests that are not synced
  void Start(size_t i);
  size_t AddHost();         // with an empty data folder
  void LoseDisk(size_t i);  // restarts empty under a new id
  void SetLinkBlocked(size_t from, size_t to, bool is_blocked);
  void Isolate(size_t i, bool is_isolated);
  void Heal();  // removes all faults and blocked links, starts all hosts

  Token ProposeCommand(size_t i, const std::string& command);
  Token StartReadBarrier(size_t i);
  // Requests one membership change, if needed, that brings the membership
  // closer to the current data folders.
  void ReconcileMembership();

  // Returns the leader; if there are several, the one with the highest term.
  std::optional<size_t> Leader() const;
  std::optional<Resolved> ResultOf(Token token) const;
  bool IsUp(size_t i) const { return hosts_[i].replica.has_value(); }
  Membership CommittedMembership() const;
  bool HasConverged() const;  // all up, voters, and equal state
  uint64_t Now() const { return now_; }
  // Returns the first invariant violation, or an empty string.
  const std::string& Violation() const { return violation_; }

  Options options;
  Faults faults;
  base::Random random;
  std::vector<Host> hosts_;
  // The reference log by index: the first record applied, and the command that
  // was acknowledged to a caller.
  std::map<uint64_t, Record> applied_log_;
  std::map<uint64_t, std::string> acknowledged_;

 private:
  struct Delivery {
    Message message;
    size_t from = 0;
  };
  struct Request {
    std::string command;  // set for proposals
    // For read barriers: the last index of applied_log_ at the request.
    uint64_t applied_at_start = 0;
    std::optional<Resolved> result;
  };

  base::Instant Time() const { return base::Instant(now_ * kStep); }
  void Deliver();
  void SendMessage(size_t from, const Message& message);
  void SyncOldest(Host& host);
  void BeginSync(Host& host);
  void SyncAll();
  void HandleEffects(size_t i, const Effects& effects);
  void Apply(Host& host, const Record& record);
  void OnResolved(const Resolved& resolved);
  void CheckLeadership(const Replica& replica);
  void RecordViolation(const std::string& what);
  std::optional<size_t> FindHost(const ReplicaId& id) const;

  uint64_t now_ = 1;
  std::multimap<uint64_t, Delivery> network_;
  std::set<std::pair<size_t, size_t>> blocked_links_;
  std::map<Token, Request> requests_;
  std::map<Term, ReplicaId> leader_by_term_;
  std::map<Term, base::Instant> elected_at_;
  std::set<std::string> not_run_commands_;
  uint64_t next_token_ = 1;
  std::string violation_;
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_TEST_CLUSTER_H_
