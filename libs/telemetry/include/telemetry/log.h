// The process's log: easylogging++ behind a narrow interface, so that its
// header stays out of the other libraries.

#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <string>
#include <string_view>

#include "base/reason.h"

namespace sassafras::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class LogError { kNone, kUnknownLevel, kCannotOpen };
using LogReason = base::Reason<LogError>;

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  std::string file;  // empty: the standard error or output stream
  bool uses_stdout = false;
  // Lines of a stream are kept until the buffer is full or FlushLog() is
  // called, which the owner does every now and then.
  bool is_buffered = false;
};

// Parses "debug", "info", "warning" or "error". Error: kUnknownLevel.
bool ParseLogLevel(std::string_view text, LogLevel& level, LogReason& why);

// Call once, before other threads start. Error: kCannotOpen.
bool StartLogging(const LogOptions& options, LogReason& why);

// Writes what is buffered; thread-safe.
void FlushLog();

// Writes one line; thread-safe. Control characters in `text` are escaped, so
// that one call is always one line.
void Log(LogLevel level, std::string_view text);

}  // namespace sassafras::telemetry

#endif  // TELEMETRY_LOG_H_
