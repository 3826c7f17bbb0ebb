// Tests the slot ledger with entries that use every granted slot and upstreams
// that count requests: no upstream may have more running requests or open
// connections than it offers, even if entries and upstreams crash, freeze,
// restart or change their capacity.

#include "routing/slot_ledger.h"

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace sassafras::routing {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr uint16_t kFirstPort = 9000;
constexpr size_t kZones = 3;

wire::ZoneId Zone(size_t n) {
  return wire::ZoneId("zone-" + std::to_string(n % kZones));
}

SlotLedgerOptions TestOptions() {
  SlotLedgerOptions options;
  options.max_request_duration = seconds(3);
  return options;
}

// One running request or open connection at an upstream. `process` numbers the
// processes of the entry.
struct UpstreamUse {
  size_t entry = 0;
  uint32_t process = 0;
  Instant until;
};

struct FakeUpstream {
  uint32_t slots = 8;
  uint32_t incarnation = 1;
  uint64_t sequence = 0;
  wire::Stamp answered;
  bool is_up = true;
  bool is_leaving = false;
  Instant next_heartbeat;
  std::vector<UpstreamUse> running;
  std::vector<UpstreamUse> connections;
  // Slot counts offered in the last 8 s. Running requests may have started
  // under an earlier offer.
  std::deque<std::pair<Instant, uint32_t>> offers;
};

// Always uses every granted slot and connection.
struct GreedyEntry {
  bool is_up = true;
  bool is_frozen = false;
  uint32_t process = 1;
  uint32_t incarnation = 1;
  uint64_t sequence = 0;
  wire::Stamp applied;
  Instant session_until = Instant::min();
  Instant next_renewal;
  std::map<uint16_t, wire::Route> routes;
  double demand = 4;
};

// A message in transit. The optional that is set gives its kind; none is set if
// the ledger refused a heartbeat.
struct Message {
  Instant at;
  std::optional<wire::UpstreamHeartbeat> heartbeat;
  std::optional<wire::EntryRenewal> renewal;
  std::optional<wire::EntryAnswer> answer;
  std::optional<wire::UpstreamAnswer> upstream_answer;
  size_t upstream = 0;
  size_t entry = 0;
  uint32_t process = 0;
  uint32_t leader = 0;
  Instant sent_at;
};

class SlotSimulation {
 public:
  SlotSimulation(size_t entries, size_t upstreams, uint64_t seed)
      : random_(seed), entries_(entries), upstreams_(upstreams) {
    ChangeLeader();
  }

  Instant now() const { return now_; }
  std::vector<FakeUpstream>& upstreams() { return upstreams_; }
  std::vector<GreedyEntry>& entries() { return entries_; }
  uint32_t Slots() const {
    return std::accumulate(
        upstreams_.begin(), upstreams_.end(), 0U,
        [](uint32_t sum, const FakeUpstream& it) { return sum + it.slots; });
  }

  void ChangeLeader() {
    RoutingReason why;
    ledger_ = SlotLedger::Create(TestOptions(), ++leader_, now_, why);
    ASSERT_TRUE(ledger_) << why.message;
  }

  void Kill(size_t n, bool is_host_lost) {
    GreedyEntry& entry = entries_[n];
    if (!is_host_lost) {
      for (FakeUpstream& it : upstreams_) {
        std::erase_if(it.connections,
                      [n](const UpstreamUse& use) { return use.entry == n; });
      }
    }
    entry.is_up = false;
    entry.is_frozen = false;
  }

  void Restart(size_t n) {
    GreedyEntry fresh;
    fresh.process = entries_[n].process + 1;
    fresh.incarnation = entries_[n].incarnation + 1;
    fresh.next_renewal = now_;
    entries_[n] = fresh;
  }

  void RestartUpstream(size_t n) {
    ++upstreams_[n].incarnation;
    upstreams_[n].running.clear();
    upstreams_[n].connections.clear();
    upstreams_[n].next_heartbeat = now_;
  }

  // Runs for `time`. Returns a description of the first exceeded limit, or an
  // empty string.
  std::string Run(Duration time) {
    const Instant until = now_ + time;
    while (now_ < until) {
      now_ += kStep;
      Deliver();
      for (size_t n = 0; n < upstreams_.size(); ++n) {
        StepUpstream(n);
      }
      for (size_t n = 0; n < entries_.size(); ++n) {
        StepEntry(n);
      }
      ledger_->Tick(now_);
      if (std::string exceeded_limit = FindExceededLimit();
          !exceeded_limit.empty()) {
        return exceeded_limit;
      }
    }
    return "";
  }

  // Number of slots that entry `n` considers granted.
  uint32_t GrantedSlots(size_t n) const {
    uint32_t sum = 0;
    for (const auto& [port, route] : entries_[n].routes) {
      sum += route.slots;
    }
    return sum;
  }

  uint32_t GrantedSlotsInZone(size_t n) const {
    uint32_t sum = 0;
    for (const auto& [port, route] : entries_[n].routes) {
      sum += route.zone == Zone(n) ? route.slots : 0;
    }
    return sum;
  }

 private:
  Duration Delay() {
    return random_.Below(20) == 0 ? milliseconds(random_.Below(1500))
                                  : milliseconds(random_.Below(30));
  }

  void Send(Message message) {
    if (random_.Below(50) != 0) {
      message.at = now_ + Delay();
      messages_.push_back(std::move(message));
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::ranges::copy_if(messages_, std::back_inserter(due),
                         [this](const Message& it) { return it.at <= now_; });
    std::erase_if(messages_,
                  [this](const Message& it) { return it.at <= now_; });
    std::ranges::sort(due, {}, &Message::at);
    std::ranges::for_each(due, [this](const Message& it) { Receive(it); });
  }

  void Receive(const Message& message) {
    RoutingReason why;
    if (message.heartbeat) {
      Message reply;
      reply.upstream = message.upstream;
      reply.upstream_answer = ledger_->Announce(now_, *message.heartbeat, why);
      Send(std::move(reply));
    } else if (message.upstream_answer) {
      upstreams_[message.upstream].answered = message.upstream_answer->stamp;
    } else if (message.renewal && message.leader == leader_) {
      auto answer = ledger_->Renew(now_, *message.renewal, why);
      if (!answer && why.code == RoutingError::kStale) {
        ReplaceIncarnation(message);
      } else if (answer) {
        Message reply = message;
        reply.renewal.reset();
        reply.answer = std::move(answer);
        Send(std::move(reply));
      }
    } else if (message.answer) {
      ApplyAnswer(message);
    }
  }

  void ReplaceIncarnation(const Message& message) {
    GreedyEntry& entry = entries_[message.entry];
    if (message.process == entry.process &&
        message.renewal->sequence == entry.sequence) {
      ++entry.incarnation;
      entry.routes.clear();
      entry.session_until = Instant::min();
    }
  }

  void ApplyAnswer(const Message& message) {
    GreedyEntry& entry = entries_[message.entry];
    if (!entry.is_up || message.process != entry.process) {
      return;
    }
    if (entry.is_frozen) {
      messages_.push_back(message);  // stays in the socket buffer while frozen
      return;
    }
    const wire::EntryAnswer& answer = *message.answer;
    if (answer.renewal_sequence != entry.sequence ||
        answer.stamp <= entry.applied) {
      return;
    }
    entry.applied = answer.stamp;
    entry.session_until = message.sent_at + milliseconds(answer.session_ms);
    if (!answer.is_partial) {
      entry.routes.clear();
    }
    for (const wire::Route& route : answer.routes) {
      entry.routes[route.port] = route;
    }
    CloseSurplus(message.entry);
  }

  void CloseSurplus(size_t n) {
    for (size_t k = 0; k < upstreams_.size(); ++k) {
      const auto it = entries_[n].routes.find(kFirstPort + k);
      const uint32_t keep =
          it == entries_[n].routes.end() ? 0 : it->second.connections;
      while (CountOwn(upstreams_[k].connections, n) > keep) {
        auto& open = upstreams_[k].connections;
        open.erase(std::ranges::find_if(
            open, [this, n](const UpstreamUse& use) { return IsOwn(use, n); }));
      }
    }
  }

  bool IsOwn(const UpstreamUse& use, size_t n) const {
    return use.entry == n && use.process == entries_[n].process;
  }

  uint32_t CountOwn(const std::vector<UpstreamUse>& uses, size_t n) const {
    return std::ranges::count_if(
        uses, [this, n](const UpstreamUse& use) { return IsOwn(use, n); });
  }

  void StepUpstream(size_t n) {
    FakeUpstream& it = upstreams_[n];
    std::erase_if(it.running,
                  [this](const UpstreamUse& use) { return use.until <= now_; });
    it.offers.emplace_back(now_, it.slots);
    while (it.offers.front().first < now_ - seconds(8)) {
      it.offers.pop_front();
    }
    if (it.is_up && now_ >= it.next_heartbeat) {
      it.next_heartbeat = now_ + milliseconds(500);
      Message message;
      message.upstream = n;
      message.heartbeat = {wire::UpstreamId("u" + std::to_string(n)),
                           wire::Incarnation(std::to_string(it.incarnation)),
                           wire::ServiceId("booking"),
                           Zone(n),
                           "127.0.0.1",
                           static_cast<uint16_t>(kFirstPort + n),
                           it.slots,
                           64,
                           it.is_leaving ? wire::UpstreamState::kLeaving
                                         : wire::UpstreamState::kReady,
                           static_cast<uint32_t>(it.running.size()),
                           static_cast<uint32_t>(it.connections.size()),
                           ++it.sequence,
                           it.answered};
      Send(std::move(message));
    }
  }

  void StepEntry(size_t n) {
    GreedyEntry& entry = entries_[n];
    if (!entry.is_up || entry.is_frozen) {
      return;
    }
    if (now_ >= entry.next_renewal) {
      entry.next_renewal = now_ + milliseconds(250);
      SendRenewal(n);
    }
    if (now_ >= entry.session_until) {
      return;
    }
    for (const auto& [port, route] : entry.routes) {
      FakeUpstream& it = upstreams_[port - kFirstPort];
      while (CountOwn(it.running, n) < route.slots) {
        it.running.push_back(
            {n, entry.process, now_ + milliseconds(20 + random_.Below(2900))});
      }
      while (CountOwn(it.connections, n) < route.connections) {
        it.connections.push_back({n, entry.process, Instant::max()});
      }
    }
  }

  void SendRenewal(size_t n) {
    GreedyEntry& entry = entries_[n];
    wire::EntryRenewal renewal;
    renewal.entry = wire::EntryId("e" + std::to_string(n));
    renewal.incarnation = wire::Incarnation(std::to_string(entry.incarnation));
    renewal.zone = Zone(n);
    renewal.sequence = ++entry.sequence;
    renewal.applied = entry.applied;
    renewal.demand = {
        {wire::ServiceId("booking"), static_cast<uint32_t>(entry.demand), 0}};
    const bool has_session = now_ < entry.session_until;
    if (!has_session) {
      entry.routes.clear();
      CloseSurplus(n);
    }
    for (size_t k = 0; k < upstreams_.size(); ++k) {
      const auto it = entry.routes.find(kFirstPort + k);
      const bool is_known = has_session && it != entry.routes.end();
      wire::HeldGrant held;
      held.address = "127.0.0.1";
      held.port = kFirstPort + k;
      held.in_use = CountOwn(upstreams_[k].running, n);
      held.slots = std::max(held.in_use, is_known ? it->second.slots : 0);
      held.connections = std::max(CountOwn(upstreams_[k].connections, n),
                                  is_known ? it->second.connections : 0);
      if (held.slots + held.connections > 0) {
        renewal.held.push_back(held);
      }
    }
    Message message;
    message.renewal = std::move(renewal);
    message.entry = n;
    message.process = entry.process;
    message.leader = leader_;
    message.sent_at = now_;
    Send(std::move(message));
  }

  std::string FindExceededLimit() const {
    for (size_t n = 0; n < upstreams_.size(); ++n) {
      const FakeUpstream& it = upstreams_[n];
      const uint32_t offered =
          std::ranges::max_element(it.offers, {}, [](const auto& offer) {
            return offer.second;
          })->second;
      if (it.running.size() > offered) {
        return "upstream " + std::to_string(n) + " runs " +
               std::to_string(it.running.size()) + " of " +
               std::to_string(offered);
      }
      if (it.connections.size() > 64) {
        return "upstream " + std::to_string(n) + " has " +
               std::to_string(it.connections.size()) + " connections";
      }
    }
    return "";
  }

  base::Random random_;
  Instant now_ = Instant(seconds(1000));
  std::vector<GreedyEntry> entries_;
  std::vector<FakeUpstream> upstreams_;
  std::optional<SlotLedger> ledger_;
  uint32_t leader_ = 0;
  std::vector<Message> messages_;
};

// --- failure injection ---

using Fault = void (*)(SlotSimulation&, size_t);

void KillEntry(SlotSimulation& simulation, size_t n) {
  simulation.Kill(n % simulation.entries().size(), false);
}
void LoseEntryHost(SlotSimulation& simulation, size_t n) {
  simulation.Kill(n % simulation.entries().size(), true);
}
void RestartEntry(SlotSimulation& simulation, size_t n) {
  const size_t entry = n % simulation.entries().size();
  simulation.Kill(entry, false);
  simulation.Restart(entry);
}
void FreezeEntry(SlotSimulation& simulation, size_t n) {
  GreedyEntry& entry = simulation.entries()[n % simulation.entries().size()];
  entry.is_frozen = entry.is_up;
}
void ThawEntry(SlotSimulation& simulation, size_t n) {
  simulation.entries()[n % simulation.entries().size()].is_frozen = false;
}
void ChangeLeader(SlotSimulation& simulation, size_t) {
  simulation.ChangeLeader();
}
void RestartUpstream(SlotSimulation& simulation, size_t n) {
  simulation.RestartUpstream(n % simulation.upstreams().size());
}
void ResizeUpstream(SlotSimulation& simulation, size_t n) {
  simulation.upstreams()[n % simulation.upstreams().size()].slots = 1 + n % 12;
}
void StopHeartbeats(SlotSimulation& simulation, size_t n) {
  FakeUpstream& it = simulation.upstreams()[n % simulation.upstreams().size()];
  it.is_up = !it.is_up;
}
void SkewDemand(SlotSimulation& simulation, size_t n) {
  simulation.entries()[n % simulation.entries().size()].demand = 1 + n % 40;
}

constexpr std::array<Fault, 10> kFaults = {
    KillEntry,    LoseEntryHost,   RestartEntry,   FreezeEntry,    ThawEntry,
    ChangeLeader, RestartUpstream, ResizeUpstream, StopHeartbeats, SkewDemand};

RC_GTEST_PROP(SlotLedgerTest,
              NeverExceedsOfferedSlotsOrConnections,
              (uint64_t seed)) {
  SlotSimulation simulation(4, 3, seed);
  RC_ASSERT(simulation.Run(seconds(6)) == "");
  const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000)));
  for (const auto& [kind, target] : faults) {
    kFaults[kind](simulation, target);
    RC_ASSERT(simulation.Run(milliseconds(40 + 37 * (target % 50))) == "");
  }
  for (size_t n = 0; n < simulation.entries().size(); ++n) {
    simulation.entries()[n].is_frozen = false;
    if (!simulation.entries()[n].is_up) {
      simulation.Restart(n);
    }
  }
  for (FakeUpstream& it : simulation.upstreams()) {
    it.is_up = true;
  }
  RC_ASSERT(simulation.Run(seconds(12)) == "");
  for (size_t n = 0; n < simulation.entries().size(); ++n) {
    RC_ASSERT(simulation.Slots() < simulation.entries().size() ||
              simulation.GrantedSlots(n) > 0);
  }
}

TEST(SlotLedgerTest, SplitsByDemandAndPrefersOwnZone) {
  SlotSimulation simulation(6, 6, 1);
  for (GreedyEntry& it : simulation.entries()) {
    it.demand = 2;
  }
  simulation.entries()[0].demand = 20;
  EXPECT_EQ(simulation.Run(seconds(12)), "");
  EXPECT_GE(simulation.GrantedSlots(0), 20);
  EXPECT_GE(simulation.GrantedSlotsInZone(0), 12);
  // Entry 3 shares its zone with entry 0.
  EXPECT_GE(simulation.GrantedSlotsInZone(3), 1);
  for (const size_t n : {1, 2, 4, 5}) {
    EXPECT_GE(simulation.GrantedSlots(n), 1) << n;
    EXPECT_EQ(simulation.GrantedSlotsInZone(n), simulation.GrantedSlots(n))
        << n;
  }
}

// --- single rules, without random failures ---

wire::UpstreamHeartbeat Heartbeat(uint32_t busy = 0,
                                  const std::string& incarnation = "i1") {
  return {wire::UpstreamId("u"),
          wire::Incarnation(incarnation),
          wire::ServiceId("booking"),
          Zone(0),
          "127.0.0.1",
          kFirstPort,
          8,
          64,
          wire::UpstreamState::kReady,
          busy};
}

wire::UpstreamHeartbeat Heartbeat(uint32_t busy, wire::Stamp answered) {
  wire::UpstreamHeartbeat heartbeat = Heartbeat(busy);
  heartbeat.answered = answered;
  return heartbeat;
}

class SlotLedgerRuleTest : public testing::Test {
 protected:
  void SetUp() override {
    ledger_ = SlotLedger::Create(TestOptions(), 1, now_, why_);
    ASSERT_TRUE(ledger_);
    EndLearningPeriod();
  }

  // After the learning period of a new ledger, a heartbeat that reports no use
  // frees all slots.
  void EndLearningPeriod() {
    now_ += milliseconds(2300);
    Announce(Heartbeat());
    Announce(Heartbeat(0, last_stamp_));
  }

  void Announce(const wire::UpstreamHeartbeat& heartbeat) {
    const auto answer = ledger_->Announce(now_, heartbeat, why_);
    ASSERT_TRUE(answer) << why_.message;
    last_stamp_ = answer->stamp;
  }

  // Sends a renewal that reports the slots of the last answer as held. Returns
  // the slots that the answer grants in total; 0 if it lists no upstream or the
  // renewal is refused.
  uint32_t Renew(const std::string& entry, const std::string& incarnation) {
    wire::EntryRenewal renewal;
    renewal.entry = wire::EntryId(entry);
    renewal.incarnation = wire::Incarnation(incarnation);
    renewal.zone = Zone(0);
    renewal.sequence = ++sequence_;
    if (held_[entry] > 0) {
      renewal.held = {{wire::UpstreamId("u"), wire::Incarnation("i1"),
                       "127.0.0.1", kFirstPort, held_[entry], 2 * held_[entry],
                       0}};
    }
    const auto answer = ledger_->Renew(now_, renewal, why_);
    if (!answer) {
      return 0;
    }
    for (const wire::Route& route : answer->routes) {
      held_[entry] = route.slots;
    }
    return answer->routes.empty() ? 0 : held_[entry];
  }

  Instant now_ = Instant(seconds(1000));
  RoutingReason why_;
  std::optional<SlotLedger> ledger_;
  uint64_t sequence_ = 0;
  wire::Stamp last_stamp_;
  std::map<std::string, uint32_t> held_;
};

TEST_F(SlotLedgerRuleTest, RevokesSlotsBeforeGrantingThemAgain) {
  EXPECT_EQ(Renew("a", "1"), 8);
  EXPECT_EQ(Renew("b", "1"), 0);  // entry a may still use 8 slots
  EXPECT_EQ(Renew("a", "1"), 4);
  // Entry a has not confirmed the smaller grant yet.
  EXPECT_EQ(Renew("b", "1"), 0);
  EXPECT_EQ(Renew("a", "1"), 4);
  EXPECT_EQ(Renew("b", "1"), 4);
}

TEST_F(SlotLedgerRuleTest, DeadEntrysSlotsAreHeldWhileItsRequestsMayRun) {
  EXPECT_EQ(Renew("a", "1"), 8);
  now_ += milliseconds(2300);
  ASSERT_EQ(ledger_->Tick(now_).size(), 1U);
  // This heartbeat may have been sent before entry a ended.
  Announce(Heartbeat(0, last_stamp_));
  EXPECT_EQ(Renew("b", "1"), 0);
  Announce(Heartbeat(5, last_stamp_));
  EXPECT_EQ(Renew("b", "1"), 3);  // five may still run
  now_ += seconds(1);
  Announce(Heartbeat(0, last_stamp_));
  EXPECT_EQ(Renew("b", "1"), 8);
}

TEST_F(SlotLedgerRuleTest, DeadEntrysSlotsReturnAfterMaxRequestDuration) {
  EXPECT_EQ(Renew("a", "1"), 8);
  now_ += milliseconds(2300);
  ledger_->Tick(now_);
  for (int n = 0; n < 3; ++n) {
    Announce(Heartbeat(8, last_stamp_));
    EXPECT_EQ(Renew("b", "1"), 0);
    now_ += seconds(1);
  }
  Announce(Heartbeat(8, last_stamp_));
  EXPECT_EQ(Renew("b", "1"), 8);
}

// The entry may have sent requests to the restarted upstream before the leader
// received its first heartbeat.
TEST_F(SlotLedgerRuleTest, UpstreamRestartAloneFreesNoSlots) {
  EXPECT_EQ(Renew("a", "1"), 8);
  now_ += milliseconds(2300);
  ledger_->Tick(now_);
  Announce(Heartbeat(0, "i2"));
  EXPECT_EQ(Renew("b", "1"), 0);
  wire::UpstreamHeartbeat idle = Heartbeat(0, "i2");
  idle.answered = last_stamp_;
  Announce(idle);
  EXPECT_EQ(Renew("b", "1"), 8);
}

TEST_F(SlotLedgerRuleTest, NewLeaderGrantsNoNewSlotsForOneSession) {
  EXPECT_EQ(Renew("a", "1"), 8);
  ledger_ = SlotLedger::Create(TestOptions(), 2, now_, why_);
  ledger_->Announce(now_, Heartbeat(), why_);
  EXPECT_EQ(Renew("b", "1"), 0);
  EXPECT_EQ(Renew("a", "1"), 8);  // keeps its earlier grant
}

TEST_F(SlotLedgerRuleTest, LeavingAndExpiredUpstreamsLoseTheirGrants) {
  EXPECT_EQ(Renew("a", "1"), 8);
  wire::UpstreamHeartbeat leaving = Heartbeat();
  leaving.state = wire::UpstreamState::kLeaving;
  Announce(leaving);
  EXPECT_EQ(Renew("a", "1"), 0);
  // A heartbeat without a sequence number may be older than the leaving one.
  EXPECT_FALSE(ledger_->Announce(now_, Heartbeat(), why_));
  leaving.state = wire::UpstreamState::kReady;
  leaving.sequence = 9;
  Announce(leaving);
  EXPECT_EQ(Renew("a", "1"), 8);
  now_ += milliseconds(2050);
  EXPECT_EQ(Renew("a", "1"), 0);
}

TEST_F(SlotLedgerRuleTest, RefusesReplacedIncarnations) {
  EXPECT_EQ(Renew("a", "1"), 8);
  held_["a"] = 0;
  // The slots of the replaced incarnation are still held.
  EXPECT_EQ(Renew("a", "2"), 0);
  EXPECT_EQ(Renew("a", "1"), 0);
  EXPECT_EQ(why_.code, RoutingError::kStale);
  EXPECT_TRUE(ledger_->Announce(now_, Heartbeat(0, "i2"), why_));
  EXPECT_FALSE(ledger_->Announce(now_, Heartbeat(0, "i1"), why_));
  EXPECT_EQ(why_.code, RoutingError::kStale);
}

}  // namespace
}  // namespace sassafras::routing
