// Serves callers' requests at an entry: runs the dispatcher on one strand,
// maintains the session with the control leader, and holds the entry's copy of
// the document.

#ifndef ENTRY_ENTRY_SERVICE_H_
#define ENTRY_ENTRY_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "cluster/client.h"
#include "cluster/peers.h"
#include "document/document.h"
#include "http/message.h"
#include "kernel/kernel.h"
#include "net/caller_watch.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"
#include "wire/ids.h"
#include "wire/job.h"

namespace sassafras::entry {

// A caller's request after authentication. `request` is sent to the upstream:
// its target lacks the prefix /v1/services/NAME, and it has no bearer token.
struct CallerRequest {
  http::Request request;
  wire::ServiceId service;
  wire::OwnerId owner;
  wire::Priority priority = wire::Priority::kNormal;
  base::Duration timeout{};  // positive
  bool is_idempotent = true;
  wire::RequestKey key;  // idempotency key; empty if the caller sent none
  // The caller declares that it sends `key` for the first time.
  bool is_first_sending = false;
  // Signals that the caller disconnected; null if that can't be detected.
  std::shared_ptr<net::CallerWatch> watch;
};

class EntryService : public kernel::Service {
 public:
  EntryService(const settings::Settings& settings,
               kernel::Kernel& kernel,
               cluster::PeerService& peer_service,
               cluster::Client& client,
               telemetry::Metrics& metrics);
  ~EntryService() override;

  // Calls `respond` with the complete answer of an upstream or with an error
  // body; the header Sassafras-Outcome distinguishes them. Thread-safe.
  void Serve(CallerRequest request, std::function<void(http::Answer)> respond);

  // Returns the document in force at this entry, or null before the first
  // session. Its version never decreases. Thread-safe.
  std::shared_ptr<const document::Document> document() const;

  // Returns true if the entry has a session with the control leader and has
  // finished its warm-up: since its start it could serve every service at some
  // time, or it has received a fixed number of answers from the leader.
  // Thread-safe.
  bool IsReady() const;

  std::string_view name() const override { return "entry"; }
  bool Start(kernel::KernelReason& why) override;
  // Keeps serving requests until none is in progress, then releases the grants
  // and calls `done`.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::entry

#endif  // ENTRY_ENTRY_SERVICE_H_
