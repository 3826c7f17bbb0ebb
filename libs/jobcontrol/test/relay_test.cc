// Tests of calls to workers through other control hosts.

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "relay_host.h"
#include "relay_selector.h"
#include "relayed_link.h"

namespace sassafras::jobcontrol {
namespace {

using std::chrono::milliseconds;

const wire::EntryId kHost("10.0.0.2:7000");
constexpr size_t kLargeFleet = 1000;

base::Instant At(int64_t ms) {
  return base::Instant(milliseconds(100'000 + ms));
}

wire::WorkerId WorkerName(int n) {
  return wire::WorkerId("worker-" + std::to_string(n));
}

class RelaySelectorTest : public testing::Test {
 protected:
  RelaySelectorTest() {
    selector_.SetHosts(hosts_);
    for (const wire::EntryId& host : hosts_) {
      selector_.OnReply(host);
    }
  }

  const std::vector<wire::EntryId> hosts_ = {
      wire::EntryId("a"), wire::EntryId("b"), wire::EntryId("c"),
      wire::EntryId("d")};
  RelaySelector selector_;
};

TEST_F(RelaySelectorTest, WorkersAreSpreadOverAllHosts) {
  std::map<wire::EntryId, int> counts;
  for (int n = 0; n < 1000; ++n) {
    ++counts[*selector_.Choose(WorkerName(n))];
  }
  ASSERT_EQ(counts.size(), 4U);
  for (const auto& [host, count] : counts) {
    EXPECT_GT(count, 150) << host;
  }
}

// Each move costs new connections.
TEST_F(RelaySelectorTest, OnlyTheWorkersOfAFailedHostMove) {
  std::vector<wire::EntryId> before;
  for (int n = 0; n < 100; ++n) {
    before.push_back(*selector_.Choose(WorkerName(n)));
  }
  selector_.OnFailure(hosts_[1], At(0));
  for (int n = 0; n < 100; ++n) {
    const wire::EntryId now = *selector_.Choose(WorkerName(n));
    EXPECT_NE(now, hosts_[1]);
    if (before[static_cast<size_t>(n)] != hosts_[1]) {
      EXPECT_EQ(now, before[static_cast<size_t>(n)]);
    }
  }
}

TEST_F(RelaySelectorTest, AFailedHostIsProbedLaterAndUsedAfterItsReply) {
  selector_.OnFailure(hosts_[1], At(0));
  EXPECT_TRUE(selector_.HostsToProbe(At(1)).empty());
  EXPECT_EQ(selector_.HostsToProbe(At(1000)),
            std::vector<wire::EntryId>{hosts_[1]});
  EXPECT_FALSE(selector_.IsUsable(hosts_[1]));
  selector_.OnReply(hosts_[1]);
  EXPECT_TRUE(selector_.IsUsable(hosts_[1]));
}

TEST_F(RelaySelectorTest, AHostThatLeftIsNotUsedAndANewOneIsProbedFirst) {
  const std::vector<wire::EntryId> hosts = {wire::EntryId("new")};
  selector_.SetHosts(hosts);
  EXPECT_FALSE(selector_.Choose(WorkerName(1)).has_value());
  EXPECT_EQ(selector_.HostsToProbe(At(0)), hosts);
}

// Stores the calls and lets the test reply.
class FakeWorkers : public WorkerLink {
 public:
  struct SentOrder {
    jobs::WorkerInfo worker;
    jobs::OrderCall call;
    uint64_t fencing_token = 0;
    OrderDone done;
  };
  struct SentHold {
    jobs::WorkerInfo worker;
    jobs::HoldCall call;
    uint64_t fencing_token = 0;
    HoldDone done;
  };

  void Order(const jobs::WorkerInfo& worker,
             const jobs::OrderCall& call,
             uint64_t fencing_token,
             OrderDone done) override {
    orders.push_back({worker, call, fencing_token, std::move(done)});
  }
  void Hold(const jobs::WorkerInfo& worker,
            const jobs::HoldCall& call,
            uint64_t fencing_token,
            HoldDone done) override {
    holds.push_back({worker, call, fencing_token, std::move(done)});
  }
  void QueryAdvice(const jobs::AdviceQuery&,
                   base::Duration,
                   AdviceDone) override {}

  std::vector<SentOrder> orders;
  std::vector<SentHold> holds;
};

// A leader's link and the relay of one other control host.
class RelayTest : public testing::Test {
 protected:
  RelayTest() {
    host_ = RelayHost::Create(control_, remote_, [this] { return host_term_; });
    link_ = RelayedLink::Create(
        control_, direct_,
        [this](const wire::EntryId&, const std::string& body,
               const RelayedLink::RelayDone& done) { Send(body, done); });
    worker_.boot = {wire::WorkerId("w"), 7};
    worker_.address = "10.0.0.9";
    worker_.port = 80;
  }

  ~RelayTest() override {
    link_->EndTerm();
    host_->Close();
  }

  void Send(const std::string& body, const RelayedLink::RelayDone& done) {
    if (is_cut_) {
      boost::asio::post(control_, [done] { done(std::nullopt); });
      return;
    }
    peer::Respond respond;
    respond.send = [this, done](int status, std::string reply) {
      boost::asio::post(control_, [done, status, reply] {
        done(status == 200 ? std::optional(reply) : std::nullopt);
      });
    };
    host_->Handle(body, respond);
  }

  void Lead(uint64_t term, size_t workers = kLargeFleet) {
    link_->SetFleet(std::vector{kHost}, workers);
    link_->BeginTerm(term);
    if (RelayedLink::IsLarge(workers)) {
      AwaitTrue(
          [this] { return link_->RelayFor(worker_.boot.id).has_value(); });
    }
  }

  void AwaitTrue(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      control_.restart();
      control_.run_one_for(milliseconds(20));
    }
    ASSERT_TRUE(condition());
  }

  void SendStart() {
    jobs::StartOrder start;
    start.task = {{wire::JobId("j"), 1, 2}, 3};
    start.run = 4;
    start.payload = "text";
    start.checkpoint = "c";
    start.ticket = "t";
    link_->Order(worker_, {1, start, 5000}, fencing_token_,
                 [this](const jobs::OrderReply& reply) {
                   order_replies_.push_back(reply);
                 });
  }

  void SendHold() {
    jobs::HoldCall call;
    call.end_cursor = 5;
    call.lease_until_ms = 6000;
    call.wait = milliseconds(700);
    link_->Hold(worker_, call, fencing_token_,
                [this](const jobs::HoldReply& reply) {
                  hold_replies_.push_back(reply);
                });
  }

  boost::asio::io_context control_;
  FakeWorkers direct_;
  FakeWorkers remote_;
  uint64_t host_term_ = 1;
  uint64_t fencing_token_ = 50'000'001;
  bool is_cut_ = false;
  std::shared_ptr<RelayHost> host_;
  std::unique_ptr<RelayedLink> link_;
  jobs::WorkerInfo worker_;
  std::vector<jobs::OrderReply> order_replies_;
  std::vector<jobs::HoldReply> hold_replies_;
};

TEST_F(RelayTest, ASmallFleetIsCalledDirectly) {
  Lead(1, 48);
  SendStart();
  SendHold();
  EXPECT_EQ(direct_.orders.size(), 1U);
  EXPECT_EQ(direct_.holds.size(), 1U);
}

TEST_F(RelayTest, AnOrderIsCarriedOutByTheRelayAsItWasMade) {
  Lead(3);
  SendStart();
  EXPECT_TRUE(direct_.orders.empty());
  AwaitTrue([this] { return !remote_.orders.empty(); });
  const FakeWorkers::SentOrder& sent = remote_.orders[0];
  EXPECT_EQ(sent.fencing_token, fencing_token_);
  EXPECT_EQ(sent.worker.boot, worker_.boot);
  EXPECT_EQ(sent.worker.address, worker_.address);
  EXPECT_EQ(sent.worker.port, worker_.port);
  EXPECT_EQ(sent.call.lease_until_ms, 5000);
  const auto& start = std::get<jobs::StartOrder>(sent.call.order);
  EXPECT_EQ(start.task, (jobs::TaskKey{{wire::JobId("j"), 1, 2}, 3}));
  EXPECT_EQ(start.run, 4U);
  EXPECT_EQ(start.payload, "text");
  EXPECT_EQ(start.checkpoint, "c");
  EXPECT_EQ(start.ticket, "t");
  sent.done({jobs::OrderResult::kNoCapacity, 77});
  AwaitTrue([this] { return !order_replies_.empty(); });
  EXPECT_EQ(order_replies_[0].result, jobs::OrderResult::kNoCapacity);
  EXPECT_EQ(order_replies_[0].clock_ms, 77);
}

TEST_F(RelayTest, ACallOfAnEarlierVersionCarriesTheTerm) {
  fencing_token_ = 0;
  Lead(3);
  SendStart();
  SendHold();
  AwaitTrue(
      [this] { return !remote_.orders.empty() && !remote_.holds.empty(); });
  EXPECT_EQ(remote_.orders[0].fencing_token, 3U);
  EXPECT_EQ(remote_.holds[0].fencing_token, 3U);
}

TEST_F(RelayTest, AHoldReplyComesBackWhole) {
  Lead(1);
  SendHold();
  AwaitTrue([this] { return !remote_.holds.empty(); });
  EXPECT_EQ(remote_.holds[0].fencing_token, fencing_token_);
  EXPECT_EQ(remote_.holds[0].call.end_cursor, 5U);
  EXPECT_EQ(remote_.holds[0].call.lease_until_ms, 6000);
  EXPECT_EQ(remote_.holds[0].call.wait, milliseconds(700));
  const jobs::TaskKey task{{wire::JobId("j"), 0, 0}, 1};
  jobs::HoldReply reply;
  reply.is_answered = true;
  reply.clock_ms = 99;
  reply.running = {{task, 2, "c", 40, 1500}};
  reply.ended = {{8, task, 1, jobs::RunOutcome::kFailed, "d"}};
  remote_.holds[0].done(reply);
  AwaitTrue([this] { return !hold_replies_.empty(); });
  const jobs::HoldReply& got = hold_replies_[0];
  EXPECT_TRUE(got.is_answered);
  EXPECT_EQ(got.clock_ms, 99);
  ASSERT_EQ(got.running.size(), 1U);
  EXPECT_EQ(got.running[0].task, task);
  EXPECT_EQ(got.running[0].percent, 40);
  EXPECT_EQ(got.running[0].latency_or_cpu, 1500);
  ASSERT_EQ(got.ended.size(), 1U);
  EXPECT_EQ(got.ended[0].number, 8U);
  EXPECT_EQ(got.ended[0].outcome, jobs::RunOutcome::kFailed);
  EXPECT_EQ(got.ended[0].checkpoint, "d");
}

// The relay may have carried out any of them, so none may count as rejected.
TEST_F(RelayTest, CallsAtALostRelayEndWithoutAnAnswerAndLaterOnesGoAround) {
  Lead(1);
  SendStart();
  SendHold();
  AwaitTrue([this] { return !remote_.holds.empty(); });
  is_cut_ = true;
  SendStart();
  AwaitTrue([this] { return order_replies_.size() == 2; });
  EXPECT_EQ(order_replies_[0].result, jobs::OrderResult::kNoAnswer);
  EXPECT_EQ(order_replies_[1].result, jobs::OrderResult::kNoAnswer);
  ASSERT_EQ(hold_replies_.size(), 1U);
  EXPECT_FALSE(hold_replies_[0].is_answered);
  EXPECT_FALSE(hold_replies_[0].is_refused);
  SendStart();
  EXPECT_EQ(direct_.orders.size(), 1U);
}

// A leader that was paused past its term must not have orders carried out.
TEST_F(RelayTest, ARelayRefusesALeaderWhoseTermHasEnded) {
  Lead(1);
  host_term_ = 2;
  SendStart();
  AwaitTrue([this] { return !order_replies_.empty(); });
  EXPECT_TRUE(remote_.orders.empty());
  EXPECT_EQ(order_replies_[0].result, jobs::OrderResult::kNoAnswer);
}

TEST_F(RelayTest, RepliesToCallsOfAnEarlierTermAreDropped) {
  Lead(1);
  SendStart();
  AwaitTrue([this] { return !remote_.orders.empty(); });
  Lead(2);
  remote_.orders[0].done({jobs::OrderResult::kAccepted, 1});
  SendStart();
  AwaitTrue([this] { return remote_.orders.size() == 2; });
  remote_.orders[1].done({jobs::OrderResult::kTooLate, 2});
  AwaitTrue([this] { return !order_replies_.empty(); });
  ASSERT_EQ(order_replies_.size(), 1U);
  EXPECT_EQ(order_replies_[0].result, jobs::OrderResult::kTooLate);
}

TEST_F(RelayTest, ARelayReportsItsRepliesWithoutNewCalls) {
  Lead(1);
  SendHold();
  AwaitTrue([this] { return !remote_.holds.empty(); });
  // Longer than a relay leaves a request unanswered.
  const auto end = std::chrono::steady_clock::now() + milliseconds(600);
  AwaitTrue([&] { return std::chrono::steady_clock::now() > end; });
  remote_.holds[0].done({});
  AwaitTrue([this] { return !hold_replies_.empty(); });
}

TEST_F(RelayTest, ARequestThatCannotBeDecodedIsRefused) {
  int status = 0;
  peer::Respond respond;
  respond.send = [&](int it, const std::string&) { status = it; };
  host_->Handle("not CBOR", respond);
  EXPECT_EQ(status, 400);
}

}  // namespace
}  // namespace sassafras::jobcontrol
