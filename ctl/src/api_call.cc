// Requests of sassafrasctl to the API, and the exit code of their answers.

#include "api_call.h"

#include <ostream>
#include <utility>

namespace sassafras::ctl {

namespace {

constexpr int kFirstError = 400;
constexpr int kConflictStatus = 409;
constexpr int kInvalidStatus = 422;
constexpr int kFirstServerError = 500;

std::string TextOf(const nlohmann::json& body, const char* field) {
  const auto it = body.is_object() ? body.find(field) : body.end();
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

// "line 3, column 7: message" for each error of a section's text.
void PrintErrors(const nlohmann::json& body, std::ostream& err) {
  const nlohmann::json::json_pointer pointer("/details/errors");
  if (!body.is_object() || !body.contains(pointer)) {
    return;
  }
  for (const auto& error : body[pointer]) {
    err << "  line " << error.value("line", 0) << ", column "
        << error.value("column", 0) << ": " << error.value("message", "")
        << "\n";
  }
}

void PrintFault(const ApiResult& result, std::ostream& err) {
  const std::string message = TextOf(result.body, "message");
  const std::string code = TextOf(result.body, "code");
  const std::string outcome = TextOf(result.body, "outcome");
  err << (message.empty() ? "status " + std::to_string(result.status) : message)
      << (code.empty() ? "" : " [" + code + "]")
      << (outcome.empty() ? "" : ", outcome " + outcome) << "\n";
  PrintErrors(result.body, err);
}

void PrintNoAnswer(const client::CallResult& called, std::ostream& err) {
  err << (called.why.message.empty() ? "no answer" : called.why.message)
      << (called.may_have_run ? "; the outcome is unknown"
                              : "; nothing was done")
      << "\n";
}

}  // namespace

ExitCode JudgeCall(const client::CallResult& called) {
  if (!called.answer) {
    return called.may_have_run ? ExitCode::kUnknown : ExitCode::kNotReached;
  }
  const int status = called.answer->status;
  if (status < kFirstError) {
    return ExitCode::kOk;
  }
  if (status >= kFirstServerError) {
    const bool is_not_run =
        client::OutcomeOf(*called.answer) == "not-run" && !called.may_have_run;
    return is_not_run ? ExitCode::kNotReached : ExitCode::kUnknown;
  }
  return status == kConflictStatus ? ExitCode::kConflict : ExitCode::kRefused;
}

ApiResult Call(Context& context,
               std::string_view method,
               std::string target,
               std::string body,
               client::ResendRule resend) {
  http::Request request;
  request.method = std::string(method);
  request.target = std::move(target);
  request.body = std::move(body);
  const auto called = context.call(std::move(request), resend);
  ApiResult result;
  result.code = JudgeCall(called);
  if (!called.answer) {
    PrintNoAnswer(called, context.err);
    return result;
  }
  result.status = called.answer->status;
  result.body = nlohmann::json::parse(called.answer->body, nullptr,
                                      /*allow_exceptions=*/false);
  if (result.is_ok() && result.body.is_discarded()) {
    context.err << "the answer is no JSON\n";
    result.code = ExitCode::kRefused;
    return result;
  }
  const bool has_errors =
      result.status == kInvalidStatus && result.body.is_object() &&
      result.body.contains(nlohmann::json::json_pointer("/details/errors"));
  if (has_errors) {
    result.code = ExitCode::kInvalid;
  }
  if (!result.is_ok()) {
    PrintFault(result, context.err);
  }
  return result;
}

std::string PrettyJson(const nlohmann::json& value) {
  constexpr int kIndent = 2;
  return value.dump(kIndent, ' ', false,
                    nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace sassafras::ctl
