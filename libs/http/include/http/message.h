// Requests and answers as plain values, independent of the HTTP library.

#ifndef HTTP_MESSAGE_H_
#define HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace sassafras::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// The first header of that name, compared without regard to case; empty where
// there is none.
std::string_view FindHeader(const Headers& headers, std::string_view name);

// True for headers that concern one connection only and are never passed on.
bool IsHopByHop(std::string_view name);

struct Request {
  std::string method;
  std::string target;  // path and query, as sent
  Headers headers;
  std::string body;

  std::string_view path() const;
  // The value of one query parameter, percent-decoded.
  std::optional<std::string> Query(std::string_view name) const;
};

struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
};

// An answer with a JSON body.
Answer JsonAnswer(int status, const nlohmann::json& body);

// The project's error body: code, message, outcome and, unless negative,
// retry_after_ms (also as the header Retry-After, in whole seconds).
Answer ErrorAnswer(int status,
                   std::string_view code,
                   std::string_view message,
                   std::string_view outcome,
                   int64_t retry_after_ms = -1);

// "/v1/jobs/a%20b" -> {"v1", "jobs", "a b"}; nothing where an escape is wrong.
std::optional<std::vector<std::string>> SplitPath(std::string_view path);

}  // namespace sassafras::http

#endif  // HTTP_MESSAGE_H_
