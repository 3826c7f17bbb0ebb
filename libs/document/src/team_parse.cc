// Parses a team's section: its long-running workloads and service policies.

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include "document/document.h"
#include "section_parse.h"

namespace sassafras::document {
namespace {

constexpr Range kInstancesRange = {0, 10'000};
constexpr int64_t kMaxInstancesPerSection = 20'000;
// Of milli-CPUs and MiB of memory of one instance.
constexpr Range kRequiredAmountRange = {1, 1'000'000'000};
constexpr Range kAcceleratorsRange = {0, 1'000'000};
constexpr size_t kMaxPayloadBytes = 64 << 10;
constexpr size_t kMaxCallers = 256;

constexpr std::array<std::pair<std::string_view, wire::Priority>, 3>
    kPriorities = {{
        {"urgent", wire::Priority::kUrgent},
        {"normal", wire::Priority::kNormal},
        {"low", wire::Priority::kLow},
    }};

struct ServiceField {
  std::string_view key;
  int64_t ServicePolicy::*member;
  Range range;
};
constexpr std::array<ServiceField, 5> kServiceFields = {{
    {"timeout_ms", &ServicePolicy::timeout_ms, {1, 600'000}},
    {"max_queue", &ServicePolicy::max_queue, {0, 1'000'000}},
    {"retry_percent", &ServicePolicy::retry_percent, {0, 100}},
    {"answer_retention_ms",
     &ServicePolicy::answer_retention_ms,
     {1'000, 604'800'000}},
    {"max_answer_bytes", &ServicePolicy::max_answer_bytes, {0, 1 << 20}},
}};

struct ResourceField {
  std::string_view key;
  int64_t wire::Resources::*member;
  Range range;
  bool is_required;
};
constexpr std::array<ResourceField, 3> kResourceFields = {{
    {"milli_cpus", &wire::Resources::milli_cpus, kRequiredAmountRange, true},
    {"memory_mib", &wire::Resources::memory_mib, kRequiredAmountRange, true},
    {"accelerators", &wire::Resources::accelerators, kAcceleratorsRange, false},
}};

// Parses one team's section. Used for one parse.
class TeamParser {
 public:
  TeamParser(const ParsedText& text,
             const TeamContext& context,
             ErrorList& errors)
      : text_(text), context_(context), errors_(errors) {}

  TeamContent Parse() {
    TableReader root(text_.table, "", text_, errors_);
    root.ForEachTable("workloads", [this](auto name, TableReader& it) {
      ParseWorkload(name, it);
    });
    root.ForEachTable("services", [this](auto name, TableReader& it) {
      ParseService(name, it);
    });
    root.Finish();
    return std::move(content_);
  }

 private:
  void ParseWorkload(std::string_view name, TableReader& reader) {
    Workload workload;
    workload.name = wire::WorkloadId(std::string(name));
    workload.section = context_.section;
    workload.owner = context_.owner;
    CheckKind(reader);
    ReadPriority(reader, workload.priority);
    int64_t instances = workload.instances;
    reader.ReadInteger("instances", kInstancesRange, instances);
    workload.instances = static_cast<uint32_t>(instances);
    CountInstances(reader, instances);
    for (const ResourceField& it : kResourceFields) {
      if (it.is_required) {
        reader.Require(it.key);
      }
      reader.ReadInteger(it.key, it.range, workload.per_instance.*it.member);
    }
    reader.ReadString("payload", kMaxPayloadBytes, workload.payload);
    CheckQuota(reader, workload);
    content_.workloads.push_back(std::move(workload));
  }

  void CountInstances(TableReader& reader, int64_t instances) {
    instances_ += instances;
    if (instances_ > kMaxInstancesPerSection) {
      reader.AddError("instances", "the section has more than " +
                                       std::to_string(kMaxInstancesPerSection) +
                                       " instances in total");
    }
  }

  void CheckKind(TableReader& reader) {
    std::string kind;
    if (reader.ReadString("kind", kMaxIdBytes, kind) && kind != "service") {
      reader.AddError("kind", "\"" + reader.path() + ".kind\" is \"" + kind +
                                  "\", must be service; batch and gang work "
                                  "is submitted as jobs");
    }
  }

  void ReadPriority(TableReader& reader, wire::Priority& priority) {
    std::string text;
    if (!reader.ReadString("priority", kMaxIdBytes, text)) {
      return;
    }
    const auto* it = std::ranges::find(
        kPriorities, text, &std::pair<std::string_view, wire::Priority>::first);
    if (it == kPriorities.end()) {
      reader.AddError("priority", "\"" + reader.path() + ".priority\" is \"" +
                                      text +
                                      "\", must be urgent, normal or low");
    } else {
      priority = it->second;
    }
  }

  // Reports a workload whose instances together exceed the quota of its owner,
  // because they could never all run.
  void CheckQuota(TableReader& reader, const Workload& workload) {
    const auto policy =
        std::ranges::find(context_.owners, context_.owner, &OwnerPolicy::owner);
    if (policy == context_.owners.end() || !policy->quota) {
      return;
    }
    for (const ResourceField& it : kResourceFields) {
      const int64_t total =
          workload.per_instance.*it.member * int64_t{workload.instances};
      const int64_t bound = *policy->quota.*it.member;
      if (total > bound) {
        reader.AddError(
            it.key,
            "\"" + reader.path() + "\" needs " + std::to_string(total) + " " +
                std::string(it.key) + " in total, the quota of owner \"" +
                context_.owner.str() + "\" is " + std::to_string(bound));
      }
    }
  }

  void ParseService(std::string_view name, TableReader& reader) {
    ServicePolicy policy;
    policy.service = wire::ServiceId(std::string(name));
    policy.section = context_.section;
    policy.owner = context_.owner;
    policy.answer_retention_ms = context_.limits.answer_retention_ms;
    ReadPriority(reader, policy.priority);
    for (const ServiceField& it : kServiceFields) {
      reader.ReadInteger(it.key, it.range, policy.*it.member);
    }
    ReadCallers(reader, policy);
    if (std::ranges::find(context_.other_services, policy.service,
                          &ServicePolicy::service) !=
        context_.other_services.end()) {
      reader.AddError("", "the service name \"" + policy.service.str() +
                              "\" is used by another section");
    }
    content_.services.push_back(std::move(policy));
  }

  // Without the key "callers", only the owner itself may call the service.
  void ReadCallers(TableReader& reader, ServicePolicy& policy) {
    const toml::array* callers = reader.ReadArray("callers");
    if (callers == nullptr) {
      policy.callers = {context_.owner};
      return;
    }
    if (callers->size() > kMaxCallers) {
      reader.AddError("callers", "\"callers\" has more than " +
                                     std::to_string(kMaxCallers) + " elements");
      return;
    }
    for (const toml::node& node : *callers) {
      if (const auto* text = node.as_string()) {
        policy.callers.emplace_back(text->get());
        CheckCaller(node, policy.callers.back());
      } else {
        errors_.Add(node.source(),
                    "each element of \"callers\" must be a string");
      }
    }
    std::ranges::sort(policy.callers);
    const auto duplicates = std::ranges::unique(policy.callers);
    policy.callers.erase(duplicates.begin(), duplicates.end());
  }

  void CheckCaller(const toml::node& node, const wire::OwnerId& caller) {
    const auto& owners = context_.owners;
    if (!owners.empty() &&
        std::ranges::find(owners, caller, &OwnerPolicy::owner) ==
            owners.end()) {
      errors_.Add(node.source(),
                  "caller \"" + caller.str() + "\" is not a declared owner");
    }
  }

  const ParsedText& text_;
  const TeamContext& context_;
  ErrorList& errors_;
  TeamContent content_;
  int64_t instances_ = 0;  // total of the workloads parsed so far
};

}  // namespace

TeamContent ParseTeam(std::string_view text,
                      const TeamContext& context,
                      ErrorList& errors) {
  const ParsedText parsed = ParseText(text, errors);
  return TeamParser(parsed, context, errors).Parse();
}

}  // namespace sassafras::document
