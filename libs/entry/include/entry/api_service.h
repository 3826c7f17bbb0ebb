// The HTTP interface of an entry: authentication, routes, and the translation
// of replies into statuses. docs/API.md describes every route.

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
  // `replica` is null in a process that is no control replica.
  ApiService(const settings::Settings& settings,
             kernel::Kernel& kernel,
             EntryService& entry,
             cluster::Client& client,
             control::ReplicaService* replica,
             telemetry::Metrics& metrics);
  ~ApiService() override;

  std::string_view name() const override { return "api"; }
  bool Start(kernel::KernelReason& why) override;
  // Not ready at once; accepts for the balancer's grace time, then answers
  // what is in flight.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::entry

#endif  // ENTRY_API_SERVICE_H_
