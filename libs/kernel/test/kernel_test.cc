// Tests of the order in which services start, drain and stop.

#include "kernel/kernel.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace sassafras::kernel {
namespace {

class Recorder : public Service {
 public:
  Recorder(std::string name, std::vector<std::string>* events, bool starts)
      : name_(std::move(name)), events_(events), starts_(starts) {}

  std::string_view name() const override { return name_; }
  bool Start(KernelReason& why) override {
    events_->push_back("start " + name_);
    return starts_ || why.Set(KernelError::kServiceFailed, name_ + " failed");
  }
  void AnnounceStop() override { events_->push_back("announce " + name_); }
  void Drain(std::function<void()> done) override {
    events_->push_back("drain " + name_);
    done();
  }
  void Stop() override { events_->push_back("stop " + name_); }

 private:
  std::string name_;
  std::vector<std::string>* events_;
  bool starts_;
};

TEST(KernelTest, StopsInReverseOrderOfStart) {
  std::vector<std::string> events;
  const auto kernel = Kernel::Create(1);
  kernel->Add(std::make_unique<Recorder>("a", &events, true));
  kernel->Add(std::make_unique<Recorder>("b", &events, true));
  EXPECT_EQ(kernel->FindAs<Recorder>("b")->name(), "b");
  EXPECT_EQ(kernel->Find("c"), nullptr);
  kernel->RequestStop();
  KernelReason why;
  EXPECT_TRUE(kernel->Run(std::chrono::seconds(1), why));
  const std::vector<std::string> expected = {
      "start a", "start b", "announce a", "announce b",
      "drain b", "drain a", "stop b",     "stop a"};
  EXPECT_EQ(events, expected);
}

TEST(KernelTest, ServiceThatFailsToStartEndsTheRun) {
  std::vector<std::string> events;
  const auto kernel = Kernel::Create(1);
  kernel->Add(std::make_unique<Recorder>("a", &events, false));
  KernelReason why;
  EXPECT_FALSE(kernel->Run(std::chrono::seconds(1), why));
  EXPECT_EQ(why.message, "a failed");
}

}  // namespace
}  // namespace sassafras::kernel
