// The renewal loop. At most one renewal is outstanding, so that answers arrive
// in order.

#include "session_keeper.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "telemetry/log.h"
#include "wire/codec.h"

namespace sassafras::entry {
namespace {

// Number of renewals sent within the lifetime of a session, so that the session
// survives the loss of some of them.
constexpr int kRenewalsPerSession = 6;

}  // namespace

SessionKeeper::SessionKeeper(const settings::Settings& settings,
                             const boost::asio::any_io_executor& strand,
                             cluster::Client& client,
                             Callbacks callbacks)
    : renewal_delay_(settings.timing.session / kRenewalsPerSession),
      call_timeout_(settings.timing.session / 2),
      strand_(strand),
      client_(client),
      callbacks_(std::move(callbacks)),
      timer_(strand) {}

void SessionKeeper::Start() {
  Renew();
}

void SessionKeeper::Stop() {
  is_stopped_ = true;
  timer_.cancel();
  callbacks_ = {};
}

void SessionKeeper::Renew() {
  if (is_stopped_) {
    return;
  }
  const base::Instant sent_at = kernel::MonotonicNow();
  wire::EntryRenewal renewal = callbacks_.build_renewal();
  const auto current = document_.load();
  renewal.document_version = current ? current->version() : wire::Version();
  client_.Call(
      "renew", {{"renewal", renewal}}, call_timeout_, cluster::Resend::kNo,
      [self = shared_from_this(), sent_at](const wire::ControlReply& reply) {
        boost::asio::post(self->strand_, [self, reply, sent_at] {
          self->OnReply(reply, sent_at);
        });
      });
}

void SessionKeeper::OnReply(const wire::ControlReply& reply,
                            base::Instant sent_at) {
  if (is_stopped_) {
    return;
  }
  if (reply.status == wire::ReplyStatus::kOk) {
    if (reply.body.value("ended", false)) {
      callbacks_.on_incarnation_ended();
    } else {
      UpdateDocument(reply.body);
      wire::CodecReason why;
      const auto answer = wire::FromValue<wire::EntryAnswer>(
          reply.body.value("answer", nlohmann::json()), why);
      if (answer) {
        callbacks_.on_answer(*answer, sent_at);
      }
    }
  }
  ScheduleRenewal();
}

void SessionKeeper::UpdateDocument(const nlohmann::json& body) {
  const auto value = body.find("document");
  const auto current = document_.load();
  if (value == body.end()) {
    if (!current) {
      // The cluster has no document yet, so an empty one is in force.
      document_.store(std::make_shared<const document::Document>());
    }
    return;
  }
  document::DocumentReason why;
  auto parsed = document::Document::FromValue(*value, why);
  if (!parsed) {
    telemetry::Log(
        telemetry::LogLevel::kError,
        "failed to parse the document from the control leader: " + why.message);
    return;
  }
  if (current && parsed->version() <= current->version()) {
    return;
  }
  document_.store(
      std::make_shared<const document::Document>(*std::move(parsed)));
  callbacks_.on_document(*document_.load());
}

void SessionKeeper::ScheduleRenewal() {
  timer_.expires_after(renewal_delay_);
  timer_.async_wait([self = shared_from_this()](auto ec) {
    if (!ec) {
      self->Renew();
    }
  });
}

}  // namespace sassafras::entry
