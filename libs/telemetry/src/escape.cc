// Escaping of foreign text for log lines and metric labels.

#include "escape.h"

#include <charconv>
#include <cmath>

namespace sassafras::telemetry {

namespace {

constexpr char kFirstPrintable = 0x20;
constexpr char kLastPrintable = 0x7e;
constexpr size_t kNumberBytes = 32;

void AppendHex(std::string& out, char c) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  out += "\\x";
  out += kDigits[byte >> 4];
  out += kDigits[byte & 0xf];
}

std::string Escape(std::string_view text, std::string_view with_backslash) {
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    if (c < kFirstPrintable || c > kLastPrintable) {
      AppendHex(out, c);
      continue;
    }
    if (with_backslash.find(c) != std::string_view::npos) {
      out += '\\';
    }
    out += c;
  }
  return out;
}

std::string EscapeLabel(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out;
}

}  // namespace

std::string EscapeText(std::string_view text) {
  return Escape(text, "");
}

std::string EscapeQuoted(std::string_view text) {
  return Escape(text, "\"\\");
}

std::string RenderLabels(const Labels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    out += out.empty() ? "{" : ",";
    out += name + "=\"" + EscapeLabel(value) + "\"";
  }
  return out.empty() ? out : out + "}";
}

std::string RenderNumber(double value) {
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  std::string out(kNumberBytes, '\0');
  const auto result = std::to_chars(out.data(), out.data() + out.size(), value);
  out.resize(static_cast<size_t>(result.ptr - out.data()));
  return out;
}

}  // namespace sassafras::telemetry
