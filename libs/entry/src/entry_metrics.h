// The metrics of an entry; docs/OPERATIONS.md lists them.

#ifndef ENTRY_SRC_ENTRY_METRICS_H_
#define ENTRY_SRC_ENTRY_METRICS_H_

#include "routing/dispatcher.h"
#include "routing/effects.h"
#include "telemetry/metrics.h"
#include "wire/routing.h"

namespace sassafras::entry {

// Must be used on the entry's strand. No label contains an owner's name,
// because /metrics requires no token.
class EntryMetrics {
 public:
  explicit EntryMetrics(telemetry::Metrics& metrics);

  void CountOutcome(routing::Outcome outcome);
  void CountDecision(const routing::DecisionLog& decision);
  // Updates counters and gauges; called for each session renewal.
  void Update(const routing::DispatcherCounters& counters,
              const wire::EntryRenewal& renewal,
              bool has_session);

 private:
  telemetry::Metrics& metrics_;
  routing::DispatcherCounters last_;  // as of the last Update()
};

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_ENTRY_METRICS_H_
