// easylogging++ set up for one process: one format, one target.

#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

#include <easylogging++.h>

#include "escape.h"

INITIALIZE_EASYLOGGINGPP

namespace sassafras::telemetry {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<el::Level, 4> kLevels = {
    el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error};
constexpr const char* kFormat =
    "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg";

constexpr const char* kStreamCallback = "StreamCallback";

// The stream for lines without a file. Set before other threads start.
std::FILE* log_stream = stderr;
bool flushes_lines = true;

// Writes to `log_stream`; the library's own target on a terminal is standard
// output, which belongs to the program.
class StreamCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    const std::string line =
        message->logger()->logBuilder()->build(message, true);
    std::fwrite(line.data(), 1, line.size(), log_stream);
    if (flushes_lines) {
      std::fflush(log_stream);
    }
  }
};

el::Configurations ConfigurationFor(const LogOptions& options) {
  el::Configurations conf;
  conf.setToDefault();
  const bool is_to_file = !options.file.empty();
  conf.setGlobally(el::ConfigurationType::Format, kFormat);
  conf.setGlobally(el::ConfigurationType::ToFile,
                   is_to_file ? "true" : "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (is_to_file) {
    conf.setGlobally(el::ConfigurationType::Filename, options.file);
  }
  for (size_t i = 0; i < kLevels.size(); ++i) {
    const bool is_on = i >= static_cast<size_t>(options.level);
    conf.set(kLevels[i], el::ConfigurationType::Enabled,
             is_on ? "true" : "false");
  }
  return conf;
}

}  // namespace

bool ParseLogLevel(std::string_view text, LogLevel& level, LogReason& why) {
  const auto* it = std::ranges::find(kLevelNames, text);
  if (it == kLevelNames.end()) {
    return why.Set(LogError::kUnknownLevel,
                   "log level \"" + EscapeText(text) + "\" does not exist");
  }
  level = static_cast<LogLevel>(it - kLevelNames.begin());
  return true;
}

bool StartLogging(const LogOptions& options, LogReason& why) {
  if (!options.file.empty() && !std::ofstream(options.file, std::ios::app)) {
    return why.Set(LogError::kCannotOpen,
                   "cannot open log file \"" + options.file + "\"");
  }
  log_stream = options.uses_stdout ? stdout : stderr;
  flushes_lines = !options.is_buffered;
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  if (options.file.empty()) {
    el::Helpers::installLogDispatchCallback<StreamCallback>(kStreamCallback);
  } else {
    el::Helpers::uninstallLogDispatchCallback<StreamCallback>(kStreamCallback);
  }
  el::Loggers::reconfigureAllLoggers(ConfigurationFor(options));
  return true;
}

void FlushLog() {
  std::fflush(log_stream);
}

void Log(LogLevel level, std::string_view text) {
  const std::string line = EscapeText(text);
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace sassafras::telemetry
