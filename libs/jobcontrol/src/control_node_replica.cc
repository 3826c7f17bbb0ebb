// Connects the job table with the replication driver, and gives the leader what
// it needs from this process.

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "control_node_impl.h"
#include "jobcontrol/advice_host.h"
#include "telemetry/decision.h"
#include "telemetry/log.h"
#include "wire/codec.h"

namespace sassafras::jobcontrol {
namespace {

constexpr auto kConsensusCallTimeout = std::chrono::seconds(1);
// Hosts that sent no hello for this long get no placement queries.
constexpr auto kAdviserTimeout = std::chrono::milliseconds(1500);

using telemetry::Decision;
using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

void ControlNode::Impl::Receive(const std::string& body) {
  wire::CodecReason why;
  auto message = wire::DecodeCbor<consensus::Message>(body, why);
  if (!message) {
    Log(LogLevel::kWarning,
        "ignored a consensus message that cannot be decoded: " + why.message);
    return;
  }
  driver_->Receive(*std::move(message));
}

bool ControlNode::Impl::Restore(const std::string& bytes, std::string& why) {
  jobs::TableReason table_why;
  auto table = jobs::JobTable::FromSnapshot(bytes, table_why);
  if (!table) {
    why = table_why.message;
    return false;
  }
  table_ = *std::move(table);
  CompleteManifest();
  history_.OnRestored(table_, Now());
  manifest_source_.Reset(table_.manifest());
  return true;
}

void ControlNode::Impl::CompleteManifest() {
  std::string why;
  if (!table_.CompleteManifest(read_manifest_, why)) {
    Log(LogLevel::kError, "cannot read the recorded manifest again: " + why);
  }
}

void ControlNode::Impl::Apply(const consensus::Record& record) {
  std::shared_ptr<const jobs::Batch> batch = std::exchange(proposed_, {});
  if (!batch || proposed_bytes_ != record.payload) {
    wire::CodecReason why;
    auto decoded = wire::DecodeCbor<jobs::Batch>(record.payload, why);
    if (!decoded) {
      Log(LogLevel::kError,
          "skipped a committed record that cannot be decoded: " + why.message);
      return;
    }
    batch = std::make_shared<const jobs::Batch>(*std::move(decoded));
  }
  proposed_bytes_.clear();
  changes_.Append(table_.Apply(*batch));
  CompleteManifest();
  has_changes_ = true;
  manifest_source_.OnManifest(table_.manifest());
}

void ControlNode::Impl::OnBatchApplied() {
  if (is_leading_ && !leader_) {
    Defer([self = shared_from_this()] { self->BeginTermIfReady(); });
  }
  if (!std::exchange(has_changes_, false)) {
    return;
  }
  const jobs::Changes changes = std::exchange(changes_, {});
  history_.OnApplied(changes, table_, Now());
  if (leader_) {
    leader_->OnApplied(changes);
  }
}

void ControlNode::Impl::OnRole(const consensus::RoleChange& change) {
  Decision("role")
      .With("role", static_cast<int>(change.role))
      .With("term", change.term)
      .With("leader", change.leader.name)
      .Write();
  leader_.reset();
  group_->OnRole();
  copy_support_.OnRole();
  is_leading_ = change.role == consensus::Role::kLeader;
  worker_link_->EndTerm();
  if (is_leading_) {
    SetFleet();
    worker_link_->BeginTerm(replica().GetTerm().value());
  }
}

void ControlNode::Impl::Send(const consensus::Message& message) {
  peers_.Call(message.to.name, "consensus", wire::EncodeCbor(message),
              kConsensusCallTimeout, [](auto&&, auto&&) {});
}

void ControlNode::Impl::Record(std::shared_ptr<const jobs::Batch> batch,
                               RecordDone done) {
  proposed_bytes_ = wire::EncodeCbor(*batch);
  proposed_ = std::move(batch);
  driver_->Propose(proposed_bytes_, [done = std::move(done)](
                                        const consensus::Resolved& resolved) {
    using enum consensus::Outcome;
    done(resolved.outcome == kCommitted ? RecordResult::kRecorded
         : resolved.outcome == kNotRun  ? RecordResult::kNotRecorded
                                        : RecordResult::kUnknown);
  });
}

std::vector<wire::EntryId> ControlNode::Impl::LiveAdvisers(base::Instant now) {
  std::vector<wire::EntryId> advisers{self_};
  for (const auto& [name, last_seen] : adviser_last_seen_) {
    if (name != self_ && now - last_seen < kAdviserTimeout) {
      advisers.push_back(name);
    }
  }
  return advisers;
}

void ControlNode::Impl::QueryAdvice(const wire::EntryId& host,
                                    const jobs::AdviceQuery& query,
                                    base::Duration timeout,
                                    AdviceDone done) {
  if (host == self_) {
    direct_link_.QueryAdvice(query, timeout, std::move(done));
    return;
  }
  peers_.Call(
      host, kAdviseMethod, wire::EncodeCbor(query), timeout,
      [done = std::move(done)](std::optional<std::string> body,
                               const peer::CallReason&) {
        wire::CodecReason why;
        done(body ? wire::DecodeCbor<std::vector<jobs::Permit>>(*body, why)
                  : std::nullopt);
      });
}

void ControlNode::Impl::Barrier(std::function<void(bool passed)> done) {
  driver_->Barrier(std::move(done));
}

void ControlNode::Impl::Defer(std::function<void()> then) {
  boost::asio::post(kernel_.control(), std::move(then));
}

std::optional<base::Instant> ControlNode::Impl::LeadershipConfirmedAt() const {
  return confirmed_leadership_.At(replica().LeadershipConfirmedAt(), Now(),
                                  kernel::SuspendedTime());
}

}  // namespace sassafras::jobcontrol
