// A lone replica with its data folder, driven on a context of the test.

#include "cluster/replica_driver.h"

#include <chrono>
#include <filesystem>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "telemetry/metrics.h"

namespace sassafras::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRecords = 60;
constexpr size_t kRecordBytes = 8 << 10;
constexpr auto kPatience = seconds(10);

// Counts what is applied without a pause.
class CountingState : public ReplicatedState {
 public:
  bool Restore(const std::string&, std::string&) override { return true; }
  std::string Snapshot() override { return ""; }
  void Apply(const consensus::Record&) override {
    ++applied;
    ++applied_in_turn;
  }
  void OnBatchApplied() override {}
  void OnRole(const consensus::RoleChange&) override {}
  void Send(const consensus::Message&) override {}

  size_t applied = 0;
  size_t applied_in_turn = 0;
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
        registry_->GetHistogram("write_seconds", "Writes."), why);
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
    const auto limit = std::chrono::steady_clock::now() + kPatience;
    context_.restart();
    while (!done() && std::chrono::steady_clock::now() < limit) {
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
  std::unique_ptr<telemetry::Metrics> registry_ = telemetry::Metrics::Create();
  CountingState state_;
  std::shared_ptr<ReplicaDriver> driver_;
};

// The load pattern: all control hosts lose power late in a busy day, and each
// has a long log to apply while they elect a leader and must hear it.
TEST_F(ReplicaDriverTest, ALongLogIsAppliedALittleAtATime) {
  Start();
  driver_->Form([](const auto&) {});
  ASSERT_TRUE(RunUntil([this] { return driver_->IsReadyToLead(); }));
  Propose(kRecords);
  Stop();

  Start();
  size_t most = 0;
  ASSERT_TRUE(RunUntil([&] {
    most = std::max(most, std::exchange(state_.applied_in_turn, 0));
    EXPECT_EQ(driver_->IsReadyToLead() && state_.applied < kRecords, false);
    return driver_->IsReadyToLead();
  }));
  EXPECT_EQ(state_.applied, kRecords);
  EXPECT_LE(most, kRecords / 4);
}

}  // namespace
}  // namespace sassafras::cluster
