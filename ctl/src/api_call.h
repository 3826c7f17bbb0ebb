// Requests of sassafrasctl to the API, and the exit code of their answers.

#ifndef CTL_SRC_API_CALL_H_
#define CTL_SRC_API_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "context.h"

namespace sassafras::ctl {

// What an answer means for the caller of the program.
struct ApiResult {
  ExitCode code = ExitCode::kOk;
  int status = 0;       // 0: no answer
  nlohmann::json body;  // the answer, or the error body; null without one

  bool is_ok() const { return code == ExitCode::kOk; }
};

inline constexpr client::ResendRule kRepeatable = {.on_unknown = true,
                                                   .on_not_run = true};
inline constexpr client::ResendRule kOnce = {.on_unknown = false,
                                             .on_not_run = true};

// Sends a request and judges its answer. Faults are printed to context.err.
ApiResult Call(Context& context,
               std::string_view method,
               std::string target,
               std::string body = "",
               client::ResendRule resend = kRepeatable);

// The exit code of a call without looking at its body's details.
ExitCode JudgeCall(const client::CallResult& called);

// Prints an answer with --json, else by `render`.
template <typename Render>
ExitCode Print(Context& context, const ApiResult& result, Render render);

std::string PrettyJson(const nlohmann::json& value);

template <typename Render>
ExitCode Print(Context& context, const ApiResult& result, Render render) {
  if (result.is_ok()) {
    context.out << (context.global.is_json ? PrettyJson(result.body)
                                           : render(result.body));
  }
  return result.code;
}

}  // namespace sassafras::ctl

#endif  // CTL_SRC_API_CALL_H_
