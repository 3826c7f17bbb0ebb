// Tests of section parsing: typed content, and errors with line and column.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "document/document.h"

namespace sassafras::document {
namespace {

using wire::CommandResult;
using wire::ResultCode;

// SHA-256 of "secret-of-mari".
constexpr char kHash[] =
    "f598968d9bae602d2ae3f04330937e6aa198d32460cdba114f66d7a7fda35475";

std::string PlatformText() {
  return std::string(R"(
[owners.akt]
weight = 2
quota = { milli_cpus = 64000, memory_mib = 131072, accelerators = 0 }
[owners.skeem]
[sections.akt]
owner = "akt"
[sections.skeem]
owner = "skeem"
[[tokens]]
name = "mari"
role = "operator"
owner = "akt"
sha256 = ")") +
         kHash + "\"\n";
}

CommandResult PutText(Document& document,
                      const std::string& section,
                      const std::string& text) {
  wire::PutSection put;
  put.section = wire::SectionId(section);
  const Section* current = document.Find(put.section);
  put.base = current != nullptr ? current->version : wire::Version();
  put.change =
      wire::ChangeId("change-" + std::to_string(document.version().value()));
  put.is_platform = section == kPlatformSection;
  put.editor_owner = wire::OwnerId(section);
  put.editor = "operator";
  put.text = text;
  return document.Put(put);
}

Document DocumentWithTwoTeams() {
  Document document;
  EXPECT_EQ(PutText(document, "platform", PlatformText()).code,
            ResultCode::kOk);
  return document;
}

// Returns "line:column message" of each error.
std::vector<std::string> ErrorsOf(const CommandResult& result) {
  std::vector<std::string> lines;
  if (result.code == ResultCode::kInvalid) {
    for (const auto& it : result.details["errors"]) {
      lines.push_back(it["line"].dump() + ":" + it["column"].dump() + " " +
                      it["message"].get<std::string>());
    }
  }
  return lines;
}

using Lines = std::vector<std::string>;

TEST(SectionParseTest, TeamSectionBecomesServicesAndWorkloads) {
  Document document = DocumentWithTwoTeams();
  const auto result = PutText(document, "akt", R"(
[workloads.checks]
kind = "service"
instances = 3
milli_cpus = 2000
memory_mib = 4096
priority = "urgent"
payload = "run checks"
[services.checks]
timeout_ms = 2000
callers = ["skeem", "akt"]
)");
  ASSERT_EQ(result.code, ResultCode::kOk) << result.details;
  const Workload& workload = document.workloads().at(0);
  EXPECT_EQ(workload.job_id().str(), "service:akt/checks");
  EXPECT_EQ(workload.instances, 3u);
  EXPECT_EQ(workload.per_instance, (wire::Resources{2000, 4096, 0}));
  EXPECT_EQ(workload.priority, wire::Priority::kUrgent);
  const ServicePolicy* service =
      document.FindService(wire::ServiceId("checks"));
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->timeout_ms, 2000);
  EXPECT_EQ(service->callers,
            (std::vector<wire::OwnerId>{wire::OwnerId("akt"),
                                        wire::OwnerId("skeem")}));
}

TEST(SectionParseTest, EveryErrorIsListedWithLineAndColumn) {
  Document document = DocumentWithTwoTeams();
  const auto result = PutText(document, "akt", R"([workloads.web]
kind = "batch"
instances = "three"
milli_cpus = 0
colour = "red"
[services.web]
timeout_ms = 700000
callers = ["nobody"]
[owners.akt]
weight = 100
)");
  std::string lines;
  for (const std::string& it : ErrorsOf(result)) {
    lines += it + "\n";
  }
  EXPECT_EQ(lines, R"(1:1 "workloads.web.memory_mib" is missing
2:8 "workloads.web.kind" is "batch", must be service; batch and gang work is submitted as jobs
3:13 "workloads.web.instances" must be an integer, not a string
4:14 "workloads.web.milli_cpus" is 0, must be 1 to 1000000000
5:1 unknown key "workloads.web.colour"
7:14 "services.web.timeout_ms" is 700000, must be 1 to 600000
8:12 caller "nobody" is not a declared owner
9:2 unknown key "owners"
)");
}

TEST(SectionParseTest, ErrorsAfterSyntaxErrorAreReported) {
  Document document = DocumentWithTwoTeams();
  const auto result = PutText(document, "akt", R"([workloads.web]
instances = = 3
milli_cpus = 1
memory_mib = 1
[services.web
timeout_ms = 0
[services.api]
timeout_ms = 0
)");
  const auto errors = ErrorsOf(result);
  ASSERT_EQ(errors.size(), 3u) << result.details;
  EXPECT_TRUE(errors[0].starts_with("2:13 ")) << errors[0];
  EXPECT_TRUE(errors[1].starts_with("5:")) << errors[1];
  EXPECT_TRUE(errors[2].starts_with("8:14 ")) << errors[2];
}

TEST(SectionParseTest, WorkloadAboveQuotaIsRejected) {
  Document document = DocumentWithTwoTeams();
  const auto result = PutText(document, "akt",
                              "[workloads.web]\ninstances = 33\n"
                              "milli_cpus = 2000\nmemory_mib = 1\n");
  EXPECT_EQ(
      ErrorsOf(result),
      (Lines{"3:14 \"workloads.web\" needs 66000 milli_cpus in total, the "
             "quota of owner \"akt\" is 64000"}));
}

TEST(SectionParseTest, InstancesPerSectionAreLimited) {
  Document document = DocumentWithTwoTeams();
  std::string text;
  for (const std::string name : {"a", "b", "c"}) {
    text += "[workloads." + name +
            "]\ninstances = 10000\nmilli_cpus = 1\nmemory_mib = 1\n";
  }
  EXPECT_EQ(
      ErrorsOf(PutText(document, "skeem", text)),
      (Lines{"10:13 the section has more than 20000 instances in total"}));
}

TEST(SectionParseTest, ServiceNameOfAnotherSectionIsRejected) {
  Document document = DocumentWithTwoTeams();
  PutText(document, "skeem", "[services.map]\n");
  const auto result = PutText(document, "akt", "[services.map]\n");
  EXPECT_EQ(ErrorsOf(result),
            (Lines{"1:1 the service name \"map\" is used by another section"}));
}

TEST(SectionParseTest, PlatformErrorsAreAllListed) {
  Document document;
  const auto result = PutText(document, "platform", R"([owners.akt]
weight = 0
quota = { milli_cpus = 1, memory = 2 }
[sections.akt]
owner = "other"
[sections.platform]
owner = "akt"
[[tokens]]
name = "mari"
role = "king"
sha256 = "12"
[limits]
job_retention_ms = true
)");
  const auto errors = ErrorsOf(result);
  EXPECT_EQ(errors.size(), 9u) << result.details;
  EXPECT_EQ(errors.at(0),
            "2:10 \"owners.akt.weight\" is 0, must be 1 to "
            "1000000");
  EXPECT_EQ(document.version(), wire::Version());
}

TEST(SectionParseTest, TokensAuthenticateByHash) {
  Document document = DocumentWithTwoTeams();
  const Identity* identity = document.Authenticate("secret-of-mari");
  ASSERT_NE(identity, nullptr);
  EXPECT_EQ(identity->name, "mari");
  EXPECT_EQ(identity->role, Role::kOperator);
  EXPECT_EQ(identity->owner, wire::OwnerId("akt"));
  EXPECT_EQ(document.Authenticate("secret-of-marj"), nullptr);
  EXPECT_EQ(document.Authenticate(kHash), nullptr);
  EXPECT_EQ(document.Authenticate(""), nullptr);
}

TEST(SectionParseTest, InvalidUtf8IsRejectedWithPrintableMessage) {
  Document document = DocumentWithTwoTeams();
  const auto result = PutText(document, "akt", "a = \"\xff\xfe\"\n\xff = 1\n");
  EXPECT_EQ(result.code, ResultCode::kInvalid);
  EXPECT_NO_THROW(result.details.dump());
}

// Texts built to exhaust the stack, the parser or the list of errors, which is
// cut after 200 errors with one final entry.
TEST(SectionParseTest, MaliciousTextsAreRejected) {
  Document document = DocumentWithTwoTeams();
  const std::string lines(kMaxSectionBytes - 1, '\n');
  EXPECT_EQ(PutText(document, "akt", std::string(100'000, '[')).code,
            ResultCode::kInvalid);
  EXPECT_EQ(PutText(document, "akt", "a = " + std::string(100'000, '[')).code,
            ResultCode::kInvalid);
  EXPECT_EQ(PutText(document, "akt", lines + "==").code, ResultCode::kInvalid);
  std::string keys;
  for (int n = 0; n < 1000; ++n) {
    keys += "k" + std::to_string(n) + " = 1\n";
  }
  EXPECT_EQ(ErrorsOf(PutText(document, "akt", keys)).size(), 201u);
}

}  // namespace
}  // namespace sassafras::document
