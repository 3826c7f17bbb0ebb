// Subcommands of the cluster document: get, put, diff, history, change status.

#include <chrono>
#include <thread>

#include "api_call.h"
#include "base/random.h"
#include "command.h"
#include "line_diff.h"
#include "table.h"
#include "text_input.h"

namespace sassafras::ctl {

namespace po = boost::program_options;

namespace {

constexpr auto kStatusPause = std::chrono::milliseconds(100);

std::string SectionTarget(const std::string& name) {
  return "/v1/document/sections/" + client::EncodeSegment(name);
}

std::string ChangeTarget(const std::string& id) {
  return "/v1/changes/" + client::EncodeSegment(id);
}

// --- get ---

void AddGetOptions(po::options_description& description) {
  description.add_options()("section", po::value<std::string>(),
                            "print the text of this section only");
}

ExitCode GetSection(Context& context, const std::string& name) {
  const auto result = Call(context, "GET", SectionTarget(name));
  return Print(context, result,
               [](const auto& body) { return body.value("text", ""); });
}

ExitCode GetDocument(Context& context) {
  if (context.given.contains("section")) {
    return GetSection(context, context.Text("section"));
  }
  const auto result = Call(context, "GET", "/v1/document");
  return Print(context, result, [](const auto& body) {
    constexpr Column kColumns[] = {{"SECTION", "/name"},
                                   {"OWNER", "/owner"},
                                   {"VERSION", "/version"},
                                   {"EDITOR", "/editor"}};
    return "document version " +
           RenderCell(body.value("version", nlohmann::json())) + "\n" +
           RenderTable(body.value("sections", nlohmann::json()), kColumns);
  });
}

// --- put ---

void AddPutOptions(po::options_description& description) {
  description.add_options()(
      "base", po::value<uint64_t>(),
      "version of the section that the text is based on; 0 creates it "
      "(default: the version in force)")(
      "change", po::value<std::string>(),
      "change id, to send a change again whose outcome is unknown "
      "(default: a new one)")(
      "wait", po::bool_switch(),
      "wait until the change is in force at every live entry");
}

// The version in force; 0 where the section doesn't exist yet.
std::optional<uint64_t> CurrentVersion(Context& context,
                                       const std::string& name,
                                       ExitCode& code) {
  http::Request request;
  request.method = "GET";
  request.target = SectionTarget(name);
  const auto called = context.call(std::move(request), kRepeatable);
  code = JudgeCall(called);
  constexpr int kNotFound = 404;
  if (called.answer && called.answer->status == kNotFound) {
    return 0;
  }
  if (code != ExitCode::kOk) {
    context.err << "cannot read the version of section \"" << name << "\"\n";
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(called.answer->body, nullptr, false);
  return body.is_object() ? body.value("version", uint64_t{0}) : 0;
}

// Asks for the change until it is in force or the time is up.
ExitCode WaitUntilInForce(Context& context, const std::string& change) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.global.timeout;
  while (true) {
    const auto result = Call(context, "GET", ChangeTarget(change));
    if (!result.is_ok()) {
      return result.code;
    }
    if (result.body.value("in_force", false)) {
      context.err << "in force at every live entry\n";
      return ExitCode::kOk;
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      context.err << "not yet in force; waiting for "
                  << RenderCell(
                         result.body.value("waiting_for", nlohmann::json()))
                  << "\n";
      return ExitCode::kNotInForce;
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

void PrintWinner(Context& context, const ApiResult& result) {
  const auto details = result.body.value("details", nlohmann::json::object());
  context.err << "the section is now at version "
              << RenderCell(details.value("version", nlohmann::json()))
              << " by " << RenderCell(details.value("editor", nlohmann::json()))
              << "; take that text as the new base and put again\n";
}

ExitCode PutSection(Context& context) {
  const std::string& name = context.Text("SECTION");
  const auto text = ReadText(context, context.Text("FILE"));
  if (!text) {
    return ExitCode::kUsage;
  }
  ExitCode code = ExitCode::kOk;
  const auto base = context.given.contains("base")
                        ? std::optional(context.given["base"].as<uint64_t>())
                        : CurrentVersion(context, name, code);
  if (!base) {
    return code;
  }
  const std::string change = context.given.contains("change")
                                 ? context.Text("change")
                                 : base::Random::FromSystem().HexId();
  const auto result =
      Call(context, "PUT",
           SectionTarget(name) + "?base=" + std::to_string(*base) +
               "&change=" + client::EncodeSegment(change),
           *text);
  if (result.code == ExitCode::kConflict) {
    PrintWinner(context, result);
  }
  if (result.code == ExitCode::kUnknown) {
    context.err << "send it again with --base " << *base << " --change "
                << change << "\n";
  }
  const ExitCode printed = Print(context, result, [&](const auto& body) {
    return "section " + name + " version " +
           RenderCell(body.value("version", nlohmann::json())) + ", change " +
           change + "\n";
  });
  const bool must_wait =
      printed == ExitCode::kOk && context.given["wait"].as<bool>();
  return must_wait ? WaitUntilInForce(context, change) : printed;
}

// --- diff, history, change ---

ExitCode DiffSection(Context& context) {
  const auto text = ReadText(context, context.Text("FILE"));
  if (!text) {
    return ExitCode::kUsage;
  }
  const auto result =
      Call(context, "GET", SectionTarget(context.Text("SECTION")));
  return Print(context, result, [&](const auto& body) {
    return DiffLines(body.value("text", ""), *text);
  });
}

ExitCode ShowHistory(Context& context) {
  const auto result =
      Call(context, "GET", SectionTarget(context.Text("SECTION")));
  return Print(context, result, [](const auto& body) {
    constexpr Column kColumns[] = {{"VERSION", "/version"},
                                   {"EDITOR", "/editor"},
                                   {"CHANGE", "/change"},
                                   {"AT_MS", "/at_ms"}};
    return RenderTable(body.value("history", nlohmann::json()), kColumns);
  });
}

ExitCode ShowChange(Context& context) {
  const auto result =
      Call(context, "GET", ChangeTarget(context.Text("CHANGE")));
  return Print(context, result,
               [](const auto& body) { return RenderMembers(body); });
}

}  // namespace

std::vector<Command> DocumentCommands() {
  return {
      {"document get",
       "",
       "list the sections, or print one",
       {},
       AddGetOptions,
       GetDocument},
      {"document put",
       "SECTION FILE",
       "replace a section by a file (- for standard input)",
       {"SECTION", "FILE"},
       AddPutOptions,
       PutSection},
      {"document diff",
       "SECTION FILE",
       "lines by which a file differs from the section",
       {"SECTION", "FILE"},
       nullptr,
       DiffSection},
      {"document history",
       "SECTION",
       "accepted changes of a section",
       {"SECTION"},
       nullptr,
       ShowHistory},
      {"change status",
       "CHANGE",
       "whether a change is in force, and where not yet",
       {"CHANGE"},
       nullptr,
       ShowChange},
  };
}

}  // namespace sassafras::ctl
