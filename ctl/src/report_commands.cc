// Subcommands that print what the cluster reports.

#include <algorithm>
#include <map>

#include "api_call.h"
#include "command.h"
#include "table.h"

namespace sassafras::ctl {

namespace {

constexpr Column kWorkerColumns[] = {
    {"WORKER", "/id"},         {"ZONE", "/zone"},
    {"RACK", "/rack"},         {"STATE", "/state"},
    {"LIVE", "/is_live"},      {"QUARANTINED", "/is_quarantined"},
    {"CAPACITY", "/capacity"}, {"RESERVED", "/reserved"},
    {"TASKS", "/tasks"}};
constexpr Column kUpstreamColumns[] = {
    {"UPSTREAM", "/id"},     {"SERVICE", "/service"},
    {"ZONE", "/zone"},       {"ADDRESS", "/address"},
    {"PORT", "/port"},       {"STATE", "/state"},
    {"LIVE", "/is_live"},    {"SLOTS", "/slots"},
    {"GRANTED", "/granted"}, {"HELD_BACK", "/held_back"},
    {"BUSY", "/busy"}};
constexpr Column kServiceColumns[] = {{"SERVICE", "/name"},
                                      {"SECTION", "/section"},
                                      {"OWNER", "/owner"},
                                      {"PRIORITY", "/priority"},
                                      {"READY", "/ready_upstreams"}};
constexpr Column kJobColumns[] = {
    {"JOB", "/id"},          {"OWNER", "/owner"},
    {"KIND", "/kind"},       {"STATE", "/state"},
    {"TASKS", "/tasks"},     {"PENDING", "/pending"},
    {"RUNNING", "/running"}, {"DONE", "/done"},
    {"FAILED", "/failed"},   {"CANCELLED", "/cancelled"},
    {"REASON", "/reason"}};
constexpr Column kOwnerColumns[] = {{"OWNER", "/owner"},
                                    {"WEIGHT", "/weight"},
                                    {"HELD", "/held"},
                                    {"FAIR_SHARE", "/fair_share"},
                                    {"DOMINANT", "/dominant_share"},
                                    {"LENT", "/lent"},
                                    {"BORROWED", "/borrowed"},
                                    {"WAITING", "/waiting_tasks"},
                                    {"LONGEST_WAIT_MS", "/longest_wait_ms"}};

struct ReportKind {
  std::string_view name;
  std::span<const Column> columns;
};

constexpr ReportKind kKinds[] = {{"workers", kWorkerColumns},
                                 {"upstreams", kUpstreamColumns},
                                 {"services", kServiceColumns},
                                 {"jobs", kJobColumns},
                                 {"owners", kOwnerColumns}};

ExitCode ShowKind(Context& context, const ReportKind& kind) {
  const std::string name(kind.name);
  const auto result = Call(context, "GET", "/v1/report/" + name);
  return Print(context, result, [&](const auto& body) {
    return RenderTable(body.value(name, nlohmann::json()), kind.columns);
  });
}

template <size_t kIndex>
ExitCode Show(Context& context) {
  return ShowKind(context, kKinds[kIndex]);
}

// Every report in turn; stops at the first that fails.
ExitCode ShowAll(Context& context) {
  for (const auto& kind : kKinds) {
    if (!context.global.is_json) {
      context.out << kind.name << ":\n";
    }
    const ExitCode code = ShowKind(context, kind);
    if (code != ExitCode::kOk) {
      return code;
    }
  }
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> ReportCommands() {
  return {
      {"workers",
       "",
       "workers, their capacity and state",
       {},
       nullptr,
       Show<0>},
      {"upstreams",
       "",
       "upstreams, their slots and state",
       {},
       nullptr,
       Show<1>},
      {"services",
       "",
       "services and their ready upstreams",
       {},
       nullptr,
       Show<2>},
      {"jobs", "", "jobs and the state of their tasks", {}, nullptr, Show<3>},
      {"owners",
       "",
       "owners, their shares and waiting work",
       {},
       nullptr,
       Show<4>},
      {"report", "", "all of the above", {}, nullptr, ShowAll},
  };
}

}  // namespace sassafras::ctl
