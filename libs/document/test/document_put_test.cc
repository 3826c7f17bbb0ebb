// Tests of Document::Put: versions, change ids, conflicts and isolation between
// owners, also compared with a simple reference model.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "document/document.h"

namespace sassafras::document {
namespace {

using wire::CommandResult;
using wire::PutSection;
using wire::ResultCode;

constexpr char kPlatformText[] = R"(
[owners.akt]
weight = 2
quota = { milli_cpus = 64000, memory_mib = 131072 }
[owners.skeem]
[sections.akt]
owner = "akt"
[sections.skeem]
owner = "skeem"
[limits]
change_retention_ms = 5000
)";

PutSection Put(const std::string& section,
               uint64_t base,
               const std::string& change,
               const std::string& owner,
               const std::string& text) {
  PutSection put;
  put.section = wire::SectionId(section);
  put.base = wire::Version(base);
  put.change = wire::ChangeId(change);
  put.editor_owner = wire::OwnerId(owner);
  put.editor = owner + "-op";
  put.text = text;
  put.at_ms = 1000;
  return put;
}

PutSection PlatformPut(uint64_t base,
                       const std::string& change,
                       const std::string& text) {
  PutSection put = Put("platform", base, change, "platform", text);
  put.is_platform = true;
  return put;
}

Document DocumentWithTwoTeams() {
  Document document;
  EXPECT_EQ(document.Put(PlatformPut(0, "p1", kPlatformText)).code,
            ResultCode::kOk);
  return document;
}

std::string Instances(int count) {
  return "[workloads.web]\nmilli_cpus = 1\nmemory_mib = 1\ninstances = " +
         std::to_string(count) + "\n";
}

TEST(DocumentPutTest, SecondPutWithSameBaseGetsConflictAndEditor) {
  Document document = DocumentWithTwoTeams();
  PutSection first = Put("akt", 0, "a", "akt", Instances(1));
  PutSection second = Put("akt", 0, "b", "akt", Instances(2));
  first.editor = "mari";
  EXPECT_EQ(document.Put(first).code, ResultCode::kOk);
  const CommandResult conflict = document.Put(second);
  EXPECT_EQ(conflict.code, ResultCode::kConflict);
  EXPECT_EQ(conflict.details,
            nlohmann::json({{"version", 1}, {"editor", "mari"}}));
  EXPECT_EQ(document.Find(wire::SectionId("akt"))->text, Instances(1));
}

TEST(DocumentPutTest, ResentChangeReturnsFirstResult) {
  Document document = DocumentWithTwoTeams();
  const PutSection put = Put("akt", 0, "a", "akt", Instances(1));
  const CommandResult first = document.Put(put);
  document.Put(Put("akt", 1, "b", "akt", Instances(2)));
  const CommandResult again = document.Put(put);
  EXPECT_EQ(again.code, ResultCode::kDuplicate);
  EXPECT_EQ(again.details, first.details);
  EXPECT_EQ(document.Find(wire::SectionId("akt"))->text, Instances(2));
}

TEST(DocumentPutTest, ChangeIdReusedForAnotherTextIsRejected) {
  Document document = DocumentWithTwoTeams();
  document.Put(Put("akt", 0, "a", "akt", Instances(1)));
  const CommandResult reused =
      document.Put(Put("akt", 1, "a", "akt", Instances(2)));
  EXPECT_EQ(reused.code, ResultCode::kConflict);
  EXPECT_TRUE(reused.details["change_reused"]);
}

TEST(DocumentPutTest, ResendOfExpiredChangeGetsConflict) {
  Document document = DocumentWithTwoTeams();
  const PutSection put = Put("akt", 0, "a", "akt", Instances(1));
  document.Put(put);
  document.ExpireChanges(6000);
  EXPECT_EQ(document.Put(put).code, ResultCode::kDuplicate);
  document.ExpireChanges(6001);
  EXPECT_EQ(document.Put(put).code, ResultCode::kConflict);
}

TEST(DocumentPutTest, ChangeIdLimitAppliesPerOwner) {
  Document document = DocumentWithTwoTeams();
  const PutSection put = Put("skeem", 0, "s", "skeem", Instances(1));
  document.Put(put);
  for (uint64_t n = 0; n <= kMaxChangesPerOwner; ++n) {
    document.Put(Put("akt", n, "a" + std::to_string(n), "akt", Instances(1)));
  }
  EXPECT_EQ(document.Put(put).code, ResultCode::kDuplicate);
  EXPECT_EQ(document.Put(Put("akt", 0, "a0", "akt", Instances(1))).code,
            ResultCode::kConflict);
}

TEST(DocumentPutTest, SectionOfAnotherOwnerIsNotFound) {
  Document document = DocumentWithTwoTeams();
  document.Put(Put("skeem", 0, "s", "skeem", Instances(1)));
  for (const std::string section : {"skeem", "platform", "nowhere"}) {
    const auto result = document.Put(Put(section, 1, "x", "akt", ""));
    EXPECT_EQ(result.code, ResultCode::kNotFound) << section;
    EXPECT_EQ(result.message, "section \"" + section + "\" does not exist");
    EXPECT_TRUE(result.details.is_null());
  }
  const Identity akt = {"op", Role::kOperator, wire::OwnerId("akt")};
  EXPECT_TRUE(document.VisibleTo(akt).empty());
  EXPECT_EQ(document.FindChange(wire::ChangeId("s"), akt), nullptr);
}

TEST(DocumentPutTest, PlatformCannotEditTeamSection) {
  Document document = DocumentWithTwoTeams();
  PutSection put = Put("akt", 0, "x", "platform", Instances(1));
  put.is_platform = true;
  EXPECT_EQ(document.Put(put).code, ResultCode::kForbidden);
}

TEST(DocumentPutTest, ReassignedSectionIsCleared) {
  Document document = DocumentWithTwoTeams();
  document.Put(Put("akt", 0, "a", "akt", Instances(1)));
  std::string text = kPlatformText;
  text.replace(text.find("owner = \"akt\""), 13, "owner = \"skeem\"");
  ASSERT_EQ(document.Put(PlatformPut(1, "p2", text)).code, ResultCode::kOk);
  EXPECT_EQ(document.Find(wire::SectionId("akt")), nullptr);
  EXPECT_TRUE(document.workloads().empty());
  EXPECT_EQ(document.ToValue().dump().find("instances"), std::string::npos);
  ASSERT_EQ(document.Put(PlatformPut(2, "p3", text + "\n")).code,
            ResultCode::kOk);
  const auto stale = document.Put(Put("akt", 0, "s", "skeem", Instances(1)));
  EXPECT_EQ(stale.code, ResultCode::kConflict);
  EXPECT_EQ(stale.details["version"], 2);
  EXPECT_EQ(document.Put(Put("akt", 2, "t", "skeem", Instances(1))).code,
            ResultCode::kOk);
  EXPECT_EQ(document.Find(wire::SectionId("akt"))->version, wire::Version(3));
}

TEST(DocumentPutTest, HistoryIsBounded) {
  Document document = DocumentWithTwoTeams();
  for (uint64_t n = 0; n < kMaxHistory + 5; ++n) {
    document.Put(Put("akt", n, "a" + std::to_string(n), "akt", Instances(1)));
  }
  const Section* section = document.Find(wire::SectionId("akt"));
  EXPECT_EQ(section->history.size(), kMaxHistory);
  EXPECT_EQ(section->history.back().version, section->version);
}

// --- comparison with a reference model of two sections ---

struct ReferenceDocument {
  struct Section {
    uint64_t version = 0;
    std::string editor;
    std::string text;
  };
  struct Accepted {
    std::string digest;
    uint64_t version;
    uint64_t document_version;
  };
  std::map<std::string, Section> sections;
  std::map<std::pair<std::string, std::string>, Accepted> accepted;
  uint64_t version = 1;  // the put of the platform section

  ResultCode Put(const PutSection& put, Accepted& result) {
    const std::string section = put.section.str();
    const std::string owner = put.editor_owner.str();
    if (section != owner) {
      return ResultCode::kNotFound;
    }
    const std::string digest = section + "|" + put.text;
    const auto known = accepted.find({owner, put.change.str()});
    if (known != accepted.end()) {
      result = known->second;
      return digest == result.digest ? ResultCode::kDuplicate
                                     : ResultCode::kConflict;
    }
    Section& current = sections[section];
    if (current.version != put.base.value()) {
      return ResultCode::kConflict;
    }
    if (put.text.find("instances = 9") != std::string::npos) {
      return ResultCode::kInvalid;
    }
    current = {current.version + 1, put.editor, put.text};
    result = {digest, current.version, ++version};
    accepted[{owner, put.change.str()}] = result;
    return ResultCode::kOk;
  }
};

PutSection RandomPut() {
  const auto name = rc::gen::element<std::string>("akt", "skeem");
  const int count = *rc::gen::inRange(0, 4);
  const bool is_bad = *rc::gen::inRange(0, 8) == 0;
  std::string text = Instances(count);
  if (is_bad) {
    text =
        "[workloads.web]\nmilli_cpus = 1\nmemory_mib = 1\n"
        "instances = 99999\n";
  }
  return Put(*name, *rc::gen::inRange<uint64_t>(0, 5),
             std::to_string(*rc::gen::inRange(0, 12)), *name, text);
}

RC_GTEST_PROP(DocumentPutProperty, MatchesReferenceModel, ()) {
  Document document = DocumentWithTwoTeams();
  ReferenceDocument reference;
  const int steps = *rc::gen::inRange(1, 80);
  for (int n = 0; n < steps; ++n) {
    const PutSection put = RandomPut();
    ReferenceDocument::Accepted expected;
    const ResultCode code = reference.Put(put, expected);
    const CommandResult result = document.Put(put);
    RC_ASSERT(nlohmann::json(result.code) == nlohmann::json(code));
    if (code == ResultCode::kOk || code == ResultCode::kDuplicate) {
      RC_ASSERT(result.details["version"] == expected.version);
      RC_ASSERT(result.details["document_version"] ==
                expected.document_version);
    }
    RC_ASSERT(document.version().value() == reference.version);
  }
  for (const auto& [name, section] : reference.sections) {
    const Section* actual = document.Find(wire::SectionId(name));
    RC_ASSERT((actual != nullptr) == (section.version > 0));
    if (actual != nullptr) {
      RC_ASSERT(actual->text == section.text);
      RC_ASSERT(actual->editor == section.editor);
    }
  }
}

RC_GTEST_PROP(DocumentPutProperty, SnapshotRestoresEqualDocument, ()) {
  Document document = DocumentWithTwoTeams();
  const int steps = *rc::gen::inRange(1, 20);
  for (int n = 0; n < steps; ++n) {
    document.Put(RandomPut());
  }
  DocumentReason why;
  auto copy = Document::FromValue(document.ToValue(), why);
  RC_ASSERT(copy.has_value());
  RC_ASSERT(*copy == document);
  const PutSection next = RandomPut();
  RC_ASSERT(nlohmann::json(copy->Put(next)) ==
            nlohmann::json(document.Put(next)));
  RC_ASSERT(copy->workloads().size() == document.workloads().size());
}

}  // namespace
}  // namespace sassafras::document
