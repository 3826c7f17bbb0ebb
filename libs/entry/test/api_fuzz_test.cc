// Fuzz test of all API routes, in one process and without sockets: every
// request is answered, and a malformed request never with a 5xx status.

#include "fuzz.h"

#include <chrono>
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "api_router.h"
#include "cluster/peers.h"
#include "state/machine.h"
#include "wire/routing.h"
#include "wire/worker.h"

namespace sassafras::entry {
namespace {

constexpr auto kAnswerTimeout = std::chrono::seconds(30);
constexpr char kSecret[] = "a-secret-of-the-cluster";
// Sections of the document: one of the platform, one of the owner "akt".
constexpr char kPlatformSection[] = R"(
[owners.akt]
[sections.akt]
owner = "akt"
)";
constexpr char kOwnerSection[] = "[services.clauses]\ntimeout_ms = 50\n";

settings::Settings MakeSettings() {
  settings::Settings settings;
  settings.process = {wire::EntryId("e1"), wire::ZoneId("z"), ""};
  settings.cluster.secret = kSecret;
  return settings;
}

// A leader without replicas that applies proposed commands immediately.
class FakeLeader {
 public:
  FakeLeader() {
    Put("platform", kPlatformSection);
    Put("akt", kOwnerSection);
  }

  wire::ControlReply Handle(const std::string& method,
                            const nlohmann::json& body) {
    wire::ControlReply reply;
    reply.status = wire::ReplyStatus::kOk;
    if (method == "propose") {
      wire::CodecReason why;
      const auto command = wire::DecodeCommand(CommandOf(body), why);
      reply.body = command ? machine_.Apply(++index_, *command)
                           : wire::CommandResult{
                                 wire::ResultCode::kInvalid, why.message, {}};
    } else if (method == "renew") {
      const auto renewal = body.at("renewal").get<wire::EntryRenewal>();
      wire::EntryAnswer answer{.session_ms = 60'000};
      answer.stamp = {1, ++stamp_};
      answer.renewal_sequence = renewal.sequence;
      reply.body = {{"answer", answer},
                    {"document", machine_.document().ToValue()}};
    } else {
      reply.body = {{"found", false}};
    }
    return reply;
  }

 private:
  static std::string CommandOf(const nlohmann::json& body) {
    const auto& bytes = body.at("command").get_binary();
    return {bytes.begin(), bytes.end()};
  }

  void Put(const std::string& section, const std::string& text) {
    wire::PutSection put;
    put.section = wire::SectionId(section);
    put.change = wire::ChangeId(section);
    put.editor_owner = wire::OwnerId(section);
    put.is_platform = section == "platform";
    put.text = text;
    machine_.Apply(++index_, put);
  }

  state::Machine machine_;
  uint64_t index_ = 0;
  uint64_t stamp_ = 0;
};

// Signals that the services added before it have started.
class StartSignal : public kernel::Service {
 public:
  std::string_view name() const override { return "start-signal"; }
  bool Start(kernel::KernelReason& /*why*/) override {
    promise_.set_value();
    return true;
  }
  std::future<void> started() { return promise_.get_future(); }

 private:
  std::promise<void> promise_;
};

// An entry with all its components except sockets.
class EntryHarness {
 public:
  EntryHarness()
      : settings_(MakeSettings()),
        kernel_(kernel::Kernel::Create(1)),
        metrics_(telemetry::Metrics::Create()),
        peers_(settings_, kernel_->control().get_executor()),
        peer_service_(settings_, kernel_->traffic()),
        client_(cluster::Client::Create(
            settings_.process.name,
            kernel_->control(),
            peers_,
            [this](const auto& method, const auto& body, auto done) {
              done(leader_.Handle(method, body));
            })) {
    auto entry = std::make_unique<EntryService>(
        settings_, *kernel_, peer_service_, *client_, *metrics_);
    entry_ = entry.get();
    kernel_->Add(std::move(entry));
    auto signal = std::make_unique<StartSignal>();
    const auto started = signal->started();
    kernel_->Add(std::move(signal));
    router_ = std::make_unique<ApiRouter>(
        ApiDependencies{settings_, *kernel_, *entry_, *client_, nullptr},
        *metrics_);
    thread_ = std::thread([this] {
      kernel::KernelReason why;
      kernel_->Run(std::chrono::seconds(1), why);
    });
    started.wait();
    while (Send({"GET", "/readyz", {}, ""}).status != 200) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  ~EntryHarness() {
    kernel_->RequestStop();
    thread_.join();
  }

  // Returns the answer, or status 0 if there is none within kAnswerTimeout.
  http::Answer Send(http::Request request) {
    auto promise = std::make_shared<std::promise<http::Answer>>();
    auto answer = promise->get_future();
    auto send = [promise](http::Answer it) {
      promise->set_value(std::move(it));
    };
    router_->Handle(std::move(request),
                    {std::move(send), std::make_shared<net::CallerWatch>()});
    if (answer.wait_for(kAnswerTimeout) != std::future_status::ready) {
      return {.status = 0};
    }
    return answer.get();
  }

 private:
  const settings::Settings settings_;
  std::unique_ptr<kernel::Kernel> kernel_;
  std::unique_ptr<telemetry::Metrics> metrics_;
  FakeLeader leader_;
  cluster::Peers peers_;
  cluster::PeerService peer_service_;
  std::unique_ptr<cluster::Client> client_;
  EntryService* entry_ = nullptr;
  std::unique_ptr<ApiRouter> router_;
  std::thread thread_;
};

// Shared by all test cases until the process ends.
EntryHarness& SharedHarness() {
  static EntryHarness harness;
  return harness;
}

std::string ArbitraryTarget() {
  constexpr std::array<const char*, 16> kPaths = {"/v1/jobs",
                                                  "/v1/jobs/j",
                                                  "/v1/document",
                                                  "/v1/document/sections/akt",
                                                  "/v1/changes/c",
                                                  "/v1/report/jobs",
                                                  "/v1/report/x",
                                                  "/v1/workers/w/heartbeat",
                                                  "/v1/workers/%ff",
                                                  "/v1/upstreams/u/heartbeat",
                                                  "/v1/cluster/init",
                                                  "/v1/cluster/replicas",
                                                  "/v1/cluster/replicas/e2",
                                                  "/v1/services/clauses/a?b",
                                                  "/metrics",
                                                  "/"};
  std::string target = kPaths.at(fuzz::Pick(0, kPaths.size()));
  if (fuzz::Pick(0, 3) == 0) {
    target = fuzz::Broken(std::move(target));
  }
  const auto query = *rc::gen::element<std::string>(
      "", "?base=1&change=c", "?base=-1&change=", "?id=%zz&&=");
  return target + query;
}

fuzz::Json SampleFor(const std::string& target) {
  if (target.starts_with("/v1/workers")) {
    return wire::WorkerHeartbeat{.attempts = {wire::AttemptReport{}}};
  }
  if (target.starts_with("/v1/upstreams")) {
    return wire::UpstreamHeartbeat{};
  }
  const fuzz::Json samples = {
      wire::JobSpec{}, {{"jobs", {"a"}}}, {{"name", "e2"}}};
  return samples.at(fuzz::Pick(0, samples.size()));
}

std::string ArbitraryBody(const std::string& target) {
  fuzz::Json value = SampleFor(target);
  value =
      fuzz::Pick(0, 2) == 0 ? fuzz::WithWrongLeaf(value) : fuzz::Like(value);
  if (fuzz::Pick(0, 2) == 0) {
    value.erase("worker");
    value.erase("upstream");
  }
  std::string text =
      value.dump(-1, ' ', false, fuzz::Json::error_handler_t::replace);
  return fuzz::Pick(0, 4) == 0 ? fuzz::Broken(std::move(text)) : text;
}

http::Request ArbitraryRequest() {
  http::Request request;
  request.method = *rc::gen::element<std::string>("GET", "POST", "POST", "PUT",
                                                  "DELETE", "HEAD", "?");
  request.target = ArbitraryTarget();
  request.headers = {
      {"Authorization",
       *rc::gen::weightedElement<std::string>(
           {{8, std::string("Bearer ") + kSecret}, {1, "Bearer x"}, {1, ""}})},
      {"Request-Timeout-Ms", *rc::gen::element<std::string>(
                                 "1", "0", "-1", "x", "99999999999999999999")},
      {"Idempotency-Key", std::string(fuzz::Pick(0, 200), 'k')},
      {fuzz::Bytes(), fuzz::Bytes()}};
  request.body = ArbitraryBody(request.target);
  return request;
}

bool IsForService(const http::Request& request) {
  return request.target.starts_with("/v1/services/clauses");
}

RC_GTEST_PROP(ApiFuzz, EveryRequestGetsATypedAnswer, ()) {
  const http::Request request = ArbitraryRequest();
  const http::Answer answer = SharedHarness().Send(request);
  RC_LOG() << request.method << " " << request.target << " " << request.body
           << "\n"
           << answer.status << " " << answer.body << "\n";
  constexpr int kOk = 200;
  constexpr int kFirstError = 400;
  constexpr int kFirstServerError = 500;
  RC_ASSERT(answer.status >= kOk);
  // The service has no upstream, so a valid request to it gets a 5xx status.
  RC_ASSERT(answer.status < kFirstServerError || IsForService(request));
  if (answer.status >= kFirstError) {
    const auto error = nlohmann::json::parse(answer.body);
    RC_ASSERT(!error.at("code").get<std::string>().empty());
    RC_ASSERT(!error.at("message").get<std::string>().empty());
    // An earlier request with the same key may have run unless the admission
    // log was read. A request to a service that is rejected with a 4xx status
    // didn't read it.
    const bool is_keyed =
        !http::FindHeader(request.headers, "Idempotency-Key").empty();
    const bool is_log_unread = request.target.starts_with("/v1/services/") &&
                               answer.status < kFirstServerError;
    const auto& outcome = error.at("outcome");
    RC_ASSERT(outcome == "not-run" || (is_keyed && outcome == "unknown"));
    RC_ASSERT(!is_keyed || !is_log_unread || outcome == "unknown");
  }
}

// Guards against a field whose value would silently change when it is parsed,
// for example by truncation or by falling back to a default.
TEST(ApiInput, FieldsThatCannotHoldTheirValueAreRefused) {
  for (const char* body :
       {R"({"worker": 5})", R"({"worker": null})", R"({"state": "levaing"})",
        R"({"sequence": -1})",
        R"({"capacity": {"memory_mib": 18446744073709551615}})",
        R"({"capacity": {"memory_mib": 1e30}})",
        R"({"capacity": {"memory_mib": 1.5}})", R"({"capacity": {"cpus": 4}})",
        R"({"attempts": [{"state": "dnoe"}]})"}) {
    const http::Answer answer = SharedHarness().Send(
        {"POST",
         "/v1/workers/w/heartbeat",
         {{"Authorization", std::string("Bearer ") + kSecret}},
         body});
    EXPECT_EQ(answer.status, 400) << body << "\n" << answer.body;
  }
}

}  // namespace
}  // namespace sassafras::entry
