// Carries out decisions about the members of the group.

#include "group_keeper.h"

#include <utility>
#include <variant>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

}  // namespace

GroupKeeper::GroupKeeper(std::shared_ptr<cluster::ReplicaDriver> driver,
                         const GroupPolicy& policy)
    : driver_(std::move(driver)), policy_(policy) {}

std::shared_ptr<GroupKeeper> GroupKeeper::Create(
    std::shared_ptr<cluster::ReplicaDriver> driver,
    const GroupPolicy& policy) {
  return std::shared_ptr<GroupKeeper>(
      new GroupKeeper(std::move(driver), policy));
}

void GroupKeeper::Join(const consensus::Member& candidate) {
  const JoinAction action =
      DecideJoin(driver_->replica().GetMembership(), candidate);
  Decision("join")
      .With("host", candidate.name)
      .With("replica", candidate.id)
      .With("step", action.index())
      .Write();
  const auto ignore = [](const auto&) {};
  if (const auto* add = std::get_if<AddMember>(&action)) {
    driver_->AddLearner(add->member, ignore);
  } else if (const auto* remove = std::get_if<RemoveMember>(&action)) {
    driver_->Remove(remove->id, ignore);
  }
}

void GroupKeeper::OnStopping(const consensus::ReplicaId& replica,
                             bool is_stopping) {
  if (is_stopping) {
    stopping_.insert(replica);
  } else {
    stopping_.erase(replica);
  }
}

void GroupKeeper::OnRole() {
  stopping_.clear();
}

void GroupKeeper::Tick(base::Instant now) {
  if (driver_->replica().HasCommittedInTerm()) {
    ReplaceLostMember(now);
  }
  log_.Report(driver_->replica(), now);
}

void GroupKeeper::ReplaceLostMember(base::Instant now) {
  GroupView group = GroupView::Of(driver_->replica());
  group.stopping = stopping_;
  const LossAction action = DecideLoss(group, policy_, now);
  if (std::holds_alternative<PromoteSpare>(action)) {
    driver_->PromoteLearner();
  } else if (const auto* remove = std::get_if<RemoveMember>(&action)) {
    RemoveLostMember(remove->id);
  }
}

void GroupKeeper::RemoveLostMember(const consensus::ReplicaId& id) {
  if (is_removing_) {
    return;
  }
  Decision("remove-lost-member").With("replica", id).Write();
  is_removing_ = true;
  driver_->Remove(id, [weak = weak_from_this()](const auto&) {
    if (const auto self = weak.lock()) {
      self->is_removing_ = false;
    }
  });
}

}  // namespace sassafras::jobcontrol
