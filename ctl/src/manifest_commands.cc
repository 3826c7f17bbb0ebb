// Subcommand that checks a manifest of the job queues before it is put.

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "api_call.h"
#include "command.h"
#include "jobs/manifest_check.h"
#include "platform/manifest_format.h"
#include "table.h"
#include "text_input.h"

namespace sassafras::ctl {

namespace po = boost::program_options;

namespace {

using jobs::FindingKind;
using jobs::ManifestFindings;
using jobs::Severity;

constexpr int kOkStatus = 200;

void AddCheckOptions(po::options_description& description) {
  description.add_options()("against", po::value<std::string>(),
                            "file with the manifest that is in force")(
      "control", po::value<std::string>(),
      "ADDRESS:PORT of a control host's port for workers and the operator, "
      "which tells the manifest that is in force");
}

std::string_view NameOf(Severity severity) {
  switch (severity) {
    case Severity::kError:
      return "error";
    case Severity::kWarning:
      return "warning";
    case Severity::kNote:
      break;
  }
  return "note";
}

std::string_view NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kFault:
      return "fault";
    case FindingKind::kNeverUsed:
      return "never-used";
    case FindingKind::kContradiction:
      return "contradiction";
    case FindingKind::kDifference:
      break;
  }
  return "difference";
}

// The text of the manifest that the control host has in force.
std::optional<std::string> FetchManifest(Context& context) {
  http::Request request;
  request.method = "GET";
  request.target = std::string(platform::kManifestPath);
  const auto called = context.call(std::move(request), kRepeatable);
  if (!called.answer) {
    context.err << "--control: " << called.why.message << "\n";
    return std::nullopt;
  }
  if (called.answer->status != kOkStatus) {
    context.err << "--control: the manifest in force isn't known there, status "
                << called.answer->status << "\n";
    return std::nullopt;
  }
  return called.answer->body;
}

// The manifest to compare with; an empty one where none is asked for. Nothing
// where it can't be read.
std::optional<jobs::Manifest> ReadManifestInForce(Context& context) {
  const bool is_file = context.given.contains("against");
  if (!is_file && !context.given.contains("control")) {
    return jobs::Manifest();
  }
  auto text = is_file ? ReadText(context, context.Text("against"))
                      : FetchManifest(context);
  if (!text) {
    return std::nullopt;
  }
  std::string why;
  auto manifest = platform::ReadManifest(*std::move(text), why);
  if (!manifest) {
    context.err << "the manifest in force can't be read: " << why << "\n";
  }
  return manifest;
}

// An empty manifest in force, which has version 0, is compared with nothing.
ManifestFindings FindingsOf(std::string text, const jobs::Manifest& in_force) {
  std::string why;
  const auto manifest = platform::ReadManifest(std::move(text), why);
  if (!manifest) {
    return {{FindingKind::kFault, {}, why}};
  }
  ManifestFindings findings = jobs::FaultsOf(*manifest);
  std::ranges::move(platform::DoubtsAbout(*manifest),
                    std::back_inserter(findings));
  if (in_force.version != 0) {
    std::ranges::move(jobs::DifferencesOf(in_force, *manifest),
                      std::back_inserter(findings));
  }
  std::ranges::stable_sort(
      findings, {}, [](const auto& it) { return jobs::SeverityOf(it.kind); });
  return findings;
}

nlohmann::json ToJson(const ManifestFindings& findings) {
  nlohmann::json items = nlohmann::json::array();
  for (const jobs::ManifestFinding& it : findings) {
    items.push_back({{"severity", NameOf(jobs::SeverityOf(it.kind))},
                     {"kind", NameOf(it.kind)},
                     {"place", platform::PointerTo(it.place)},
                     {"text", it.text}});
  }
  return items;
}

ExitCode CheckManifest(Context& context) {
  if (context.given.contains("against") && context.given.contains("control")) {
    context.err << "give either --against or --control\n";
    return ExitCode::kUsage;
  }
  const auto text = ReadText(context, context.Text("FILE"));
  const auto in_force = text ? ReadManifestInForce(context) : std::nullopt;
  if (!in_force) {
    return ExitCode::kUnreadable;
  }
  const ManifestFindings findings = FindingsOf(*text, *in_force);
  const nlohmann::json items = ToJson(findings);
  constexpr Column kColumns[] = {{"SEVERITY", "/severity"},
                                 {"KIND", "/kind"},
                                 {"PLACE", "/place"},
                                 {"FINDING", "/text"}};
  context.out << (context.global.is_json ? PrettyJson(items)
                                         : RenderTable(items, kColumns));
  const bool is_clean = std::ranges::all_of(findings, [](const auto& it) {
    return jobs::SeverityOf(it.kind) == Severity::kNote;
  });
  return is_clean ? ExitCode::kOk : ExitCode::kFindings;
}

}  // namespace

std::vector<Command> ManifestCommands() {
  return {
      {"manifest check",
       "FILE",
       "faults, doubts and changes of a manifest of the job queues",
       {"FILE"},
       AddCheckOptions,
       CheckManifest,
       Callee::kControlHost},
  };
}

}  // namespace sassafras::ctl
