// The HTTP API of an entry: authentication, routing of requests to handlers,
// and mapping of control replies to HTTP statuses. docs/API.md describes every
// route.

#ifndef ENTRY_API_SERVICE_H_
#define ENTRY_API_SERVICE_H_

#include <memory>

#include "cluster/client.h"
#include "control/replica_service.h"
#include "entry/entry_service.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace sassafras::entry {

class ApiService : public kernel::Service {
 public:
  // `replica` is null if this process isn't a control replica. All other
  // arguments must outlive the service.
  ApiService(const settings::Settings& settings,
             kernel::Kernel& kernel,
             EntryService& entry,
             cluster::Client& client,
             control::ReplicaService* replica,
             telemetry::Metrics& metrics);
  ~ApiService() override;

  std::string_view name() const override { return "api"; }
  bool Start(kernel::KernelReason& why) override;
  // Reports "not ready" on /readyz immediately, accepts connections for the
  // setting grace.balancer so that the load balancer can remove this process,
  // then stops listening and calls `done` once every request in flight has been
  // answered.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::entry

#endif  // ENTRY_API_SERVICE_H_
