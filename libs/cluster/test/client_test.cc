// Calls to control hosts that can't be reached.

#include "cluster/client.h"

#include <chrono>
#include <optional>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "kernel/kernel.h"
#include "settings/settings.h"

namespace sassafras::cluster {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kPatience = std::chrono::seconds(10);
constexpr auto kLimit = std::chrono::minutes(5);

// A control host that takes connections and says nothing, as one behind a cut
// link does.
class ClientTest : public testing::Test {
 protected:
  ClientTest()
      : silent_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    settings_.cluster.secret = "0123456789abcdef";
    settings::Peer peer;
    peer.name = wire::EntryId("control");
    peer.endpoint = {"127.0.0.1", silent_.local_endpoint().port()};
    settings_.cluster.peers = {peer};
    peers_.emplace(settings_, context_.get_executor());
    client_ = Client::Create(wire::EntryId("entry"), context_, *peers_, {});
  }

  template <typename Condition>
  bool RunUntil(base::Duration limit, Condition done) {
    const auto end = kernel::MonotonicNow() + limit;
    while (!done() && kernel::MonotonicNow() < end) {
      context_.run_one_for(milliseconds(10));
    }
    return done();
  }

  boost::asio::io_context context_;
  tcp::acceptor silent_;
  settings::Settings settings_;
  std::optional<Peers> peers_;
  std::unique_ptr<Client> client_;
};

// The load pattern: an entry is cut off with callers' submissions under way.
TEST_F(ClientTest, AbandonedCallsEndAtOnceAndTruthfully) {
  std::optional<wire::ReplyStatus> status;
  int answers = 0;
  client_->Call("submit", nlohmann::json::object(), kLimit, Resend::kYes,
                [&](const wire::ControlReply& reply) {
                  status = reply.status;
                  ++answers;
                });
  RunUntil(milliseconds(100), [] { return false; });
  ASSERT_FALSE(status);
  client_->Abandon();
  ASSERT_TRUE(status);
  EXPECT_EQ(*status, wire::ReplyStatus::kUnknown)
      << "the call may have arrived";
  RunUntil(milliseconds(100), [] { return false; });
  EXPECT_EQ(answers, 1);
}

TEST_F(ClientTest, SilenceIsNoContact) {
  bool is_done = false;
  client_->Call(
      "hello", nlohmann::json::object(), milliseconds(200), Resend::kYes,
      [&](const auto&) { is_done = true; }, milliseconds(50));
  ASSERT_TRUE(RunUntil(kPatience, [&] { return is_done; }));
  EXPECT_EQ(client_->LastContact(), base::Instant());
}

}  // namespace
}  // namespace sassafras::cluster
