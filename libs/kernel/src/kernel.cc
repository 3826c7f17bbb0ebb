// Life cycle of services and of the threads they run on.

#include "kernel/kernel.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <ranges>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace sassafras::kernel {
namespace {

using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

// A flag that one thread raises and another waits for.
class Gate {
 public:
  void Open() {
    const std::lock_guard lock(mutex_);
    is_open_ = true;
    changed_.notify_all();
  }
  void Wait() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return is_open_; });
  }
  void WaitFor(base::Duration limit) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [this] { return is_open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_open_ = false;
};

}  // namespace

class Kernel::Impl {
 public:
  explicit Impl(size_t traffic_threads)
      : traffic_threads_(std::max<size_t>(1, traffic_threads)),
        control_guard_(control_.get_executor()),
        traffic_guard_(traffic_.get_executor()) {}

  bool StartServices(KernelReason& why) {
    const auto failed = std::ranges::find_if(
        services_, [&](auto& it) { return !it->Start(why); });
    return failed == services_.end();
  }

  void StartThreads() {
    threads_.emplace_back([this] { control_.run(); });
    for (size_t n = 0; n < traffic_threads_; ++n) {
      threads_.emplace_back([this] { traffic_.run(); });
    }
  }

  // Each service is given what is left of the limit.
  void DrainServices(base::Duration limit) {
    std::ranges::for_each(services_, [](auto& it) { it->AnnounceStop(); });
    const auto end = std::chrono::steady_clock::now() + limit;
    for (auto& service : services_ | std::views::reverse) {
      // Shared, because a service may finish after its time has run out.
      const auto gate = std::make_shared<Gate>();
      service->Drain([gate] { gate->Open(); });
      const auto left = end - std::chrono::steady_clock::now();
      gate->WaitFor(std::chrono::duration_cast<base::Duration>(left));
    }
  }

  void StopServices() {
    std::ranges::for_each(services_ | std::views::reverse,
                          [](auto& it) { it->Stop(); });
  }

  void JoinThreads() {
    control_guard_.reset();
    traffic_guard_.reset();
    control_.stop();
    traffic_.stop();
    std::ranges::for_each(threads_, [](auto& it) { it.join(); });
    threads_.clear();
  }

  const size_t traffic_threads_;
  // Declared before the services, so that these can hold sockets of them.
  boost::asio::io_context control_{1};
  boost::asio::io_context traffic_;
  WorkGuard control_guard_;
  WorkGuard traffic_guard_;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<std::thread> threads_;
  Gate stop_requested_;
};

Kernel::Kernel(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Kernel::~Kernel() = default;

std::unique_ptr<Kernel> Kernel::Create(size_t traffic_threads) {
  return std::unique_ptr<Kernel>(
      new Kernel(std::make_unique<Impl>(traffic_threads)));
}

boost::asio::io_context& Kernel::control() {
  return impl_->control_;
}

boost::asio::io_context& Kernel::traffic() {
  return impl_->traffic_;
}

void Kernel::Add(std::unique_ptr<Service> service) {
  impl_->services_.push_back(std::move(service));
}

Service* Kernel::Find(std::string_view name) const {
  const auto it = std::ranges::find_if(
      impl_->services_, [&](auto& service) { return service->name() == name; });
  return it == impl_->services_.end() ? nullptr : it->get();
}

bool Kernel::Run(base::Duration drain_limit, KernelReason& why) {
  impl_->StartThreads();
  const bool is_started = impl_->StartServices(why);
  if (is_started) {
    impl_->stop_requested_.Wait();
    impl_->DrainServices(drain_limit);
  }
  impl_->StopServices();
  impl_->JoinThreads();
  return is_started;
}

void Kernel::RequestStop() {
  impl_->stop_requested_.Open();
}

void RunOn(const boost::asio::any_io_executor& executor,
           std::function<void()> action) {
  Gate gate;
  boost::asio::post(executor, [&gate, action = std::move(action)] {
    action();
    gate.Open();
  });
  gate.Wait();
}

base::Instant MonotonicNow() {
  return base::Instant(std::chrono::duration_cast<base::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

base::Duration SuspendedTime() {
  timespec since_start{};
  clock_gettime(CLOCK_BOOTTIME,
                &since_start);  // Fails for unknown clocks only.
  const auto counted = std::chrono::seconds(since_start.tv_sec) +
                       std::chrono::nanoseconds(since_start.tv_nsec);
  return std::chrono::duration_cast<base::Duration>(counted) -
         MonotonicNow().time_since_epoch();
}

std::chrono::steady_clock::time_point ToSteady(base::Instant instant) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          instant.time_since_epoch()));
}

base::WallMs WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace sassafras::kernel
