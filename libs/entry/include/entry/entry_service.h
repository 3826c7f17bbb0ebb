// The traffic side of an entry: drives the dispatcher core on one strand,
// keeps the session with the control leader, and holds the entry's copy of
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

// A caller's request after authentication. `request` is what the upstream is
// to get: target without the service's prefix, no bearer token.
struct CallerRequest {
  http::Request request;
  wire::ServiceId service;
  wire::OwnerId owner;
  wire::Priority priority = wire::Priority::kNormal;
  base::Duration timeout{};  // above zero
  bool is_idempotent = true;
  wire::RequestKey key;  // empty: none given
  bool is_first_sending = false;
  std::shared_ptr<net::CallerWatch> watch;  // null: can't be told
};

class EntryService : public kernel::Service {
 public:
  EntryService(const settings::Settings& settings,
               kernel::Kernel& kernel,
               cluster::PeerService& peer_service,
               cluster::Client& client,
               telemetry::Metrics& metrics);
  ~EntryService() override;

  // Answers with the whole answer of an upstream or an error body; the header
  // Sassafras-Outcome says which. Thread-safe.
  void Serve(CallerRequest request, std::function<void(http::Answer)> respond);

  // The document as this entry applies it; null before the first session.
  // Its version never goes back. Thread-safe.
  std::shared_ptr<const document::Document> document() const;

  // The entry holds a session with the control leader and knows the upstreams
  // that it may use. Thread-safe.
  bool IsReady() const;

  std::string_view name() const override { return "entry"; }
  bool Start(kernel::KernelReason& why) override;
  // Gives the grants back once no request is known.
  void Drain(std::function<void()> done) override;
  void Stop() override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sassafras::entry

#endif  // ENTRY_ENTRY_SERVICE_H_
