// Escaping of foreign text for log lines and metric labels.

#ifndef TELEMETRY_ESCAPE_H_
#define TELEMETRY_ESCAPE_H_

#include <string>
#include <string_view>

#include "telemetry/metrics.h"

namespace sassafras::telemetry {

// Writes every byte outside printable ASCII as \xNN.
std::string EscapeText(std::string_view text);

// EscapeText, and a backslash before quotes and backslashes.
std::string EscapeQuoted(std::string_view text);

// `{a="1",b="2"}`, empty for no labels. A label value keeps its UTF-8 bytes;
// backslash, quote and line feed are escaped as the format wants it.
std::string RenderLabels(const Labels& labels);

// The shortest text that reads back as the same number; "+Inf" at infinity.
std::string RenderNumber(double value);

}  // namespace sassafras::telemetry

#endif  // TELEMETRY_ESCAPE_H_
