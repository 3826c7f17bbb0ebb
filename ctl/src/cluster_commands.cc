// Subcommands that form the cluster and change its replicas.

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>

#include "api_call.h"
#include "command.h"
#include "table.h"
#include "wire/codec.h"

namespace sassafras::ctl {

namespace po = boost::program_options;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kStatusPause = std::chrono::milliseconds(100);
constexpr std::string_view kReplicasTarget = "/v1/cluster/replicas";

std::string ReplicaTarget(const std::string& name) {
  return std::string(kReplicasTarget) + "/" + client::EncodeSegment(name);
}

ApiResult GetStatus(Context& context) {
  return Call(context, "GET", "/v1/report/cluster");
}

// The replica of that name in a cluster report; null where there is none.
nlohmann::json FindReplica(const nlohmann::json& status,
                           const std::string& name) {
  const auto replicas = status.value("replicas", nlohmann::json::array());
  const auto it = std::ranges::find_if(replicas, [&](const auto& replica) {
    return replica.value("name", "") == name;
  });
  return it == replicas.end() ? nlohmann::json() : *it;
}

ExitCode InitCluster(Context& context) {
  // Only the first entry is asked: a second one would form another cluster.
  const auto result = Call(context, "POST", "/v1/cluster/init", "{}", kOnce);
  return Print(context, result, [](const auto&) {
    return std::string("a cluster of one replica was formed\n");
  });
}

ExitCode ShowStatus(Context& context) {
  const auto result = GetStatus(context);
  return Print(context, result, [](const auto& body) {
    constexpr Column kReplicaColumns[] = {{"REPLICA", "/name"},
                                          {"ROLE", "/role"},
                                          {"LEADER", "/is_leader"},
                                          {"MATCH", "/match"},
                                          {"ID", "/id"}};
    constexpr Column kEntryColumns[] = {{"ENTRY", "/name"},
                                        {"ZONE", "/zone"},
                                        {"DOCUMENT", "/document_version"},
                                        {"GRANTED", "/granted"}};
    nlohmann::json head = body;
    head.erase("replicas");
    head.erase("entries");
    return RenderMembers(head) +
           RenderTable(body.value("replicas", nlohmann::json()),
                       kReplicaColumns) +
           RenderTable(body.value("entries", nlohmann::json()), kEntryColumns);
  });
}

void AddWaitOption(po::options_description& description) {
  description.add_options()("wait", po::bool_switch(),
                            "wait until the replica votes");
}

// Waits until the replica of that name is a voter.
ExitCode WaitForVoter(Context& context, const std::string& name) {
  const auto deadline = Clock::now() + context.global.timeout;
  while (true) {
    const auto status = GetStatus(context);
    if (!status.is_ok()) {
      return status.code;
    }
    const auto replica = FindReplica(status.body, name);
    if (replica.is_object() && replica.value("role", "") == "voter") {
      return ExitCode::kOk;
    }
    if (Clock::now() >= deadline) {
      context.err << "replica \"" << name << "\" doesn't vote yet\n";
      return ExitCode::kNotInForce;
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

// Sends a change of the members. While its outcome isn't known, the members
// tell whether it was made, and it is sent again where it wasn't: the leader
// refuses to add a member twice, or to remove one that isn't there.
ExitCode ChangeMembers(
    Context& context,
    std::string_view method,
    const std::string& target,
    const std::string& body,
    const std::function<bool(const nlohmann::json&)>& is_made) {
  const auto deadline = Clock::now() + context.global.timeout;
  bool is_in_doubt = false;
  while (true) {
    const auto result = Call(context, method, target, body, kOnce);
    is_in_doubt = is_in_doubt || result.code == ExitCode::kUnknown;
    if (result.is_ok() || !is_in_doubt) {
      return result.code;
    }
    const auto status = GetStatus(context);
    if (status.is_ok() && is_made(status.body)) {
      return ExitCode::kOk;
    }
    if (status.is_ok() && result.code == ExitCode::kRefused) {
      return result.code;
    }
    if (Clock::now() >= deadline) {
      return ExitCode::kUnknown;
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

// Adds a replica unless it is a member already, so that a resend is harmless.
ExitCode AddReplica(Context& context, const std::string& name, bool must_wait) {
  const auto status = GetStatus(context);
  if (!status.is_ok()) {
    return status.code;
  }
  if (FindReplica(status.body, name).is_null()) {
    const nlohmann::json body = {{"name", name}};
    const ExitCode code = ChangeMembers(
        context, "POST", std::string(kReplicasTarget), wire::ToJsonText(body),
        [&](const auto& it) { return !FindReplica(it, name).is_null(); });
    if (code != ExitCode::kOk) {
      return code;
    }
  }
  return must_wait ? WaitForVoter(context, name) : ExitCode::kOk;
}

ExitCode RemoveReplica(Context& context, const std::string& name) {
  return ChangeMembers(
      context, "DELETE", ReplicaTarget(name), "",
      [&](const auto& it) { return FindReplica(it, name).is_null(); });
}

ExitCode Add(Context& context) {
  const std::string& name = context.Text("NAME");
  const ExitCode code =
      AddReplica(context, name, context.given["wait"].as<bool>());
  if (code == ExitCode::kOk) {
    context.out << "replica " << name << " was added\n";
  }
  return code;
}

ExitCode Remove(Context& context) {
  const std::string& name = context.Text("NAME");
  const ExitCode code = RemoveReplica(context, name);
  if (code == ExitCode::kOk) {
    context.out << "replica " << name << " was removed\n";
  }
  return code;
}

// The new replica votes before the old one goes, so that the quorum is never
// smaller than before.
ExitCode Replace(Context& context) {
  if (context.Text("OLD") == context.Text("NEW")) {
    context.err << "OLD and NEW are both \"" << context.Text("OLD")
                << "\": remove the member, then add it again\n";
    return ExitCode::kUsage;
  }
  const ExitCode added = AddReplica(context, context.Text("NEW"), true);
  if (added != ExitCode::kOk) {
    return added;
  }
  const ExitCode removed = RemoveReplica(context, context.Text("OLD"));
  if (removed == ExitCode::kOk) {
    context.out << "replica " << context.Text("OLD") << " was replaced by "
                << context.Text("NEW") << "\n";
  }
  return removed;
}

}  // namespace

std::vector<Command> ClusterCommands() {
  return {
      {"cluster init",
       "",
       "form a cluster on the first --entry",
       {},
       nullptr,
       InitCluster},
      {"cluster status",
       "",
       "replicas, leader and entries",
       {},
       nullptr,
       ShowStatus},
      {"cluster add",
       "NAME",
       "add a process as replica",
       {"NAME"},
       AddWaitOption,
       Add},
      {"cluster remove", "NAME", "remove a replica", {"NAME"}, nullptr, Remove},
      {"cluster replace",
       "OLD NEW",
       "add NEW, wait until it votes, then remove OLD",
       {"OLD", "NEW"},
       nullptr,
       Replace},
  };
}

}  // namespace sassafras::ctl
