// Decision lines about members, learners and candidates without a quorum.

#include "membership_log.h"

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "telemetry/decision.h"

namespace sassafras::jobcontrol {
namespace {

using telemetry::Decision;

constexpr auto kReportPeriod = std::chrono::seconds(1);

std::string JoinNames(std::span<const consensus::Member> members) {
  std::string names;
  for (const consensus::Member& it : members) {
    names += names.empty() ? "" : ",";
    names += it.name.str();
  }
  return names;
}

// Until a learner is promoted, the cluster bears the loss of one voter less.
void ReportLearners(const consensus::Replica& replica) {
  for (const auto& member : replica.GetMembership().learners) {
    Decision("learner")
        .With("host", member.name)
        .With("replica", member.id)
        .With("match", replica.MatchOf(member.id).value_or(consensus::Index()))
        .With("last", replica.LastIndex())
        .Write();
  }
}

// A candidate that stays one lacks a quorum: too many of the voters don't
// answer or refuse.
void ReportCandidacy(const consensus::Replica& replica) {
  std::vector<consensus::Member> missing;
  for (const auto& voter : replica.GetMembership().voters) {
    if (!replica.Votes().contains(voter.id)) {
      missing.push_back(voter);
    }
  }
  Decision("no-quorum")
      .With("term", replica.GetTerm())
      .With("needed", replica.GetMembership().Quorum())
      .With("granted", replica.Votes().size())
      .With("missing", JoinNames(missing))
      .Write();
}

}  // namespace

void MembershipLog::Report(const consensus::Replica& replica,
                           base::Instant now) {
  ReportMembers(replica.GetMembership());
  if (now - last_report_ < kReportPeriod) {
    return;
  }
  last_report_ = now;
  if (replica.GetRole() == consensus::Role::kLeader) {
    ReportLearners(replica);
  }
  if (replica.GetRole() == consensus::Role::kCandidate) {
    ReportCandidacy(replica);
  }
}

void MembershipLog::ReportMembers(const consensus::Membership& members) {
  if (members == reported_) {
    return;
  }
  reported_ = members;
  Decision("membership")
      .With("voters", JoinNames(members.voters))
      .With("learners", JoinNames(members.learners))
      .With("quorum", members.Quorum())
      .Write();
}

}  // namespace sassafras::jobcontrol
