// Subcommands of batch and gang work.

#include <fstream>
#include <sstream>

#include "api_call.h"
#include "command.h"
#include "table.h"
#include "wire/codec.h"

namespace sassafras::ctl {

namespace po = boost::program_options;

namespace {

std::string JobTarget(const std::string& id) {
  return "/v1/jobs/" + client::EncodeSegment(id);
}

void AddSubmitOptions(po::options_description& description) {
  description.add_options()("file", po::value<std::string>(),
                            "the whole job as a JSON file")(
      "owner", po::value<std::string>()->default_value(""),
      "owner (default: the token's)")(
      "kind", po::value<std::string>()->default_value("batch"),
      "batch or gang")("priority",
                       po::value<std::string>()->default_value("normal"),
                       "urgent, normal or low")(
      "tasks", po::value<uint32_t>()->default_value(1), "number of tasks")(
      "milli-cpus", po::value<int64_t>()->default_value(1000), "per task")(
      "memory-mib", po::value<int64_t>()->default_value(512), "per task")(
      "accelerators", po::value<int64_t>()->default_value(0), "per task")(
      "workload", po::value<std::string>()->default_value(""),
      "what jobs of one kind share; their use is learned together")(
      "expected-run-ms", po::value<int64_t>()->default_value(0),
      "expected run time of a task, 0: unknown")(
      "max-attempts", po::value<uint32_t>()->default_value(3),
      "failures of one task before the job fails")(
      "payload", po::value<std::string>()->default_value(""),
      "text that workers get unread");
}

nlohmann::json SpecFromOptions(const Context& context) {
  const auto& given = context.given;
  return {{"owner", context.Text("owner")},
          {"kind", context.Text("kind")},
          {"priority", context.Text("priority")},
          {"tasks", given["tasks"].as<uint32_t>()},
          {"per_task",
           {{"milli_cpus", given["milli-cpus"].as<int64_t>()},
            {"memory_mib", given["memory-mib"].as<int64_t>()},
            {"accelerators", given["accelerators"].as<int64_t>()}}},
          {"workload", context.Text("workload")},
          {"expected_run_ms", given["expected-run-ms"].as<int64_t>()},
          {"max_attempts", given["max-attempts"].as<uint32_t>()},
          {"payload", context.Text("payload")}};
}

std::optional<nlohmann::json> ReadSpec(Context& context) {
  if (!context.given.contains("file")) {
    return SpecFromOptions(context);
  }
  const std::string& path = context.Text("file");
  std::ifstream in(path);
  auto spec = nlohmann::json::parse(in, nullptr, /*allow_exceptions=*/false);
  if (!spec.is_object()) {
    context.err << "\"" << path << "\" holds no JSON object\n";
    return std::nullopt;
  }
  return spec;
}

ExitCode SubmitJob(Context& context) {
  auto spec = ReadSpec(context);
  if (!spec) {
    return ExitCode::kUsage;
  }
  (*spec)["id"] = context.Text("JOB");
  // The id makes a resend safe: the same spec gets the first answer again.
  const auto result =
      Call(context, "POST", "/v1/jobs", wire::ToJsonText(*spec));
  return Print(context, result, [&](const auto& body) {
    const bool is_known = body.value("duplicate", false);
    return "job " + context.Text("JOB") +
           (is_known ? " was submitted before\n" : " submitted\n");
  });
}

ExitCode ShowJob(Context& context) {
  const auto result = Call(context, "GET", JobTarget(context.Text("JOB")));
  return Print(context, result, [](const auto& body) {
    constexpr Column kColumns[] = {
        {"TASK", "/index"},        {"STATE", "/state"},
        {"WORKER", "/worker"},     {"ATTEMPT", "/attempt"},
        {"FAILURES", "/failures"}, {"REASON", "/reason"}};
    const nlohmann::json head = {
        {"state", body.value("state", nlohmann::json())},
        {"reason", body.value("reason", nlohmann::json())}};
    return RenderMembers(head) +
           RenderTable(body.value("tasks", nlohmann::json()), kColumns);
  });
}

ExitCode CancelJob(Context& context) {
  const auto result = Call(context, "DELETE", JobTarget(context.Text("JOB")));
  return Print(context, result, [&](const auto&) {
    return "job " + context.Text("JOB") + " is being cancelled\n";
  });
}

}  // namespace

std::vector<Command> JobCommands() {
  return {
      {"jobs submit",
       "JOB",
       "submit a job under an id of your own",
       {"JOB"},
       AddSubmitOptions,
       SubmitJob},
      {"jobs get", "JOB", "a job and its tasks", {"JOB"}, nullptr, ShowJob},
      {"jobs cancel", "JOB", "cancel a job", {"JOB"}, nullptr, CancelJob},
  };
}

}  // namespace sassafras::ctl
