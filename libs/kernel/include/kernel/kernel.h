// The micro-kernel of a process: services with names, started in the order
// they were added and stopped in reverse, one thread for control state and a
// pool of threads for traffic.

#ifndef KERNEL_KERNEL_H_
#define KERNEL_KERNEL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include "base/reason.h"
#include "base/time.h"

namespace sassafras::kernel {

enum class KernelError { kNone, kServiceFailed };
using KernelReason = base::Reason<KernelError>;

// One part of the process. Start, AnnounceStop, Drain and Stop are called from
// the main thread, in that order, each at most once.
class Service {
 public:
  virtual ~Service() = default;

  // Unique within a kernel.
  virtual std::string_view name() const = 0;

  // Begins work. Services added earlier are already running.
  virtual bool Start(KernelReason& why) = 0;

  // Tells others that this process is about to stop. Called on every service
  // before the first is drained; must not block.
  virtual void AnnounceStop() {}

  // Stops taking new work and calls `done` (on any thread) once nothing is in
  // flight. Services are drained in the reverse order of their addition.
  virtual void Drain(std::function<void()> done) { done(); }

  // Ends all work at once.
  virtual void Stop() {}
};

class Kernel {
 public:
  // `traffic_threads` is at least 1.
  static std::unique_ptr<Kernel> Create(size_t traffic_threads);
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Runs control state; its one thread never blocks on files or peers.
  boost::asio::io_context& control();
  // Runs connections; handlers that share state use a strand.
  boost::asio::io_context& traffic();

  // Adds a service before Run().
  void Add(std::unique_ptr<Service> service);

  // Null where no service has that name.
  Service* Find(std::string_view name) const;

  template <typename Kind>
  Kind* FindAs(std::string_view name) const {
    return dynamic_cast<Kind*>(Find(name));
  }

  // Starts the services, runs until RequestStop(), drains for at most
  // `drain_limit`, stops the services and joins the threads. False where a
  // service didn't start (kServiceFailed).
  bool Run(base::Duration drain_limit, KernelReason& why);

  // Thread-safe, may be called repeatedly.
  void RequestStop();

 private:
  class Impl;
  explicit Kernel(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

// Runs `action` on `executor` and waits for it. Not to be called from a thread
// that runs the executor's work.
void RunOn(const boost::asio::any_io_executor& executor,
           std::function<void()> action);

// The machine's monotonic clock as the cores take it.
base::Instant MonotonicNow();

// How long the machine has been suspended since it started. Its monotonic clock
// doesn't count that time.
base::Duration SuspendedTime();

// An instant of that clock as timers take it.
std::chrono::steady_clock::time_point ToSteady(base::Instant instant);

// The machine's wall clock, in milliseconds since 1970.
base::WallMs WallNow();

}  // namespace sassafras::kernel

#endif  // KERNEL_KERNEL_H_
