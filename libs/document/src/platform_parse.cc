// Parses the platform section: owners, sections, tokens and limits.

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>

#include "document/document.h"
#include "section_parse.h"

namespace sassafras::document {
namespace {

// Of milli-CPUs, MiB of memory or accelerators in a quota.
constexpr int64_t kMaxQuotaAmount = 1'000'000'000'000;
constexpr Range kWeightRange = {1, 1'000'000};
constexpr Range kRetentionRangeMs = {1'000, 604'800'000};  // 1 s to 7 days
constexpr size_t kSha256HexBytes = 64;
// Half of kMaxSections, which also counts removed sections.
constexpr size_t kMaxDeclaredSections = kMaxSections / 2;

constexpr std::array<std::pair<std::string_view, Role>, 4> kRoles = {{
    {"caller", Role::kCaller},
    {"worker", Role::kWorker},
    {"operator", Role::kOperator},
    {"platform", Role::kPlatform},
}};

struct LimitField {
  std::string_view key;
  int64_t Limits::*member;
  Range range;
};
constexpr std::array<LimitField, 9> kLimitFields = {{
    {"answer_retention_ms", &Limits::answer_retention_ms, kRetentionRangeMs},
    {"job_retention_ms", &Limits::job_retention_ms, kRetentionRangeMs},
    {"change_retention_ms", &Limits::change_retention_ms, kRetentionRangeMs},
    {"worker_retention_ms", &Limits::worker_retention_ms, kRetentionRangeMs},
    {"max_tasks_per_owner", &Limits::max_tasks_per_owner, {1, 1'000'000}},
    {"max_ended_tasks_per_owner",
     &Limits::max_ended_tasks_per_owner,
     {1, 1'000'000}},
    {"max_ended_jobs_per_owner",
     &Limits::max_ended_jobs_per_owner,
     {1, 1'000'000}},
    {"max_answer_bytes_per_owner",
     &Limits::max_answer_bytes_per_owner,
     {0, 1 << 30}},
    {"max_admissions_per_owner",
     &Limits::max_admissions_per_owner,
     {1, 1'000'000}},
}};

// Parses the platform section table by table. Used for one parse.
class PlatformParser {
 public:
  PlatformParser(const ParsedText& text, ErrorList& errors)
      : text_(text), errors_(errors) {}

  PlatformContent Parse() {
    TableReader root(text_.table, "", text_, errors_);
    root.ForEachTable(
        "owners", [this](auto name, TableReader& it) { ParseOwner(name, it); });
    root.ForEachTable("sections", [this](auto name, TableReader& it) {
      ParseSection(name, it);
    });
    ParseTokens(root.ReadArray("tokens"));
    ParseLimits(root.ReadTable("limits"));
    root.Finish();
    std::ranges::sort(content_.owners, {}, &OwnerPolicy::owner);
    return std::move(content_);
  }

 private:
  void ParseOwner(std::string_view name, TableReader& reader) {
    OwnerPolicy policy;
    policy.owner = wire::OwnerId(std::string(name));
    reader.ReadInteger("weight", kWeightRange, policy.weight);
    if (const toml::table* quota = reader.ReadTable("quota")) {
      policy.quota = ParseQuota(*quota, reader.path() + ".quota");
    }
    content_.owners.push_back(std::move(policy));
  }

  wire::Resources ParseQuota(const toml::table& table,
                             const std::string& path) {
    TableReader reader(table, path, text_, errors_);
    wire::Resources quota;
    reader.Require("milli_cpus");
    reader.Require("memory_mib");
    reader.ReadInteger("milli_cpus", {0, kMaxQuotaAmount}, quota.milli_cpus);
    reader.ReadInteger("memory_mib", {0, kMaxQuotaAmount}, quota.memory_mib);
    reader.ReadInteger("accelerators", {0, kMaxQuotaAmount},
                       quota.accelerators);
    reader.Finish();
    return quota;
  }

  void ParseSection(std::string_view name, TableReader& reader) {
    if (name == kPlatformSection) {
      reader.AddError(
          "", "the section \"platform\" cannot be assigned to an owner");
    }
    if (content_.section_owners.size() == kMaxDeclaredSections) {
      reader.AddError("", "the platform section declares more than " +
                              std::to_string(kMaxDeclaredSections) +
                              " sections");
    }
    reader.Require("owner");
    const wire::OwnerId owner = ReadOwner(reader);
    content_.section_owners[wire::SectionId(std::string(name))] = owner;
  }

  // Returns the value of the key "owner", or an empty id if it is absent or
  // invalid. Reports an owner that is not declared.
  wire::OwnerId ReadOwner(TableReader& reader) {
    std::string owner;
    if (!reader.ReadString("owner", kMaxIdBytes, owner)) {
      return {};
    }
    const auto& owners = content_.owners;
    if (!text_.is_recovered &&
        std::ranges::find(owners, wire::OwnerId(owner), &OwnerPolicy::owner) ==
            owners.end()) {
      reader.AddError("owner", "owner \"" + owner + "\" is not declared");
    }
    return wire::OwnerId(owner);
  }

  void ParseTokens(const toml::array* tokens) {
    if (tokens == nullptr) {
      return;
    }
    for (const toml::node& node : *tokens) {
      if (const toml::table* table = node.as_table()) {
        TableReader reader(*table, "tokens", text_, errors_);
        ParseToken(reader);
        reader.Finish();
      } else {
        errors_.Add(node.source(),
                    "each element of \"tokens\" must be a table");
      }
    }
  }

  void ParseToken(TableReader& reader) {
    Identity identity;
    std::string sha256;
    std::ranges::for_each(std::array{"sha256", "role", "name"},
                          [&](const char* key) { reader.Require(key); });
    ReadHash(reader, sha256);
    ReadRole(reader, identity.role);
    ReadTokenName(reader, identity.name);
    identity.owner = ReadOwner(reader);
    const bool needs_owner =
        identity.role == Role::kCaller || identity.role == Role::kOperator;
    if (needs_owner) {
      reader.Require("owner");
    }
    content_.tokens.emplace_back(std::move(sha256), std::move(identity));
  }

  void ReadHash(TableReader& reader, std::string& sha256) {
    if (!reader.ReadString("sha256", kMaxIdBytes, sha256)) {
      return;
    }
    const auto is_hex = [](char it) {
      return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
    };
    if (sha256.size() != kSha256HexBytes ||
        !std::ranges::all_of(sha256, is_hex)) {
      reader.AddError("sha256",
                      "\"tokens.sha256\" must be 64 lower-case hex digits");
    } else if (!hashes_.insert(sha256).second) {
      reader.AddError("sha256", "another token has the same \"tokens.sha256\"");
    }
  }

  void ReadRole(TableReader& reader, Role& role) {
    std::string text;
    if (!reader.ReadString("role", kMaxIdBytes, text)) {
      return;
    }
    const auto* it = std::ranges::find(
        kRoles, text, &std::pair<std::string_view, Role>::first);
    if (it == kRoles.end()) {
      reader.AddError("role", "\"tokens.role\" is \"" + text +
                                  "\", must be caller, worker, operator "
                                  "or platform");
    } else {
      role = it->second;
    }
  }

  void ReadTokenName(TableReader& reader, std::string& name) {
    if (!reader.ReadString("name", kMaxIdBytes, name)) {
      return;
    }
    if (!IsValidName(name)) {
      reader.AddError("name",
                      "\"" + name +
                          "\" is not a name of 1 to 63 letters, digits, '.', "
                          "'_' or '-', starting with a letter or digit");
    } else if (!names_.insert(name).second) {
      reader.AddError("name", "two tokens are named \"" + name + "\"");
    }
  }

  void ParseLimits(const toml::table* table) {
    if (table == nullptr) {
      return;
    }
    TableReader reader(*table, "limits", text_, errors_);
    for (const LimitField& it : kLimitFields) {
      reader.ReadInteger(it.key, it.range, content_.limits.*it.member);
    }
    reader.Finish();
  }

  const ParsedText& text_;
  ErrorList& errors_;
  PlatformContent content_;
  std::set<std::string> hashes_;
  std::set<std::string> names_;
};

}  // namespace

PlatformContent ParsePlatform(std::string_view text, ErrorList& errors) {
  const ParsedText parsed = ParseText(text, errors);
  return PlatformParser(parsed, errors).Parse();
}

}  // namespace sassafras::document
