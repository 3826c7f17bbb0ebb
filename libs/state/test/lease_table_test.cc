// Tests the lease table: single cases, a simulated holder across process pauses
// and leader changes, and a comparison with a naive table.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "state/lease_table.h"

namespace sassafras::state {
namespace {

using base::Duration;
using base::Instant;
using Table = LeaseTable<wire::WorkerId>;

constexpr Duration kLease{1000};
constexpr Duration kDrift{50};

Instant At(int64_t us) {
  return Instant(Duration(us));
}

Table::Holder Holder(const std::string& name, const std::string& run) {
  return {wire::WorkerId(name), wire::Incarnation(run)};
}

Table LeadingTable(int64_t now) {
  Table table({kLease, kDrift});
  const std::vector<Table::Holder> holders = {Holder("w", "r1")};
  table.StartTerm(At(now), holders);
  return table;
}

TEST(LeaseTableTest, ExpiresAfterLeaseAndDriftAllowanceSinceLastRenewal) {
  Table table = LeadingTable(0);
  EXPECT_TRUE(table.Renew(Holder("w", "r1"), At(400), At(450), At(500)));
  EXPECT_EQ(table.NextExpiry(), At(1550));
  EXPECT_TRUE(table.TakeExpired(At(1549)).empty());
  EXPECT_EQ(table.TakeExpired(At(1550)).size(), 1u);
}

TEST(LeaseTableTest, NewLeaderGrantsAFullLease) {
  Table table = LeadingTable(5000);
  EXPECT_TRUE(table.TakeExpired(At(6049)).empty());
  EXPECT_EQ(table.TakeExpired(At(6050)).size(), 1u);
}

TEST(LeaseTableTest, RenewalIsRefusedIfTheBarrierBeganBeforeItArrived) {
  Table table = LeadingTable(0);
  EXPECT_FALSE(table.Renew(Holder("w", "r1"), At(400), At(399), At(500)));
  EXPECT_TRUE(table.Renew(Holder("w", "r1"), At(400), At(400), At(500)));
}

TEST(LeaseTableTest, PausedLeaderDoesNotRenewAnExpiredLease) {
  Table table = LeadingTable(0);
  EXPECT_FALSE(table.Renew(Holder("w", "r1"), At(500), At(500), At(1050)));
  EXPECT_EQ(table.TakeExpired(At(1050)).size(), 1u);
}

TEST(LeaseTableTest, LeaseWhoseEndIsBeingCommittedIsNotRenewed) {
  Table table = LeadingTable(0);
  EXPECT_EQ(table.TakeExpired(At(1050)).size(), 1u);
  EXPECT_FALSE(table.Renew(Holder("w", "r1"), At(1), At(2), At(1000)));
  EXPECT_EQ(table.TakeExpired(At(1051)).size(), 1u);
  table.Forget(Holder("w", "r1"));
  EXPECT_TRUE(table.TakeExpired(At(9000)).empty());
  EXPECT_FALSE(table.Renew(Holder("w", "r1"), At(1), At(2), At(1000)));
  table.Begin(Holder("w", "r2"), At(9000));
  EXPECT_TRUE(table.Renew(Holder("w", "r2"), At(9001), At(9002), At(9003)));
}

TEST(LeaseTableTest, RenewalIsRefusedForOtherRunsAndByFormerLeaders) {
  Table table = LeadingTable(0);
  EXPECT_FALSE(table.Renew(Holder("w", "r0"), At(1), At(2), At(3)));
  EXPECT_FALSE(table.Renew(Holder("v", "r1"), At(1), At(2), At(3)));
  table.EndTerm();
  EXPECT_FALSE(table.Renew(Holder("w", "r1"), At(1), At(2), At(3)));
  table.Begin(Holder("w", "r1"), At(4));
  EXPECT_TRUE(table.TakeExpired(At(9000)).empty());
}

// Simulates one holder, the current leader and a deposed leader on one clock. A
// read barrier of the deposed leader is confirmed only if it started before the
// leader was deposed.
class LeaseSimulation {
 public:
  LeaseSimulation() : leader_({kLease, kDrift}) {
    leader_.StartTerm(now(), Holders());
  }

  void Step() {
    now_us_ += Pick(0, 100);
    switch (Pick(0, 12)) {
      case 0:
        now_us_ += Pick(0, 1500);  // process pause
        break;
      case 1:
        ChangeLeader();
        break;
      case 2:
      case 3:
      case 4:
        SendRenewal();
        break;
      case 5:
        Receive();
        break;
      case 6:
      case 7:
        ReceiveAtDeposed();
        break;
      default:
        ReplyToOne();
    }
  }

  // Returns true if the lease has expired at the leader but not at the holder.
  // If it has expired at both, starts a new lease and returns false.
  bool ExpiresAtLeaderFirst() {
    if (leader_.TakeExpired(now()).empty()) {
      return false;
    }
    if (now_us_ < holder_expiry_us_) {
      return true;
    }
    renewals_.clear();
    deposed_leader_.reset();
    leader_.Forget(Holder("w", "r1"));
    leader_.Begin(Holder("w", "r1"), now());
    holder_expiry_us_ = now_us_ + kLease.count();
    return false;
  }

 private:
  struct Renewal {
    int64_t sent_us = 0;
    int64_t received_us = -1;
    bool is_at_deposed = false;
  };

  // Returns a number in [min, max), uniform for every size of the test case.
  static int64_t Pick(int64_t min, int64_t max) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
  }

  static std::vector<Table::Holder> Holders() { return {Holder("w", "r1")}; }
  Instant now() const { return At(now_us_); }

  void ChangeLeader() {
    deposed_leader_ = std::exchange(leader_, Table({kLease, kDrift}));
    deposed_us_ = now_us_;
    std::erase_if(renewals_,
                  [](const Renewal& it) { return it.is_at_deposed; });
    std::ranges::for_each(
        renewals_, [](Renewal& it) { it.is_at_deposed = it.received_us >= 0; });
    leader_.StartTerm(now(), Holders());
  }

  void SendRenewal() {
    if (now_us_ < holder_expiry_us_) {
      renewals_.push_back({now_us_});
    }
  }

  Renewal* FindInFlight() {
    const auto it = std::ranges::find(renewals_, -1, &Renewal::received_us);
    return it != renewals_.end() ? &*it : nullptr;
  }
  void Receive() {
    if (Renewal* it = FindInFlight()) {
      it->received_us = now_us_;
    }
  }
  void ReceiveAtDeposed() {
    if (Renewal* it = deposed_leader_ ? FindInFlight() : nullptr) {
      it->received_us = now_us_;
      it->is_at_deposed = true;
    }
  }

  void ReplyToOne() {
    const auto it = std::ranges::find_if(renewals_, [](const Renewal& renewal) {
      return renewal.received_us >= 0;
    });
    if (it == renewals_.end()) {
      return;
    }
    const Renewal renewal = *it;
    renewals_.erase(it);
    Table& table = renewal.is_at_deposed ? *deposed_leader_ : leader_;
    const int64_t latest_us = renewal.is_at_deposed ? deposed_us_ : now_us_;
    const int64_t barrier_began_us =
        Pick(std::max<int64_t>(0, latest_us - 400), latest_us + 1);
    if (table.Renew(Holder("w", "r1"), At(renewal.received_us),
                    At(barrier_began_us), now()) &&
        now_us_ < holder_expiry_us_) {
      const int64_t drift = Pick(0, kDrift.count());
      holder_expiry_us_ =
          std::max(holder_expiry_us_, renewal.sent_us + kLease.count() + drift);
    }
  }

  int64_t now_us_ = 0;
  int64_t deposed_us_ = 0;
  int64_t holder_expiry_us_ = kLease.count();
  Table leader_;
  std::optional<Table> deposed_leader_;
  std::vector<Renewal> renewals_;
};

RC_GTEST_PROP(LeaseTableProperty, LeaseNeverExpiresAtLeaderBeforeHolder, ()) {
  constexpr int kSteps = 1000;
  LeaseSimulation simulation;
  for (int n = 0; n < kSteps; ++n) {
    simulation.Step();
    RC_ASSERT(!simulation.ExpiresAtLeaderFirst());
  }
}

// The naive table keeps the times of all renewals and searches for the last
// one.
RC_GTEST_PROP(LeaseTableProperty, MatchesNaiveTable, ()) {
  Table table = LeadingTable(0);
  table.Begin(Holder("v", "r1"), At(0));
  std::vector<std::pair<std::string, int64_t>> renewals = {{"w", 0}, {"v", 0}};
  std::map<std::string, bool> is_ending;
  int64_t now_us = 0;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    now_us += *rc::gen::inRange(0, 700);
    const auto name = *rc::gen::element<std::string>("v", "w");
    const auto last_renewal = [&](const std::string& holder) {
      int64_t last = 0;
      for (const auto& [id, at] : renewals) {
        last = id == holder ? at : last;
      }
      return last;
    };
    const auto is_expired = [&](const std::string& holder) {
      return now_us >= last_renewal(holder) + (kLease + kDrift).count();
    };
    if (*rc::gen::arbitrary<bool>()) {
      const bool expected = !is_ending[name] && !is_expired(name);
      RC_ASSERT(table.Renew(Holder(name, "r1"), At(now_us), At(now_us),
                            At(now_us)) == expected);
      if (expected) {
        renewals.emplace_back(name, now_us);
      }
      continue;
    }
    std::vector<Table::Holder> expected;
    for (const std::string holder : {"v", "w"}) {
      is_ending[holder] = is_ending[holder] || is_expired(holder);
      if (is_ending[holder]) {
        expected.push_back(Holder(holder, "r1"));
      }
    }
    RC_ASSERT((table.TakeExpired(At(now_us)) == expected));
  }
}

}  // namespace
}  // namespace sassafras::state
