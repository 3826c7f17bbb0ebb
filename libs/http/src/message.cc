// Header look-up, paths and the error body.

#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>

#include <boost/beast/core/string.hpp>

#include "wire/codec.h"

namespace sassafras::http {
namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade"};

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      out.push_back(text[n]);
      continue;
    }
    unsigned value = 0;
    const char* begin = text.data() + n + 1;
    if (n + 2 >= text.size() ||
        std::from_chars(begin, begin + 2, value, 16).ptr != begin + 2) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(value));
    n += 2;
  }
  return out;
}

}  // namespace

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const auto& header) {
    return boost::beast::iequals(header.first, name);
  });
  return it == headers.end() ? std::string_view() : it->second;
}

bool IsHopByHop(std::string_view name) {
  return std::ranges::any_of(kHopByHop, [&](std::string_view it) {
    return boost::beast::iequals(it, name);
  });
}

std::string_view Request::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> Request::Query(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  const auto query = std::string_view(target).substr(mark + 1);
  for (const auto part : std::views::split(query, '&')) {
    const std::string_view pair(part.begin(), part.end());
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return PercentDecode(
          equals == std::string_view::npos ? "" : pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

Answer JsonAnswer(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = wire::ToJsonText(body)};
}

Answer ErrorAnswer(int status,
                   std::string_view code,
                   std::string_view message,
                   std::string_view outcome,
                   int64_t retry_after_ms) {
  nlohmann::json body = {
      {"code", code}, {"message", message}, {"outcome", outcome}};
  if (retry_after_ms >= 0) {
    body["retry_after_ms"] = retry_after_ms;
  }
  Answer answer = JsonAnswer(status, body);
  answer.headers.emplace_back("Sassafras-Outcome", outcome);
  if (retry_after_ms >= 0) {
    constexpr int64_t kMsPerSecond = 1000;
    const int64_t seconds = (retry_after_ms + kMsPerSecond - 1) / kMsPerSecond;
    answer.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return answer;
}

std::optional<std::vector<std::string>> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  for (const auto part : std::views::split(path, '/')) {
    const std::string_view text(part.begin(), part.end());
    if (text.empty()) {
      continue;
    }
    auto decoded = PercentDecode(text);
    if (!decoded) {
      return std::nullopt;
    }
    parts.push_back(*std::move(decoded));
  }
  return parts;
}

}  // namespace sassafras::http
