// Tests admissions of non-idempotent requests: single cases, and random
// commands compared with a naive model.

#include <map>
#include <set>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell.h"

namespace sassafras::state {
namespace {

using wire::AdmissionState;
using wire::CommandResult;
using wire::ResultCode;

constexpr int64_t kRetentionMs = 100;

struct AdmissionCell : Cell {
  AdmissionCell() {
    PutSection("platform", 0, kTwoOwners);
    Begin("e1", "r1");
    Begin("e2", "r1");
  }

  CommandResult Begin(const std::string& entry, const std::string& run) {
    return ApplyCommand(wire::BeginEntry{wire::EntryId(entry),
                                         wire::Incarnation(run),
                                         wire::ZoneId("a"), at_ms});
  }
  CommandResult End(const std::string& entry, const std::string& run) {
    return ApplyCommand(
        wire::EndEntry{wire::EntryId(entry), wire::Incarnation(run), at_ms});
  }
  CommandResult Admit(const std::string& key,
                      const std::string& entry,
                      const std::string& run,
                      const std::string& owner = "akt",
                      const std::string& digest = "d",
                      uint64_t serial = 0) {
    return ApplyCommand(
        wire::Admit{wire::RequestKey(key), wire::OwnerId(owner),
                    wire::ServiceId("hold"), digest, wire::EntryId(entry),
                    wire::Incarnation(run), serial, at_ms, kRetentionMs});
  }
  CommandResult Close(const std::string& key,
                      const std::string& entry,
                      const std::string& run,
                      AdmissionState outcome,
                      size_t answer_bytes = 3,
                      uint64_t serial = 0) {
    wire::CloseAdmission close;
    close.key = wire::RequestKey(key);
    close.owner = wire::OwnerId("akt");
    close.entry = wire::EntryId(entry);
    close.incarnation = wire::Incarnation(run);
    close.serial = serial;
    close.outcome = outcome;
    close.answer.status = 201;
    close.answer.body.resize(answer_bytes, 'x');
    close.at_ms = at_ms;
    return ApplyCommand(close);
  }
  AdmissionState StateOf(const std::string& key) const {
    return machine.FindAdmission(wire::OwnerId("akt"), wire::RequestKey(key))
        ->state;
  }
};

TEST(AdmissionTest, SecondEntryAttachesToTheFirst) {
  AdmissionCell cell;
  EXPECT_EQ(cell.Admit("k", "e1", "r1").code, ResultCode::kOk);
  EXPECT_EQ(cell.Admit("k", "e1", "r1").code, ResultCode::kOk);
  const auto second = cell.Admit("k", "e2", "r1");
  EXPECT_EQ(second.code, ResultCode::kDuplicate);
  EXPECT_EQ(second.details,
            nlohmann::json(
                {{"state", "open"}, {"entry", "e1"}, {"incarnation", "r1"}}));
  EXPECT_EQ(cell.Close("k", "e2", "r1", AdmissionState::kNotRun).code,
            ResultCode::kStale);
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kCompleted).code,
            ResultCode::kOk);
  const auto resend = cell.Admit("k", "e2", "r1");
  EXPECT_EQ(resend.code, ResultCode::kDuplicate);
  EXPECT_EQ(resend.details["state"], "completed");
  EXPECT_EQ(resend.details["answer"]["status"], 201);
}

TEST(AdmissionTest, EndOfARunClosesItsOpenAdmissionsAsUnknown) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1");
  cell.Admit("l", "e1", "r1");
  EXPECT_EQ(cell.End("e1", "r1").details["unknown"], 2);
  EXPECT_EQ(cell.Admit("k", "e2", "r1").details["state"], "unknown");
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kNotRun).code,
            ResultCode::kStale);
  EXPECT_EQ(cell.StateOf("k"), AdmissionState::kUnknown);
  EXPECT_EQ(cell.Begin("e1", "r1").code, ResultCode::kStale);
}

TEST(AdmissionTest, NewRunEndsTheOldOne) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1");
  cell.Begin("e1", "r2");
  EXPECT_EQ(cell.StateOf("k"), AdmissionState::kUnknown);
  EXPECT_EQ(cell.Begin("e1", "r1").code, ResultCode::kStale);
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kCompleted).code,
            ResultCode::kStale);
}

TEST(AdmissionTest, LateAdmitOfAnEndedRunIsStale) {
  AdmissionCell cell;
  cell.End("e1", "r1");
  EXPECT_EQ(cell.Admit("k", "e1", "r1").code, ResultCode::kStale);
  EXPECT_TRUE(cell.machine.admissions().empty());
}

TEST(AdmissionTest, KeyClosedAsNotRunMayBeAdmittedAgain) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1");
  cell.Close("k", "e1", "r1", AdmissionState::kNotRun);
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kNotRun).code,
            ResultCode::kDuplicate);
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kCompleted).code,
            ResultCode::kConflict);
  EXPECT_EQ(cell.Admit("k", "e2", "r1").code, ResultCode::kOk);
  EXPECT_EQ(cell.Close("k", "e1", "r1", AdmissionState::kNotRun).code,
            ResultCode::kStale);
}

// A delayed duplicate of an Admit or CloseAdmission must not affect a later
// admission of the same key through the same entry.
TEST(AdmissionTest, DelayedDuplicatesDoNotAffectALaterAdmission) {
  AdmissionCell cell;
  const auto admit = [&](uint64_t serial) {
    return cell.Admit("k", "e1", "r1", "akt", "d", serial);
  };
  const auto close = [&](AdmissionState outcome, uint64_t serial) {
    return cell.Close("k", "e1", "r1", outcome, 3, serial).code;
  };
  EXPECT_EQ(admit(1).code, ResultCode::kOk);
  EXPECT_EQ(close(AdmissionState::kNotRun, 1), ResultCode::kOk);
  EXPECT_EQ(admit(1).code, ResultCode::kDuplicate);
  EXPECT_EQ(cell.StateOf("k"), AdmissionState::kNotRun);
  EXPECT_EQ(admit(2).code, ResultCode::kOk);
  EXPECT_EQ(close(AdmissionState::kNotRun, 1), ResultCode::kStale);
  EXPECT_EQ(cell.StateOf("k"), AdmissionState::kOpen);
  EXPECT_EQ(close(AdmissionState::kCompleted, 2), ResultCode::kOk);
}

TEST(AdmissionTest, DifferentRequestWithTheSameKeyIsRefused) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1", "akt", "d1");
  EXPECT_EQ(cell.Admit("k", "e1", "r1", "akt", "d2").code,
            ResultCode::kConflict);
}

TEST(AdmissionTest, KeysOfDifferentOwnersAreIndependent) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1", "akt", "d1");
  cell.Close("k", "e1", "r1", AdmissionState::kCompleted);
  EXPECT_EQ(cell.Admit("k", "e2", "r1", "skeem", "d2").code, ResultCode::kOk);
}

TEST(AdmissionTest, ResendAfterRetentionIsANewRequest) {
  AdmissionCell cell;
  cell.Admit("k", "e1", "r1");
  cell.Admit("open", "e1", "r1");
  cell.Close("k", "e1", "r1", AdmissionState::kCompleted);
  cell.ApplyCommand(wire::Expire{cell.at_ms + kRetentionMs - 1});
  EXPECT_EQ(cell.Admit("k", "e2", "r1").code, ResultCode::kDuplicate);
  EXPECT_EQ(cell.ApplyCommand(wire::Expire{cell.at_ms + kRetentionMs})
                .details["admissions"],
            1);
  EXPECT_EQ(cell.Admit("k", "e2", "r1").code, ResultCode::kOk);
  EXPECT_EQ(cell.Admit("open", "e2", "r1").code, ResultCode::kDuplicate);
}

TEST(AdmissionTest, AdmissionsPerOwnerAreLimited) {
  AdmissionCell cell;
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(cell.Admit(std::to_string(n), "e1", "r1").code, ResultCode::kOk);
  }
  EXPECT_EQ(cell.Admit("20", "e1", "r1").code, ResultCode::kForbidden);
  EXPECT_EQ(cell.Admit("20", "e1", "r1", "skeem").code, ResultCode::kOk);
}

TEST(AdmissionTest, BodyOfTooLargeAnswerIsNotStored) {
  AdmissionCell cell;
  cell.PutSection("akt", 0, "[services.hold]\nmax_answer_bytes = 10\n");
  cell.Admit("k", "e1", "r1");
  cell.Close("k", "e1", "r1", AdmissionState::kCompleted, 11);
  const auto resend = cell.Admit("k", "e2", "r1");
  EXPECT_EQ(resend.details["answer"]["is_body_kept"], false);
  EXPECT_EQ(resend.details["answer"]["status"], 201);
}

// --- Comparison with a naive model that has no indexes ---

struct NaiveAdmissions {
  struct Record {
    std::string digest;
    std::string run;  // "entry/incarnation"
    AdmissionState state = AdmissionState::kOpen;
    base::WallMs closed_ms = 0;
  };
  std::map<std::string, Record> records;
  // The live run of each entry.
  std::map<std::string, std::string> live = {{"e1", "r1"}, {"e2", "r1"}};
  std::set<std::string> ended;  // "entry/incarnation"
  base::WallMs clock_ms = 0;

  bool IsLive(const std::string& entry, const std::string& run) const {
    const auto it = live.find(entry);
    return it != live.end() && it->second == run;
  }

  void CloseAll(const std::string& run) {
    for (auto& [key, record] : records) {
      if (record.run == run && record.state == AdmissionState::kOpen) {
        record.state = AdmissionState::kUnknown;
        record.closed_ms = clock_ms;
      }
    }
  }

  ResultCode Begin(const std::string& entry, const std::string& run) {
    if (ended.contains(entry + "/" + run)) {
      return ResultCode::kStale;
    }
    if (live.contains(entry) && live[entry] != run) {
      End(entry, live[entry]);
    }
    live[entry] = run;
    return ResultCode::kOk;
  }

  ResultCode End(const std::string& entry, const std::string& run) {
    if (!IsLive(entry, run)) {
      return ResultCode::kStale;
    }
    CloseAll(entry + "/" + run);
    ended.insert(entry + "/" + run);
    live.erase(entry);
    return ResultCode::kOk;
  }

  ResultCode Admit(const std::string& key,
                   const std::string& entry,
                   const std::string& run,
                   const std::string& digest) {
    if (!IsLive(entry, run)) {
      return ResultCode::kStale;
    }
    const std::string admitting_run = entry + "/" + run;
    const auto it = records.find(key);
    if (it == records.end()) {
      records[key] = {digest, admitting_run, AdmissionState::kOpen, 0};
      return ResultCode::kOk;
    }
    if (it->second.digest != digest) {
      return ResultCode::kConflict;
    }
    if (it->second.state == AdmissionState::kNotRun) {
      it->second = {digest, admitting_run, AdmissionState::kOpen, 0};
      return ResultCode::kOk;
    }
    const bool is_repeat = it->second.state == AdmissionState::kOpen &&
                           it->second.run == admitting_run;
    return is_repeat ? ResultCode::kOk : ResultCode::kDuplicate;
  }

  ResultCode Close(const std::string& key,
                   const std::string& entry,
                   const std::string& run,
                   AdmissionState outcome) {
    const auto it = records.find(key);
    if (it == records.end()) {
      return ResultCode::kNotFound;
    }
    if (!IsLive(entry, run) || it->second.run != entry + "/" + run) {
      return ResultCode::kStale;
    }
    if (it->second.state != AdmissionState::kOpen) {
      return it->second.state == outcome ? ResultCode::kDuplicate
                                         : ResultCode::kConflict;
    }
    it->second.state = outcome;
    it->second.closed_ms = clock_ms;
    return ResultCode::kOk;
  }

  void Expire() {
    std::erase_if(records, [&](const auto& it) {
      return it.second.state != AdmissionState::kOpen &&
             it.second.closed_ms + kRetentionMs <= clock_ms;
    });
  }
};

// Applies one random command to both; returns the two result codes.
std::pair<ResultCode, ResultCode> Step(AdmissionCell& cell,
                                       NaiveAdmissions& naive) {
  const auto entry = *rc::gen::element<std::string>("e1", "e2");
  const auto run = *rc::gen::element<std::string>("r1", "r2", "r3");
  const auto key = *rc::gen::element<std::string>("a", "b", "c");
  cell.at_ms += *rc::gen::inRange(0, 30);
  naive.clock_ms = cell.at_ms;
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      return {cell.Begin(entry, run).code, naive.Begin(entry, run)};
    case 1:
      return {cell.End(entry, run).code, naive.End(entry, run)};
    case 2:
      cell.ApplyCommand(wire::Expire{cell.at_ms});
      naive.Expire();
      return {ResultCode::kOk, ResultCode::kOk};
    case 3:
    case 4:
    case 5:
    case 6: {
      const auto outcome =
          *rc::gen::element(AdmissionState::kCompleted, AdmissionState::kNotRun,
                            AdmissionState::kUnknown);
      return {cell.Close(key, entry, run, outcome).code,
              naive.Close(key, entry, run, outcome)};
    }
    default: {
      const std::string digest = *rc::gen::inRange(0, 8) == 0 ? "d2" : "d1";
      return {cell.Admit(key, entry, run, "akt", digest).code,
              naive.Admit(key, entry, run, digest)};
    }
  }
}

RC_GTEST_PROP(AdmissionProperty, MatchesNaiveModel, ()) {
  AdmissionCell cell;
  NaiveAdmissions naive;
  const int steps = *rc::gen::inRange(1, 120);
  for (int n = 0; n < steps; ++n) {
    const auto [real, expected] = Step(cell, naive);
    RC_ASSERT(nlohmann::json(real) == nlohmann::json(expected));
    RC_ASSERT(cell.machine.admissions().size() == naive.records.size());
    for (const auto& [key, record] : naive.records) {
      const AdmissionRecord* it = cell.machine.FindAdmission(
          wire::OwnerId("akt"), wire::RequestKey(key));
      RC_ASSERT(it != nullptr);
      RC_ASSERT(nlohmann::json(it->state) == nlohmann::json(record.state));
      RC_ASSERT(it->entry.str() + "/" + it->incarnation.str() == record.run);
    }
  }
}

}  // namespace
}  // namespace sassafras::state
