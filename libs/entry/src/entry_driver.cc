// Starts, drains and stops the driver, and passes events of callers, timers and
// the session to the dispatcher.

#include "entry_driver.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <utility>

#include <openssl/evp.h>

#include <boost/asio/post.hpp>

#include "base/random.h"
#include "telemetry/decision.h"

namespace sassafras::entry {
namespace {

constexpr int kCallerDisconnectedStatus = 503;
// Interval at which Drain() checks whether requests are in progress.
constexpr auto kIdlePollInterval = std::chrono::milliseconds(20);
// Timeout of the last renewal, which releases the grants.
constexpr auto kReleaseTimeout = std::chrono::milliseconds(500);

// After this many answers to renewals the entry is ready even if it can't serve
// some service, because a service may have fewer slots than there are entries.
constexpr uint64_t kMaxWarmUpAnswers = 24;

// Returns true if this entry can serve every service that has upstreams, with
// slots granted to it or by forwarding to another entry. A partial answer may
// omit upstreams, so it never suffices.
bool CanServeAllServices(const wire::EntryAnswer& answer) {
  const auto is_served = [&](const wire::Route& wanted) {
    return std::ranges::any_of(answer.routes,
                               [&](const wire::Route& it) {
                                 return it.service == wanted.service &&
                                        it.slots > 0;
                               }) ||
           std::ranges::any_of(
               answer.idle_entries, [&](const wire::IdleEntry& it) {
                 return it.service == wanted.service && it.idle > 0;
               });
  };
  return !answer.is_partial && std::ranges::all_of(answer.routes, is_served);
}

routing::ServicePolicy ToRoutingPolicy(const document::ServicePolicy& policy) {
  constexpr double kPercent = 100;
  routing::ServicePolicy result;
  result.service = policy.service;
  result.max_queue = static_cast<uint32_t>(policy.max_queue);
  result.timeout = std::chrono::milliseconds(policy.timeout_ms);
  result.retry_share = static_cast<double>(policy.retry_percent) / kPercent;
  result.answer_retention =
      std::chrono::milliseconds(policy.answer_retention_ms);
  return result;
}

}  // namespace

std::string DigestOf(const http::Request& request) {
  // The length of the target marks where it ends, so that two requests with
  // different boundaries between target and body have different digests.
  const std::string head = request.method + " " +
                           std::to_string(request.target.size()) + " " +
                           request.target + " ";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  EVP_DigestUpdate(context, head.data(), head.size());
  EVP_DigestUpdate(context, request.body.data(), request.body.size());
  EVP_DigestFinal_ex(context, digest.data(), &size);
  EVP_MD_CTX_free(context);
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  for (unsigned n = 0; n < size; ++n) {
    out << std::setw(2) << static_cast<unsigned>(digest[n]);
  }
  return out.str();
}

EntryDriver::EntryDriver(const Dependencies& dependencies)
    : dependencies_(dependencies),
      metrics_(dependencies.metrics),
      pool_(http::UpstreamPool::Create(dependencies.kernel.traffic(), {})),
      peers_(std::make_unique<cluster::Peers>(dependencies.settings,
                                              dependencies.strand)),
      timer_(dependencies.strand) {}

std::shared_ptr<EntryDriver> EntryDriver::Create(
    const Dependencies& dependencies,
    routing::RoutingReason& why) {
  std::shared_ptr<EntryDriver> driver(new EntryDriver(dependencies));
  return driver->CreateDispatcher(why) ? std::move(driver) : nullptr;
}

bool EntryDriver::CreateDispatcher(routing::RoutingReason& why) {
  base::Random random = base::Random::FromSystem();
  incarnation_ = wire::Incarnation(random.HexId());
  routing::DispatcherOptions options;
  options.entry = dependencies_.settings.process.name;
  options.incarnation = incarnation_;
  options.zone = dependencies_.settings.process.zone;
  options.seed = random.Below(UINT64_MAX);
  options.max_requests = dependencies_.settings.limits.max_requests_in_flight;
  dispatcher_ = routing::Dispatcher::Create(options, why);
  return dispatcher_.has_value();
}

void EntryDriver::Start() {
  SessionKeeper::Callbacks callbacks;
  callbacks.build_renewal = [this] { return BuildRenewal(); };
  callbacks.on_answer = [this](const wire::EntryAnswer& answer,
                               base::Instant sent_at) {
    connection_trim_.OnAnswer(answer);
    Step(routing::RoutesUpdated{answer, sent_at});
    ++renewal_answers_;
    has_warmed_up_ = has_warmed_up_ || CanServeAllServices(answer) ||
                     renewal_answers_ >= kMaxWarmUpAnswers;
  };
  callbacks.on_document = [this](const document::Document& document) {
    SetPolicy(document);
  };
  callbacks.on_incarnation_ended = [this] {
    incarnation_ = wire::Incarnation(base::Random::FromSystem().HexId());
    Step(routing::IncarnationReplaced{incarnation_});
  };
  session_ = std::make_shared<SessionKeeper>(
      dependencies_.settings, dependencies_.strand, dependencies_.client,
      std::move(callbacks));
  session_->Start();
}

void EntryDriver::Stop() {
  is_stopped_ = true;
  session_->Stop();
  timer_.cancel();
  peers_->Close();
}

bool EntryDriver::IsReady() const {
  return has_warmed_up_ && session_until_.load() > kernel::MonotonicNow();
}

void EntryDriver::Serve(CallerRequest caller,
                        FinalAnswerCallback on_final_answer,
                        bool is_from_other_entry) {
  last_request_ = last_request_.Next();
  routing::RequestArrived event;
  event.request = last_request_;
  event.owner = caller.owner;
  event.service = caller.service;
  event.priority = caller.priority;
  event.deadline = kernel::MonotonicNow() + caller.timeout;
  event.is_idempotent = caller.is_idempotent;
  event.key = caller.key;
  event.digest = DigestOf(caller.request);
  event.is_from_other_entry = is_from_other_entry;
  event.is_first_sending = caller.is_first_sending;
  RequestState& state = requests_[event.request];
  state.caller = std::move(caller);
  state.digest = event.digest;
  state.deadline = event.deadline;
  state.on_final_answer = std::move(on_final_answer);
  Step(event);
  WatchCaller(event.request);
}

void EntryDriver::WatchCaller(routing::RequestId request) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.caller.is_idempotent ||
      !it->second.caller.watch) {
    return;
  }
  it->second.caller.watch->OnGone([weak = weak_from_this(), request] {
    if (const auto self = weak.lock()) {
      boost::asio::post(self->dependencies_.strand, [self, request] {
        self->OnCallerDisconnected(request);
      });
    }
  });
}

void EntryDriver::OnCallerDisconnected(routing::RequestId request) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) {
    return;
  }
  // Answers now so that the server releases the connection. A caller that
  // closed only its sending side still receives the answer.
  if (const FinalAnswerCallback on_final_answer =
          std::exchange(it->second.on_final_answer, nullptr)) {
    on_final_answer(
        {routing::Outcome::kUnknown,
         http::ErrorAnswer(kCallerDisconnectedStatus, "caller-gone",
                           "the caller closed its side of the connection",
                           "unknown")});
  }
  Step(routing::CallerDisconnected{request});
}

void EntryDriver::ServeOutcomeQuery(const wire::AskCall& call,
                                    FinalAnswerCallback on_final_answer) {
  last_request_ = last_request_.Next();
  routing::OutcomeQueried event;
  event.request = last_request_;
  event.owner = call.owner;
  event.key = call.key;
  event.deadline =
      kernel::MonotonicNow() + std::chrono::milliseconds(call.timeout_ms);
  RequestState& state = requests_[event.request];
  state.deadline = event.deadline;
  state.on_final_answer = std::move(on_final_answer);
  Step(event);
}

wire::EntryRenewal EntryDriver::BuildRenewal() {
  const base::Instant now = kernel::MonotonicNow();
  auto renewal = dispatcher_->BuildRenewal(now);
  const auto document = session_->document();
  renewal.document_version = document ? document->version() : wire::Version();
  metrics_.Update(dispatcher_->Counters(), renewal,
                  now < dispatcher_->SessionUntil());
  for (const auto& [address, port] : connection_trim_.OnRenewal(renewal)) {
    pool_->Forget(address, port);
  }
  return renewal;
}

void EntryDriver::Step(const routing::Event& event) {
  if (is_stopped_) {
    return;
  }
  const auto effects = dispatcher_->Step(kernel::MonotonicNow(), event);
  for (const auto& effect : effects) {
    std::visit([this](const auto& it) { Perform(it); }, effect);
  }
  session_until_ = dispatcher_->SessionUntil();
  ArmTimer();
}

void EntryDriver::ArmTimer() {
  const base::Instant next = dispatcher_->NextDeadline();
  if (next == base::Instant::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(kernel::ToSteady(next));
  timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->Step(routing::Tick{});
    }
  });
}

void EntryDriver::SetPolicy(const document::Document& document) {
  routing::PolicyUpdated event;
  event.version = document.version();
  std::ranges::transform(document.services(),
                         std::back_inserter(event.services), ToRoutingPolicy);
  std::ranges::transform(
      document.owners(), std::back_inserter(event.owners),
      [](const document::OwnerPolicy& it) {
        return routing::OwnerWeight{it.owner, static_cast<uint32_t>(it.weight)};
      });
  Step(event);
}

void EntryDriver::Drain(std::function<void()> done) {
  Step(routing::Drain{});
  WaitUntilIdle(std::move(done));
}

void EntryDriver::WaitUntilIdle(std::function<void()> done) {
  if (dispatcher_->IsIdle()) {
    ReleaseGrants(std::move(done));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      dependencies_.strand, kIdlePollInterval);
  timer->async_wait([self = shared_from_this(), timer,
                     done = std::move(done)](auto ec) mutable {
    if (!ec) {
      self->WaitUntilIdle(std::move(done));
    }
  });
}

void EntryDriver::ReleaseGrants(std::function<void()> done) {
  session_->Stop();
  const wire::EntryRenewal renewal = BuildRenewal();
  dependencies_.client.Call(
      "renew", {{"renewal", renewal}}, kReleaseTimeout, cluster::Resend::kNo,
      [done = std::move(done)](const wire::ControlReply&) { done(); });
}

}  // namespace sassafras::entry
