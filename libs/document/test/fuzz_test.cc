// Fuzz tests of the decoders of the document: sections in TOML and snapshot
// values.

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "document/document.h"

namespace sassafras::document {
namespace {

constexpr std::string_view kPlatformText = R"(
[owners.akt]
weight = 2
quota = { milli_cpus = 64000, memory_mib = 131072, accelerators = 0 }
[sections.akt]
owner = "akt"
[limits]
change_retention_ms = 60000
)";

constexpr std::string_view kTeamText = R"(
[services.clauses]
timeout_ms = 2000
priority = "urgent"
[workloads.validator]
instances = 3
milli_cpus = 500
memory_mib = 256
)";

wire::CommandResult Put(Document& document,
                        std::string_view section,
                        std::string text) {
  wire::PutSection put;
  put.section = wire::SectionId(std::string(section));
  const Section* current = document.Find(put.section);
  put.base = current != nullptr ? current->version : wire::Version();
  put.change = wire::ChangeId(std::to_string(document.version().value()));
  put.is_platform = section == kPlatformSection;
  put.editor_owner = wire::OwnerId(std::string(section));
  put.editor = "op";
  put.text = std::move(text);
  return document.Put(put);
}

// Checks that a text is accepted, or rejected with a message and at least one
// error while the document stays unchanged.
void CheckAcceptedOrRejected(std::string_view section,
                             const std::string& text) {
  Document document;
  Put(document, kPlatformSection, std::string(kPlatformText));
  const Document before = document;
  const auto result = Put(document, section, text);
  if (result.code == wire::ResultCode::kOk) {
    return;
  }
  RC_ASSERT(result.code == wire::ResultCode::kInvalid);
  RC_ASSERT(!result.message.empty());
  RC_ASSERT(!result.details.at("errors").empty());
  RC_ASSERT(document == before);
}

TEST(SectionFuzz, SamplesAreAccepted) {
  Document document;
  for (const auto& [section, text] :
       {std::pair(kPlatformSection, kPlatformText),
        std::pair(std::string_view("akt"), kTeamText)}) {
    const auto result = Put(document, section, std::string(text));
    EXPECT_EQ(result.code, wire::ResultCode::kOk) << result.details;
  }
}

RC_GTEST_PROP(SectionFuzz, ArbitraryTextIsAcceptedOrRejected, ()) {
  CheckAcceptedOrRejected(kPlatformSection, fuzz::Bytes());
  CheckAcceptedOrRejected("akt", fuzz::Bytes());
}

RC_GTEST_PROP(SectionFuzz, BrokenTextIsAcceptedOrRejected, ()) {
  CheckAcceptedOrRejected(kPlatformSection,
                          fuzz::Broken(std::string(kPlatformText)));
  CheckAcceptedOrRejected("akt", fuzz::Broken(std::string(kTeamText)));
}

// Each text nests as deeply as the maximum section size allows.
TEST(SectionFuzz, DeepNestingIsRejected) {
  const auto repeat = [](std::string_view part, std::string_view end) {
    std::string text;
    while (text.size() + part.size() + end.size() < kMaxSectionBytes) {
      text += part;
    }
    return text.append(end);
  };
  for (const std::string& text :
       {repeat("a.", "a = 1"), "[" + repeat("a.", "a]"),
        "a = " + repeat("[", ""), "a = " + repeat("{a=", ""),
        "a = { " + repeat("a.", "a = 1 }"), "[[" + repeat("a.", "a]]"),
        "a = {b = \"\"\"x\"\"\"\", " + repeat("a.", "a = 1}"),
        "a = {b = 'x', " + repeat("'a' . ", "a = 1}")}) {
    Document document;
    const auto result = Put(document, kPlatformSection, text);
    EXPECT_EQ(result.code, wire::ResultCode::kInvalid) << text.substr(0, 9);
  }
}

TEST(SectionFuzz, DotsOutsideKeysAreNotLimited) {
  const std::string dots(100, '.');
  Document document;
  const auto result = Put(document, kPlatformSection,
                          "# " + dots + "\n[owners.akt]\nnote = \"\"\"\n" +
                              dots + "\\\"\"\"\"\nother = '" + dots + "'\n");
  ASSERT_EQ(result.code, wire::ResultCode::kInvalid);
  for (const auto& it : result.details.at("errors")) {
    EXPECT_NE(it.at("message").get<std::string>().find("unknown"),
              std::string::npos)
        << it;
  }
}

RC_GTEST_PROP(DocumentFuzz, BrokenValuesAreRejectedWithReason, ()) {
  Document document;
  Put(document, kPlatformSection, std::string(kPlatformText));
  Put(document, "akt", std::string(kTeamText));
  const std::string bytes = wire::ToCborBytes(document.ToValue());
  wire::CodecReason codec_why;
  const auto value = wire::ParseCbor(fuzz::Broken(bytes), codec_why);
  for (const auto& it :
       {value.value_or(nullptr), fuzz::Like(document.ToValue())}) {
    DocumentReason why;
    const auto read = Document::FromValue(it, why);
    RC_ASSERT(read || !why.message.empty());
    RC_ASSERT(read || why.code == DocumentError::kBadSnapshot);
  }
}

}  // namespace
}  // namespace sassafras::document
