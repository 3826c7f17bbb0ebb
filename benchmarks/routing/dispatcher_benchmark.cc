// Measures requests and dispatcher steps per second on one core, by kind of
// request. A request takes several steps; the counter `steps` gives their rate.

#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "routing/dispatcher.h"

namespace sassafras::routing {
namespace {

constexpr size_t kUpstreams = 35;

class DispatcherDriver {
 public:
  DispatcherDriver() {
    DispatcherOptions options;
    options.entry = wire::EntryId("entry-1");
    options.incarnation = wire::Incarnation("1");
    options.zone = wire::ZoneId("zone-0");
    RoutingReason why;
    dispatcher_ = Dispatcher::Create(options, why);
    wire::EntryAnswer answer;
    answer.session_ms = 1'000'000'000;
    answer.stamp = {1, 1};
    answer.renewal_sequence = dispatcher_->BuildRenewal(now_).sequence;
    for (size_t n = 0; n < kUpstreams; ++n) {
      answer.routes.push_back(
          {wire::UpstreamId("u" + std::to_string(n)), wire::Incarnation("1"),
           wire::ServiceId("booking"),
           wire::ZoneId("zone-" + std::to_string(n % 3)), "127.0.0.1",
           static_cast<uint16_t>(9000 + n), 8, 16});
    }
    Step(RoutesUpdated{answer, now_});
  }

  Effects Step(const Event& event) {
    ++steps_;
    now_ += base::Duration(10);
    Effects effects = dispatcher_->Step(now_, event);
    benchmark::DoNotOptimize(dispatcher_->NextDeadline());
    return effects;
  }

  RequestArrived Arrival(bool is_idempotent) {
    RequestArrived event;
    event.request = RequestId(++last_request_);
    event.owner = wire::OwnerId(last_request_ % 3 == 0 ? "akt" : "skeem");
    event.service = wire::ServiceId("booking");
    event.deadline = now_ + std::chrono::seconds(5);
    event.is_idempotent = is_idempotent;
    if (!is_idempotent) {
      event.key = wire::RequestKey("key-" + std::to_string(last_request_));
    }
    return event;
  }

  // Reports the success of the try that `effects` sends, if there is one.
  void Finish(const Effects& effects, RequestId request) {
    for (const Effect& effect : effects) {
      if (const auto* sent = std::get_if<SendToUpstream>(&effect)) {
        Step(UpstreamFinished{request, sent->try_id, 200});
        return;
      }
    }
  }

  uint64_t steps() const { return steps_; }

 private:
  base::Instant now_ = base::Instant(std::chrono::seconds(1));
  std::optional<Dispatcher> dispatcher_;
  uint64_t last_request_ = 0;
  uint64_t steps_ = 0;
};

void Report(benchmark::State& state, const DispatcherDriver& driver) {
  state.SetItemsProcessed(state.iterations());
  state.counters["steps"] = benchmark::Counter(
      static_cast<double>(driver.steps()), benchmark::Counter::kIsRate);
}

void Idempotent(benchmark::State& state) {
  DispatcherDriver driver;
  for (auto _ : state) {
    const RequestArrived arrival = driver.Arrival(true);
    driver.Finish(driver.Step(arrival), arrival.request);
  }
  Report(state, driver);
}
BENCHMARK(Idempotent);

void NonIdempotent(benchmark::State& state) {
  DispatcherDriver driver;
  for (auto _ : state) {
    const RequestArrived arrival = driver.Arrival(false);
    driver.Step(arrival);
    driver.Finish(
        driver.Step(AdmitResolved{arrival.request, AdmitOutcome::kAdmitted}),
        arrival.request);
    driver.Step(CloseResolved{arrival.request, CloseOutcome::kCommitted});
  }
  Report(state, driver);
}
BENCHMARK(NonIdempotent);

}  // namespace
}  // namespace sassafras::routing
