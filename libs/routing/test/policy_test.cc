// Tests fair queueing, retries, ejection and overload, against a naive
// implementation for the fair queue and against stated bounds otherwise.

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fair_queue.h"
#include "grant_split.h"
#include "simulation.h"
#include "upstream_table.h"

namespace sassafras::routing::test {
namespace {

wire::OwnerId Owner(int n) {
  return wire::OwnerId(std::string(1, static_cast<char>('a' + n)));
}

// --- fair queue ---

// Implements the definition of the fair queue with one flat list.
class NaiveFairQueue {
 public:
  void SetWeight(int owner, uint32_t weight) { weights_[owner] = weight; }

  void Push(int owner, int priority, uint64_t request) {
    if (std::ranges::count(items_, owner, &Item::owner) == 0) {
      served_[owner] = std::max(served_[owner], level_);
    }
    items_.push_back({owner, priority, request});
  }

  std::optional<uint64_t> Pop(double cost) {
    if (items_.empty()) {
      return std::nullopt;
    }
    const auto it =
        std::ranges::min_element(items_, {}, [this](const Item& item) {
          return std::tuple(served_[item.owner], item.owner, item.priority,
                            item.request);
        });
    const Item item = *it;
    items_.erase(it);
    level_ = std::max(level_, served_[item.owner]);
    served_[item.owner] +=
        cost / (weights_.contains(item.owner) ? weights_[item.owner] : 1);
    return item.request;
  }

 private:
  struct Item {
    int owner;
    int priority;
    uint64_t request;
  };
  std::vector<Item> items_;
  std::map<int, uint32_t> weights_;
  std::map<int, double> served_;  // slot time divided by weight
  double level_ = 0;
};

RC_GTEST_PROP(FairQueueTest, MatchesNaiveQueue, ()) {
  FairQueue queue;
  NaiveFairQueue naive;
  uint64_t last = 0;
  const auto steps = *rc::gen::container<std::vector<std::vector<int>>>(
      rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 12)));
  for (const auto& step : steps) {
    const int owner = step[0] % 3;
    if (step[2] % 4 < 2) {
      ++last;
      queue.Push(Owner(owner), static_cast<wire::Priority>(step[1] % 3),
                 RequestId(last));
      naive.Push(owner, step[1] % 3, last);
    } else if (step[2] % 4 == 2) {
      const double cost = 1 + step[1] % 4;
      const auto popped =
          queue.Pop([cost](const wire::OwnerId&) { return cost; });
      const auto expected = naive.Pop(cost);
      RC_ASSERT(popped.has_value() == expected.has_value());
      RC_ASSERT(!popped || popped->request.value() == *expected);
    } else {
      queue.SetWeight(Owner(owner), 1 + step[1] % 4);
      naive.SetWeight(owner, 1 + step[1] % 4);
    }
  }
}

// Owners with a permanent backlog get slot time in proportion to their weights.
RC_GTEST_PROP(FairQueueTest, SharesByWeight, ()) {
  FairQueue queue;
  const auto weights =
      *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 5));
  const auto costs =
      *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 10));
  std::map<wire::OwnerId, double> slot_time;
  for (int owner = 0; owner < 3; ++owner) {
    queue.SetWeight(Owner(owner), weights[owner]);
    for (int n = 0; n < 400; ++n) {
      queue.Push(Owner(owner), wire::Priority::kNormal, RequestId(n + 1));
    }
  }
  const auto cost_of = [&costs](const wire::OwnerId& owner) {
    return static_cast<double>(costs[owner.str()[0] - 'a']);
  };
  for (int n = 0; n < 300; ++n) {
    const auto popped = queue.Pop(cost_of);
    slot_time[popped->owner] += cost_of(popped->owner);
  }
  for (int a = 0; a < 3; ++a) {
    for (int b = 0; b < 3; ++b) {
      const double gap =
          slot_time[Owner(a)] / weights[a] - slot_time[Owner(b)] / weights[b];
      RC_ASSERT(std::abs(gap) <=
                static_cast<double>(costs[a]) / weights[a] +
                    static_cast<double>(costs[b]) / weights[b]);
    }
  }
}

// --- split of slots between owners ---

TEST(GrantSplitTest, FloodAtOneEntryIsLimitedToItsOwnersShare) {
  const std::vector<OwnerLoad> owners = {{1, {0, 8}}, {1, {100, 0}}};
  const std::vector<double> demand = FairDemand(owners, 2, 32);
  EXPECT_DOUBLE_EQ(demand[0], 24);  // of the 100 that its owner demands
  EXPECT_DOUBLE_EQ(demand[1], 8);   // all of the demand of its owner
}

// --- choice of upstream ---

wire::EntryAnswer AnswerWithUpstreams(size_t upstreams) {
  wire::EntryAnswer answer;
  for (size_t n = 0; n < upstreams; ++n) {
    answer.routes.push_back({wire::UpstreamId("u" + std::to_string(n)),
                             wire::Incarnation("1"), wire::ServiceId("s"),
                             wire::ZoneId("z"), "127.0.0.1",
                             static_cast<uint16_t>(n + 1), 8, 16});
  }
  return answer;
}

TEST(UpstreamTableTest, ReusesLastUpstreamOnlyIfThereIsNoOther) {
  UpstreamTable table(wire::ZoneId("z"), {seconds(1), seconds(60), 3}, 1);
  const wire::ServiceId service("s");
  const Instant now = Instant(seconds(1));
  table.SetSessionUntil(Instant::max());
  table.Apply(AnswerWithUpstreams(2));
  const EndpointKey last = MakeEndpointKey("127.0.0.1", 1);
  for (int n = 0; n < 8; ++n) {
    const auto choice = table.Choose(now, service, true, last);
    ASSERT_NE(choice.upstream, nullptr);
    EXPECT_NE(choice.upstream->key, last);
    table.Take(*choice.upstream);
  }
  EXPECT_EQ(table.Choose(now, service, true, last).upstream, nullptr);
  table.Apply(AnswerWithUpstreams(1));
  EXPECT_NE(table.Choose(now, service, true, last).upstream, nullptr);
}

// --- ejection ---

RC_GTEST_PROP(EjectionTest, EjectsAtMostAThirdOfUpstreams, ()) {
  const auto count = *rc::gen::inRange<size_t>(1, 12);
  UpstreamTable table(wire::ZoneId("z"), {seconds(1), seconds(60), 3}, 1);
  Instant now = Instant(seconds(1));
  table.Apply(AnswerWithUpstreams(count));
  table.SetSessionUntil(Instant::max());
  const auto steps =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
  for (const int step : steps) {
    now += milliseconds(step);
    const auto choice = table.Choose(now, wire::ServiceId("s"), true, {});
    if (!choice.upstream) {
      continue;
    }
    bool is_ejected = false;
    const EndpointKey key =
        MakeEndpointKey("127.0.0.1", choice.upstream->route.port);
    table.Take(*choice.upstream);
    if (step % 4 != 0) {
      table.OnFailure(now, key, now, is_ejected);
    } else {
      table.OnSuccess(now, key, milliseconds(10), is_ejected);
    }
    // Each upstream that is not ejected adds its 8 slots to the capacity.
    const uint32_t left = table.Capacity(now, wire::ServiceId("s"));
    RC_ASSERT((count - left / 8) * 3 <= count);
  }
}

TEST(EjectionTest, ReturnsAfterOneProbeAndBacksOffLonger) {
  const EjectionOptions options{seconds(1), seconds(60), 3};
  Ejection ejection;
  Instant now = Instant(seconds(1));
  Duration last = Duration::zero();
  for (int n = 0; n < 4; ++n) {
    ejection.Eject(now, options);
    EXPECT_FALSE(ejection.Allows(now, true));
    EXPECT_GT(ejection.ejected_until() - now, last);
    last = ejection.ejected_until() - now;
    now = ejection.ejected_until();
    ASSERT_TRUE(ejection.Allows(now, true));
    ejection.OnSent();
    EXPECT_FALSE(ejection.Allows(now, true));  // one probe at a time
    EXPECT_TRUE(ejection.OnFailure(options));  // a failed probe
  }
  ejection.OnSent();
  ejection.OnSuccess(milliseconds(10));
  EXPECT_TRUE(ejection.Allows(now, false));
}

TEST(EjectionTest, FailingUpstreamGetsFewRequestsAndRecovers) {
  Simulation simulation(SimulationOptions{.is_jittered = false});
  simulation.Settle();
  const auto run = [&simulation](int requests) {
    for (int n = 0; n < requests; ++n) {
      simulation.Send(n % 3, SendOptions());
      simulation.Run(milliseconds(5));
    }
  };
  run(1000);
  Upstream& bad = simulation.upstreams()[0];
  bad.mode = UpstreamMode::kBreaksConnections;
  bad.received = 0;
  run(2000);
  EXPECT_LT(bad.received, 100U);  // about 700 without ejection
  bad.mode = UpstreamMode::kHealthy;
  run(6000);
  bad.received = 0;
  run(1000);
  EXPECT_GT(bad.received, 100U);
}

TEST(EjectionTest, SlowUpstreamIsEjected) {
  Simulation simulation(SimulationOptions{.is_jittered = false});
  simulation.Settle();
  simulation.upstreams()[0].slowdown_factor = 10;
  for (int n = 0; n < 2000; ++n) {
    simulation.Send(n % 3, SendOptions());
    simulation.Run(milliseconds(5));
  }
  uint64_t ejections = 0;
  for (size_t n = 0; n < simulation.EntryCount(); ++n) {
    ejections += simulation.Counters(n).ejections;
  }
  EXPECT_GT(ejections, 0U);
}

// --- retry budget ---

// Returns the number of tries per request while every upstream fails.
double TriesWhileFailing(UpstreamMode mode, int successes) {
  Simulation simulation(SimulationOptions{});
  simulation.Settle();
  for (int n = 0; n < successes; ++n) {
    simulation.Send(n % 3, SendOptions());
    simulation.Run(milliseconds(3));
  }
  simulation.Run(seconds(2));
  for (Upstream& it : simulation.upstreams()) {
    it.mode = mode;
  }
  const auto tries = [&simulation] {
    uint64_t sum = 0;
    for (size_t n = 0; n < simulation.EntryCount(); ++n) {
      sum += simulation.Counters(n).tries;
    }
    return sum;
  };
  const uint64_t before = tries();
  constexpr int kRequests = 1000;
  for (int n = 0; n < kRequests; ++n) {
    simulation.Send(n % 3, SendOptions());
    simulation.Run(milliseconds(5));
  }
  simulation.Run(seconds(10));
  return static_cast<double>(tries() - before) / kRequests;
}

TEST(RetryBudgetTest, AddsAtMostTenPercentTriesWhenAllUpstreamsFail) {
  for (const UpstreamMode mode :
       {UpstreamMode::kRefusesConnections, UpstreamMode::kBreaksConnections,
        UpstreamMode::kReturnsErrors}) {
    EXPECT_LE(TriesWhileFailing(mode, 0), 1.1);
    EXPECT_LE(TriesWhileFailing(mode, 1000), 1.1);
  }
}

// --- overload ---

// Requests per second of 4 upstreams with 8 slots. A request takes 0.0625 s on
// average: 50 ms times 1.25, the mean jitter factor.
constexpr double kCapacity = 4 * 8 / 0.0625;

// Sends `rate` requests per second for `time`, evenly distributed over entries.
void ScheduleLoad(Simulation& simulation,
                  double rate,
                  Duration time,
                  const SendOptions& options) {
  const Duration gap(static_cast<int64_t>(1e6 / rate));
  const auto count = time / gap;
  for (int64_t n = 0; n < count; ++n) {
    simulation.Schedule(simulation.now() + n * gap, [&simulation, options, n] {
      simulation.Send(n % simulation.EntryCount(), options);
    });
  }
}

struct Goodput {
  double per_second = 0;
  double refusal_seconds_p99 = 0;  // 99th percentile
};

Goodput Measure(double load) {
  Simulation simulation(SimulationOptions{});
  simulation.Settle();
  SendOptions options;
  options.timeout = seconds(1);
  ScheduleLoad(simulation, load * kCapacity, seconds(6), options);
  simulation.Run(seconds(2));
  const Instant from = simulation.now();
  simulation.Run(seconds(3));
  Goodput goodput;
  std::vector<double> refusals;
  for (const SentRequest& it : simulation.sent_requests()) {
    const bool is_in_time = it.outcome == Outcome::kCompleted &&
                            it.answered_at <= it.deadline &&
                            it.answered_at >= from;
    goodput.per_second += is_in_time ? 1.0 / 3 : 0;
    if (it.outcome == Outcome::kNotRun) {
      EXPECT_GT(it.retry_after, Duration::zero());
      refusals.push_back((it.answered_at - it.sent_at).count() / 1e6);
    }
  }
  std::ranges::sort(refusals);
  if (!refusals.empty()) {
    goodput.refusal_seconds_p99 = refusals[refusals.size() * 99 / 100];
  }
  return goodput;
}

TEST(OverloadTest, GoodputStaysNearThePeak) {
  double peak = 0;
  for (const double load : {0.5, 0.8, 0.95, 1.1}) {
    peak = std::max(peak, Measure(load).per_second);
  }
  for (const double load : {2.0, 5.0}) {
    const Goodput goodput = Measure(load);
    RecordProperty("load", std::to_string(load));
    EXPECT_GE(goodput.per_second, 0.9 * peak) << load;
    // Refusals must come on arrival, not near the deadline of one second.
    EXPECT_LE(goodput.refusal_seconds_p99, 0.1) << load;
  }
}

// Returns the mean response time of one owner's requests, in seconds.
double MeanResponseTime(Simulation& simulation,
                        const std::string& owner,
                        Instant from) {
  double sum = 0;
  int count = 0;
  for (const SentRequest& it : simulation.sent_requests()) {
    if (it.owner == owner && it.sent_at >= from && it.outcome) {
      EXPECT_EQ(it.outcome, Outcome::kCompleted) << owner << " " << it.code;
      sum += (it.answered_at - it.sent_at).count() / 1e6;
      ++count;
    }
  }
  return sum / std::max(count, 1);
}

double ResponseTimeOfOtherOwners(double flood) {
  Simulation simulation(SimulationOptions{});
  simulation.Settle();
  for (const std::string owner : {"akt", "skeem"}) {
    SendOptions options;
    options.owner = owner;
    ScheduleLoad(simulation, 0.25 * kCapacity, seconds(6), options);
  }
  SendOptions options;
  options.owner = "flooder";
  options.timeout = seconds(2);
  ScheduleLoad(simulation, flood * kCapacity, seconds(6), options);
  simulation.Run(seconds(2));
  const Instant from = simulation.now();
  simulation.Run(seconds(8));
  return std::max(MeanResponseTime(simulation, "akt", from),
                  MeanResponseTime(simulation, "skeem", from));
}

TEST(OverloadTest, FloodingOwnerDoesNotSlowOtherOwners) {
  const double before = ResponseTimeOfOtherOwners(0.25);
  EXPECT_LE(ResponseTimeOfOtherOwners(5.0), 1.2 * before);
}

TEST(OverloadTest, UrgentRequestsStartFirstWithinTheirOwnersShare) {
  Simulation simulation(SimulationOptions{.entries = 1, .is_jittered = false});
  simulation.Settle();
  std::vector<size_t> normal;
  std::vector<size_t> other;
  for (int n = 0; n < 200; ++n) {
    normal.push_back(simulation.Send(0, SendOptions()));
    other.push_back(simulation.Send(0, SendOptions{.owner = "other"}));
  }
  simulation.Run(milliseconds(5));
  std::vector<size_t> urgent;
  for (int n = 0; n < 20; ++n) {
    urgent.push_back(
        simulation.Send(0, SendOptions{.priority = wire::Priority::kUrgent}));
  }
  simulation.Run(seconds(5));
  const auto started = [&simulation](size_t n) {
    return *simulation.sent_requests()[n].started_at;
  };
  // Only requests that had already started may precede the last urgent one. Of
  // the 32 slots, each owner's requests take 16 at first.
  const Instant last_urgent = started(urgent.back());
  const auto before = std::ranges::count_if(
      normal, [&](size_t n) { return started(n) < last_urgent; });
  EXPECT_LE(before, 17);
  const auto others = std::ranges::count_if(
      other, [&](size_t n) { return started(n) < last_urgent; });
  EXPECT_GE(others, 16 + 15);  // the other owner kept its share
}

}  // namespace
}  // namespace sassafras::routing::test
