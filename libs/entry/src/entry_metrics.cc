// Exports the dispatcher's counters and the session's state as metrics.

#include "entry_metrics.h"

#include <array>
#include <cstddef>
#include <numeric>

namespace sassafras::entry {
namespace {

using routing::DispatcherCounters;

// Maps a dispatcher counter to a metric.
struct CounterSpec {
  const char* name;
  const char* help;
  uint64_t DispatcherCounters::*member;
};

constexpr std::array kCounters = {
    CounterSpec{"sassafras_requests_arrived_total",
                "Requests of callers, forwarded ones included.",
                &DispatcherCounters::arrived},
    CounterSpec{"sassafras_upstream_tries_total", "Tries at upstreams.",
                &DispatcherCounters::tries},
    CounterSpec{"sassafras_upstream_retries_total",
                "Tries after the first of a request.",
                &DispatcherCounters::retries},
    CounterSpec{"sassafras_upstream_ejections_total",
                "Upstreams taken out of the choice for a while.",
                &DispatcherCounters::ejections},
    CounterSpec{"sassafras_requests_forwarded_total",
                "Requests handed to another entry.",
                &DispatcherCounters::forwarded}};

}  // namespace

EntryMetrics::EntryMetrics(telemetry::Metrics& metrics) : metrics_(metrics) {}

void EntryMetrics::CountOutcome(routing::Outcome outcome) {
  // In the order of routing::Outcome.
  constexpr std::array kNames = {"completed", "not-run", "unknown"};
  metrics_
      .GetCounter("sassafras_requests_total", "Requests answered, by outcome.",
                  {{"outcome", kNames[static_cast<size_t>(outcome)]}})
      .Add();
}

void EntryMetrics::CountDecision(const routing::DecisionLog& decision) {
  metrics_
      .GetHistogram("sassafras_routing_decision_seconds",
                    "Time from a request's arrival to a decision about it.")
      .Observe(decision.took);
  if (decision.what == "dispatch") {
    metrics_
        .GetHistogram("sassafras_request_wait_seconds",
                      "Time from a request's arrival to a slot.")
        .Observe(decision.took);
  }
}

void EntryMetrics::Update(const DispatcherCounters& counters,
                          const wire::EntryRenewal& renewal,
                          bool has_session) {
  for (const CounterSpec& it : kCounters) {
    metrics_.GetCounter(it.name, it.help)
        .Add(counters.*it.member - last_.*it.member);
  }
  last_ = counters;
  const auto slots = std::transform_reduce(
      renewal.held.begin(), renewal.held.end(), uint64_t{0}, std::plus<>(),
      [](const wire::HeldGrant& it) { return it.slots; });
  const auto set = [&](const char* name, const char* help, auto value) {
    metrics_.GetGauge(name, help).Set(static_cast<double>(value));
  };
  set("sassafras_entry_slots_held", "Slots that this entry holds.", slots);
  set("sassafras_entry_slots_in_use", "Slots that carry a request.",
      counters.in_flight);
  set("sassafras_requests_waiting", "Requests that wait for a slot.",
      counters.waiting);
  set("sassafras_entry_has_session", "1 while the session runs.", has_session);
  set("sassafras_entry_document_version", "Version in force at this entry.",
      renewal.document_version.value());
}

}  // namespace sassafras::entry
