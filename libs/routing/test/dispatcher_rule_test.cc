// Tests the dispatcher with one failure at a time.

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "outcome_check.h"
#include "simulation.h"

namespace sassafras::routing::test {
namespace {

class DispatcherRuleTest : public testing::Test {
 protected:
  void SetUp() override { Make(SimulationOptions()); }

  void Make(const SimulationOptions& options) {
    simulation_ = std::make_unique<Simulation>(options);
    simulation_->Settle();
  }
  const SentRequest& Sent(size_t sending) {
    return simulation_->sent_requests()[sending];
  }
  size_t Runs(const std::string& key) {
    return simulation_->runs().contains(key)
               ? simulation_->runs().at(key).size()
               : 0;
  }
  // Sends successful requests to fill the retry budget.
  void FillRetryBudget(size_t entry) {
    for (int n = 0; n < 100; ++n) {
      simulation_->Send(entry, SendOptions());
      simulation_->Run(milliseconds(20));
    }
  }

  std::unique_ptr<Simulation> simulation_;
};

TEST_F(DispatcherRuleTest, EveryRequestCompletesWithoutFailures) {
  for (int n = 0; n < 2000; ++n) {
    simulation_->Send(
        n % 3, n % 2 == 0 ? SendOptions()
                          : NonIdempotentRequest("k" + std::to_string(n)));
    simulation_->Run(milliseconds(2));
  }
  simulation_->Run(seconds(5));
  EXPECT_EQ(FindIncorrectResponse(*simulation_, false), "");
  for (const SentRequest& it : simulation_->sent_requests()) {
    EXPECT_EQ(it.outcome, Outcome::kCompleted) << it.code;
    EXPECT_EQ(it.tries, 1U);
  }
}

TEST_F(DispatcherRuleTest, RequestsAreRefusedImmediatelyWithoutQuorum) {
  simulation_->SetQuorum(false);
  SendOptions first = NonIdempotentRequest("first");
  first.is_first_sending = true;
  const size_t first_send = simulation_->Send(0, first);
  const size_t resent = simulation_->Send(0, NonIdempotentRequest("other"));
  simulation_->Run(milliseconds(100));
  EXPECT_EQ(Sent(first_send).outcome, Outcome::kNotRun);
  EXPECT_GT(Sent(first_send).retry_after, Duration::zero());
  // An earlier sending may have run, so `not-run` might be incorrect.
  EXPECT_EQ(Sent(resent).outcome, Outcome::kUnknown);
  EXPECT_EQ(Runs("first") + Runs("other"), 0U);
}

TEST_F(DispatcherRuleTest, AdmissionCommittedAfterNotRunIsClosed) {
  SendOptions options = NonIdempotentRequest("k");
  options.is_first_sending = true;
  const size_t first = simulation_->Send(0, options);
  simulation_->Run(milliseconds(3));
  simulation_->SetLostCommits(1000);  // while the admission is being committed
  simulation_->Run(seconds(3));
  EXPECT_EQ(Sent(first).outcome, Outcome::kNotRun) << Sent(first).code;
  EXPECT_LT(Sent(first).answered_at, Sent(first).deadline - seconds(1));
  simulation_->SetLostCommits(0);
  simulation_->Run(seconds(5));
  EXPECT_EQ(Runs("k"), 0U);
  const size_t resent = simulation_->Send(1, NonIdempotentRequest("k"));
  simulation_->Run(seconds(2));
  EXPECT_EQ(Sent(resent).outcome, Outcome::kCompleted) << Sent(resent).code;
  EXPECT_EQ(Runs("k"), 1U);
}

TEST_F(DispatcherRuleTest, ResendToAnotherEntryGetsTheSameAnswer) {
  const size_t first = simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(milliseconds(20));
  const size_t concurrent = simulation_->Send(1, NonIdempotentRequest("k"));
  const size_t same_entry = simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(seconds(1));
  const size_t after = simulation_->Send(2, NonIdempotentRequest("k"));
  simulation_->Run(seconds(1));
  for (const size_t n : {first, concurrent, same_entry, after}) {
    EXPECT_EQ(Sent(n).outcome, Outcome::kCompleted) << n << Sent(n).code;
    EXPECT_EQ(Sent(n).answer, Sent(first).answer);
  }
  EXPECT_EQ(Runs("k"), 1U);
}

TEST_F(DispatcherRuleTest, DifferentRequestWithCompletedKeyIsRefused) {
  simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(seconds(1));
  SendOptions other = NonIdempotentRequest("k");
  other.digest = "other";
  const size_t refused = simulation_->Send(1, other);
  simulation_->Run(seconds(1));
  EXPECT_EQ(Sent(refused).code, "key-conflict");
  EXPECT_EQ(Runs("k"), 1U);
}

TEST_F(DispatcherRuleTest, DifferentRequestWithKeyInProgressIsRefused) {
  simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(milliseconds(20));
  SendOptions other = NonIdempotentRequest("k");
  other.digest = "other";
  const size_t refused = simulation_->Send(0, other);
  simulation_->Run(seconds(1));
  EXPECT_EQ(Sent(refused).code, "key-conflict");
}

TEST_F(DispatcherRuleTest, EntryKilledDuringRunMakesOutcomeUnknown) {
  simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(milliseconds(25));
  ASSERT_EQ(Runs("k"), 1U);
  simulation_->Kill(0);
  const size_t resent = simulation_->Send(1, NonIdempotentRequest("k"));
  simulation_->Run(seconds(5));
  EXPECT_EQ(Sent(resent).outcome, Outcome::kUnknown);
  EXPECT_EQ(Runs("k"), 1U);
}

TEST_F(DispatcherRuleTest, NonIdempotentRequestWithoutKeyIsNotRetried) {
  FillRetryBudget(0);
  for (Upstream& it : simulation_->upstreams()) {
    it.mode = UpstreamMode::kBreaksConnections;
  }
  const size_t broken = simulation_->Send(0, NonIdempotentRequest(""));
  simulation_->Run(seconds(2));
  EXPECT_EQ(Sent(broken).outcome, Outcome::kUnknown);
  EXPECT_EQ(Sent(broken).tries, 1U);
}

TEST_F(DispatcherRuleTest, ConnectFailureIsRetriedOnAnotherUpstream) {
  FillRetryBudget(0);
  simulation_->upstreams()[0].mode = UpstreamMode::kRefusesConnections;
  for (int n = 0; n < 10; ++n) {
    const size_t sending =
        simulation_->Send(0, NonIdempotentRequest("k" + std::to_string(n)));
    simulation_->Run(seconds(1));
    EXPECT_EQ(Sent(sending).outcome, Outcome::kCompleted) << Sent(sending).code;
  }
  EXPECT_GT(simulation_->Counters(0).retries, 0U);
}

TEST_F(DispatcherRuleTest, SilentUpstreamFailsNoIdempotentRequest) {
  FillRetryBudget(0);
  simulation_->upstreams()[0].mode = UpstreamMode::kSilent;
  std::vector<size_t> sent;
  for (int n = 0; n < 8; ++n) {
    sent.push_back(simulation_->Send(0, SendOptions()));
    simulation_->Run(milliseconds(300));
  }
  simulation_->Run(seconds(5));
  for (const size_t n : sent) {
    EXPECT_EQ(Sent(n).outcome, Outcome::kCompleted) << Sent(n).code;
  }
}

// An upstream may still work on a request that the entry has abandoned.
TEST_F(DispatcherRuleTest, TimedOutTriesKeepTheirSlots) {
  for (Upstream& it : simulation_->upstreams()) {
    it.slowdown_factor = 100;  // 5 s before jitter, at most 10 s
  }
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 60; ++n) {
      SendOptions options;
      options.timeout = seconds(1);
      simulation_->Send(n % 3, options);
    }
    simulation_->Run(milliseconds(1500));
  }
  for (const Upstream& it : simulation_->upstreams()) {
    EXPECT_LE(it.max_running, 8U);
  }
}

TEST_F(DispatcherRuleTest, LeavingUpstreamGetsNoRequestsAfterThreeSeconds) {
  simulation_->Isolate(2, true);
  simulation_->upstreams()[0].is_leaving = true;
  simulation_->Run(seconds(3));
  simulation_->upstreams()[0].received = 0;
  for (int n = 0; n < 300; ++n) {
    simulation_->Send(n % 3, SendOptions());
    simulation_->Run(milliseconds(10));
  }
  EXPECT_EQ(simulation_->upstreams()[0].received, 0U);
}

TEST_F(DispatcherRuleTest, DrainedEntryBecomesIdleAndForwards) {
  const size_t sending = simulation_->Send(0, NonIdempotentRequest("k"));
  simulation_->Run(milliseconds(20));
  simulation_->BeginDrain(0);
  EXPECT_FALSE(simulation_->IsIdle(0));
  simulation_->Run(seconds(2));
  EXPECT_EQ(Sent(sending).outcome, Outcome::kCompleted);
  EXPECT_TRUE(simulation_->IsIdle(0));
  const size_t late = simulation_->Send(0, SendOptions());  // forwarded
  simulation_->Run(seconds(1));
  EXPECT_EQ(Sent(late).outcome, Outcome::kCompleted) << Sent(late).code;
}

// --- a single dispatcher without the simulation ---

class SingleDispatcherTest : public testing::Test {
 protected:
  void SetUp() override {
    DispatcherOptions options;
    options.entry = wire::EntryId("e");
    options.incarnation = wire::Incarnation("1");
    RoutingReason why;
    dispatcher_ = Dispatcher::Create(options, why);
    ASSERT_TRUE(dispatcher_) << why.message;
  }

  // Builds a new renewal. Returns an answer to it that grants `slots` slots of
  // one upstream, or lists no upstream if `slots` is 0.
  wire::EntryAnswer Answer(uint32_t slots) {
    wire::EntryAnswer answer;
    answer.session_ms = 2000;
    answer.stamp = {1, ++last_stamp_};
    answer.renewal_sequence = dispatcher_->BuildRenewal(now_).sequence;
    if (slots > 0) {
      answer.routes = {{wire::UpstreamId("u"), wire::Incarnation("1"),
                        wire::ServiceId("booking"), wire::ZoneId("z"),
                        "127.0.0.1", 9000, slots, 2 * slots}};
    }
    return answer;
  }

  // Delivers the first sending of a request with the key "k".
  Effects Arrive(bool is_idempotent) {
    RequestArrived event;
    event.request = RequestId(++last_request_);
    event.service = wire::ServiceId("booking");
    event.deadline = now_ + seconds(5);
    event.is_idempotent = is_idempotent;
    event.key = wire::RequestKey("k");
    event.is_first_sending = true;
    return dispatcher_->Step(now_, event);
  }

  // Grants this entry one slot and reports `idle_elsewhere` free slots at
  // another entry.
  void GrantOneSlot(uint32_t idle_elsewhere) {
    wire::EntryAnswer answer = Answer(1);
    if (idle_elsewhere > 0) {
      answer.idle_entries = {{wire::EntryId("other"),
                              wire::ServiceId("booking"), wire::ZoneId("z"),
                              idle_elsewhere}};
    }
    last_effects_ = dispatcher_->Step(now_, RoutesUpdated{answer, now_});
  }

  template <typename Kind>
  static const Kind* Find(const Effects& effects) {
    for (const Effect& it : effects) {
      if (const auto* found = std::get_if<Kind>(&it)) {
        return found;
      }
    }
    return nullptr;
  }

  Instant now_ = Instant(seconds(1));
  std::optional<Dispatcher> dispatcher_;
  uint64_t last_stamp_ = 0;
  uint64_t last_request_ = 0;
  Effects last_effects_;
};

TEST_F(SingleDispatcherTest, OnlyTheAnswerToTheNewestRenewalIsApplied) {
  const wire::EntryAnswer older = Answer(8);
  const wire::EntryAnswer newest = Answer(8);
  dispatcher_->Step(now_, RoutesUpdated{older, now_});
  EXPECT_LT(dispatcher_->SessionUntil(), now_);
  dispatcher_->Step(now_, RoutesUpdated{newest, now_});
  EXPECT_EQ(dispatcher_->SessionUntil(), now_ + seconds(2));
}

// A renewal after the session expired reports no grants, so none may be used.
TEST_F(SingleDispatcherTest, ExpiredSessionDropsItsGrants) {
  dispatcher_->Step(now_, RoutesUpdated{Answer(8), now_});
  now_ += seconds(3);
  wire::EntryAnswer partial = Answer(0);
  partial.is_partial = true;
  dispatcher_->Step(now_, RoutesUpdated{partial, now_});
  const Effects effects = Arrive(true);
  EXPECT_EQ(Find<SendToUpstream>(effects), nullptr);
  // The upstream is listed, so the request waits up to `grant_timeout`.
  EXPECT_EQ(Find<Respond>(effects), nullptr);
  now_ += seconds(1);
  const Effects later = dispatcher_->Step(now_, Tick{});
  EXPECT_EQ(Find<SendToUpstream>(later), nullptr);
  ASSERT_NE(Find<Respond>(later), nullptr);
  EXPECT_EQ(Find<Respond>(later)->outcome, Outcome::kNotRun);
}

TEST_F(SingleDispatcherTest, FirstGrantServesRequestsThatWaitForIt) {
  wire::EntryAnswer bare = Answer(8);
  bare.routes[0].slots = 0;
  dispatcher_->Step(now_, RoutesUpdated{bare, now_});
  EXPECT_EQ(Find<Respond>(Arrive(true)), nullptr);
  const Effects effects =
      dispatcher_->Step(now_, RoutesUpdated{Answer(8), now_});
  EXPECT_NE(Find<SendToUpstream>(effects), nullptr);
}

TEST_F(SingleDispatcherTest,
       WaitingRequestIsForwardedOnceAnEntryReportsFreeSlots) {
  GrantOneSlot(0);
  ASSERT_NE(Find<SendToUpstream>(Arrive(true)), nullptr);
  ASSERT_EQ(Find<ForwardTo>(Arrive(true)), nullptr);  // waits
  GrantOneSlot(1);
  ASSERT_NE(Find<ForwardTo>(last_effects_), nullptr);
  EXPECT_EQ(Find<ForwardTo>(last_effects_)->request, RequestId(2));
}

TEST_F(SingleDispatcherTest, FreeSlotElsewhereIsReusedAfterItsRequestEnds) {
  GrantOneSlot(1);
  Arrive(true);
  ASSERT_NE(Find<ForwardTo>(Arrive(true)), nullptr);
  ASSERT_EQ(Find<ForwardTo>(Arrive(true)), nullptr);  // waits
  const Effects effects = dispatcher_->Step(
      now_, RelayResolved{RequestId(2), RelayOutcome::kCompleted, 200});
  ASSERT_NE(Find<ForwardTo>(effects), nullptr);
  EXPECT_EQ(Find<ForwardTo>(effects)->request, RequestId(3));
}

// Slots at other entries become free between renewals, so waiting requests are
// also forwarded to entries that reported none. If such an entry refuses the
// request, it keeps its position in the local queue.
TEST_F(SingleDispatcherTest,
       WaitingRequestIsForwardedToEntriesWithoutReportedFreeSlots) {
  GrantOneSlot(1);
  Arrive(true);
  Arrive(true);  // is forwarded to the free slot
  ASSERT_EQ(Find<ForwardTo>(Arrive(true)), nullptr);
  now_ += milliseconds(20);
  const Effects tried = dispatcher_->Step(now_, Tick{});
  ASSERT_NE(Find<ForwardTo>(tried), nullptr);
  EXPECT_EQ(Find<ForwardTo>(tried)->request, RequestId(3));
  Arrive(true);
  const Effects refused = dispatcher_->Step(
      now_, RelayResolved{RequestId(3), RelayOutcome::kNotRun});
  // The request is not forwarded again immediately.
  EXPECT_EQ(Find<ForwardTo>(refused), nullptr);
  EXPECT_EQ(Find<Respond>(refused), nullptr);
  const Effects finished =
      dispatcher_->Step(now_, UpstreamFinished{RequestId(1), TryId(1), 200});
  ASSERT_NE(Find<SendToUpstream>(finished), nullptr);
  EXPECT_EQ(Find<SendToUpstream>(finished)->request, RequestId(3));
}

// An earlier sending of the same key may still be in progress at another entry,
// so only a first sending may be forwarded to entries without free slots.
TEST_F(SingleDispatcherTest, ResentKeyIsNotForwardedToEntriesWithoutFreeSlots) {
  GrantOneSlot(1);
  Arrive(true);
  Arrive(true);  // is forwarded to the free slot
  RequestArrived event;
  event.request = RequestId(3);
  event.service = wire::ServiceId("booking");
  event.deadline = now_ + seconds(5);
  event.is_idempotent = false;
  event.key = wire::RequestKey("resent");
  dispatcher_->Step(now_, event);
  now_ += milliseconds(20);
  EXPECT_EQ(Find<ForwardTo>(dispatcher_->Step(now_, Tick{})), nullptr);
}

TEST_F(SingleDispatcherTest, ForwardedRequestIsRefusedIfOthersWait) {
  GrantOneSlot(0);
  Arrive(true);
  Arrive(true);  // waits
  RequestArrived event;
  event.request = RequestId(3);
  event.service = wire::ServiceId("booking");
  event.deadline = now_ + seconds(5);
  event.is_from_other_entry = true;
  const Effects effects = dispatcher_->Step(now_, event);
  ASSERT_NE(Find<Respond>(effects), nullptr);
  EXPECT_EQ(Find<Respond>(effects)->outcome, Outcome::kNotRun);
  EXPECT_EQ(Find<Respond>(effects)->code, "no-room");
}

// The refusal is a committed result: the key has no admission, not even from an
// earlier sending, so `not-run` is correct.
TEST_F(SingleDispatcherTest, FullAdmissionLogGivesNotRunWithRetryAfter) {
  dispatcher_->Step(now_, RoutesUpdated{Answer(8), now_});
  RequestArrived event;
  event.request = RequestId(1);
  event.service = wire::ServiceId("booking");
  event.deadline = now_ + seconds(5);
  event.is_idempotent = false;
  event.key = wire::RequestKey("resent");
  ASSERT_NE(Find<ProposeAdmit>(dispatcher_->Step(now_, event)), nullptr);
  const Effects effects =
      dispatcher_->Step(now_, AdmitResolved{RequestId(1), AdmitOutcome::kFull});
  ASSERT_NE(Find<Respond>(effects), nullptr);
  EXPECT_EQ(Find<Respond>(effects)->outcome, Outcome::kNotRun);
  EXPECT_GT(Find<Respond>(effects)->retry_after, Duration::zero());
  EXPECT_TRUE(dispatcher_->IsIdle());
}

// Slots should be granted to the entries that callers reach.
TEST_F(SingleDispatcherTest, ForwardedRequestIsNotCountedAsDemand) {
  GrantOneSlot(0);
  RequestArrived event;
  event.request = RequestId(1);
  event.service = wire::ServiceId("booking");
  event.deadline = now_ + seconds(5);
  event.is_from_other_entry = true;
  dispatcher_->Step(now_, event);
  EXPECT_TRUE(dispatcher_->BuildRenewal(now_).demand.at(0).owners.empty());
}

// The entry that received the forwarded request may have run it.
TEST_F(SingleDispatcherTest, FailedForwardIsLookedUpBeforeResponding) {
  wire::EntryAnswer answer = Answer(0);
  answer.idle_entries = {{wire::EntryId("other"), wire::ServiceId("booking"),
                          wire::ZoneId("z"), 4}};
  dispatcher_->Step(now_, RoutesUpdated{answer, now_});
  ASSERT_NE(Find<ForwardTo>(Arrive(false)), nullptr);
  const Effects effects = dispatcher_->Step(
      now_, RelayResolved{RequestId(1), RelayOutcome::kStreamFailed});
  EXPECT_EQ(Find<Respond>(effects), nullptr);
  EXPECT_NE(Find<ReadAdmission>(effects), nullptr);
  // The request is not admitted yet, but may still be queued at the other
  // entry.
  const Effects looked_up =
      dispatcher_->Step(now_, AdmitResolved{RequestId(1), AdmitOutcome::kNone});
  ASSERT_NE(Find<Respond>(looked_up), nullptr);
  EXPECT_EQ(Find<Respond>(looked_up)->outcome, Outcome::kUnknown);
}

TEST_F(SingleDispatcherTest, IdempotentRequestIsRetriedAfterFailedForward) {
  constexpr uint64_t kSuccesses = 10;  // these earn one retry
  GrantOneSlot(1);
  for (uint64_t n = 1; n <= kSuccesses; ++n) {
    Arrive(true);
    dispatcher_->Step(now_, UpstreamFinished{RequestId(n), TryId(n), 200});
  }
  ASSERT_NE(Find<SendToUpstream>(Arrive(true)), nullptr);
  ASSERT_NE(Find<ForwardTo>(Arrive(true)), nullptr);
  dispatcher_->Step(now_, UpstreamFinished{RequestId(kSuccesses + 1),
                                           TryId(kSuccesses + 1), 200});
  const RequestId forwarded(kSuccesses + 2);
  const Effects effects =
      dispatcher_->Step(now_, RelayResolved{forwarded, RelayOutcome::kUnknown});
  EXPECT_EQ(Find<Respond>(effects), nullptr);
  ASSERT_NE(Find<SendToUpstream>(effects), nullptr);
  EXPECT_EQ(Find<SendToUpstream>(effects)->request, forwarded);
}

}  // namespace
}  // namespace sassafras::routing::test
