// Tests a group of one replica, driven on the test's own io_context.

#include "cluster/replica_driver.h"

#include <chrono>
#include <filesystem>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "telemetry/metrics.h"

namespace sassafras::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRecords = 60;
constexpr size_t kRecordBytes = 8 << 10;
// How long a test waits for an expected condition.
constexpr auto kTestTimeout = seconds(10);

// Counts the records applied in total and since the test last reset
// `applied_in_batch`.
class CountingState : public ReplicatedState {
 public:
  bool Restore(const std::string&, std::string&) override { return true; }
  std::string Snapshot() override { return ""; }
  void Apply(const consensus::Record&) override {
    ++applied;
    ++applied_in_batch;
  }
  void OnBatchApplied() override {}
  void OnRole(const consensus::RoleChange&) override {}
  void Send(const consensus::Message&) override {}

  size_t applied = 0;
  size_t applied_in_batch = 0;
};

class ReplicaDriverTest : public testing::Test {
 protected:
  ReplicaDriverTest()
      : folder_(std::filesystem::temp_directory_path() /
                ("replica_driver_test." + std::to_string(getpid()))) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directory(folder_);
  }
  ~ReplicaDriverTest() override {
    Stop();
    std::filesystem::remove_all(folder_);
  }

  void Start() {
    state_ = {};
    DriverOptions options;
    options.name = wire::EntryId("127.0.0.1:1");
    options.data_folder = folder_;
    options.election_timeout = milliseconds(100);
    options.heartbeat = milliseconds(20);
    DriverReason why;
    driver_ = ReplicaDriver::Create(
        context_, options, state_,
        metrics_->GetHistogram("write_seconds", "Writes."), why);
    ASSERT_TRUE(driver_) << why.message;
    driver_->Begin();
  }

  void Stop() {
    if (driver_) {
      driver_->Close();
      driver_->CloseJournal();
      driver_.reset();
      context_.restart();
      context_.poll();
    }
  }

  template <typename Condition>
  bool RunUntil(Condition done) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    context_.restart();
    while (!done() && std::chrono::steady_clock::now() < deadline) {
      context_.run_one_for(milliseconds(10));
    }
    return done();
  }

  void Propose(size_t count) {
    size_t committed = 0;
    for (size_t n = 0; n < count; ++n) {
      driver_->Propose(std::string(kRecordBytes, 'x'),
                       [&](const consensus::Resolved& it) {
                         EXPECT_EQ(it.outcome, consensus::Outcome::kCommitted);
                         ++committed;
                       });
    }
    ASSERT_TRUE(RunUntil([&] { return committed == count; }));
  }

  const std::filesystem::path folder_;
  boost::asio::io_context context_;
  // Runs on while the replica waits for its journal only, without a timer.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(context_);
  std::unique_ptr<telemetry::Metrics> metrics_ = telemetry::Metrics::Create();
  CountingState state_;
  std::shared_ptr<ReplicaDriver> driver_;
};

// After a power loss of all control hosts, each replica has a long log to apply
// while the group elects a leader. Applying it in one go would block the
// control thread and delay the leader's messages, so it must be applied in
// batches.
TEST_F(ReplicaDriverTest, LongLogIsAppliedInBoundedBatches) {
  Start();
  driver_->Bootstrap([](const auto&) {});
  ASSERT_TRUE(RunUntil([this] { return driver_->IsReadyToLead(); }));
  Propose(kRecords);
  Stop();

  Start();
  size_t max_batch = 0;
  ASSERT_TRUE(RunUntil([&] {
    max_batch = std::max(max_batch, std::exchange(state_.applied_in_batch, 0));
    EXPECT_EQ(driver_->IsReadyToLead() && state_.applied < kRecords, false);
    return driver_->IsReadyToLead();
  }));
  EXPECT_EQ(state_.applied, kRecords);
  EXPECT_LE(max_batch, kRecords / 4);
}

}  // namespace
}  // namespace sassafras::cluster
