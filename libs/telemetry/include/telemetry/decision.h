// One structured log line per routing or placement decision, in key=value
// form.

#ifndef TELEMETRY_DECISION_H_
#define TELEMETRY_DECISION_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/time.h"

namespace sassafras::telemetry {

// `text` as a value of a line: bare where it holds only letters, digits and
// ._:/@+- characters, otherwise quoted, with quotes, backslashes and
// everything outside printable ASCII escaped. Cut at 256 bytes.
std::string QuoteValue(std::string_view text);

// Limits the decision lines of each kind to `lines_per_second` from now on, so
// that the log costs a bounded share of the processor under load. Each second's
// omitted lines are counted, and a line "left-out" tells how many of which kind
// they were. 0 removes the limit, as at the start. Thread-safe.
void LimitDecisions(uint32_t lines_per_second);
// Writes the counts of lines omitted in past seconds. To be called now and
// then.
void ReportOmittedDecisions();

// Builds a line such as `decision=route request=r1 upstream=u2 took_us=31`.
// Values come from outside and may be hostile: they can't add a key or a
// line. Keys are literals of the code. Not thread-safe; Write() may be called
// from any thread.
class Decision {
 public:
  explicit Decision(std::string_view kind);

  Decision& With(std::string_view key, std::string_view value);
  Decision& With(std::string_view key, const char* value) {
    return With(key, std::string_view(value));
  }
  Decision& With(std::string_view key, bool value);
  Decision& With(std::string_view key, double value);
  template <std::integral Int>
  Decision& With(std::string_view key, Int value) {
    return WithBare(key, std::to_string(value));
  }
  template <typename Tag>
  Decision& With(std::string_view key, const base::Name<Tag>& name) {
    return With(key, std::string_view(name.str()));
  }
  template <typename Tag>
  Decision& With(std::string_view key, base::Number<Tag> number) {
    return WithBare(key, std::to_string(number.value()));
  }
  // In microseconds.
  Decision& With(std::string_view key, base::Duration value) {
    return WithBare(key, std::to_string(value.count()));
  }

  // Empty if the line is omitted.
  const std::string& Line() const { return line_; }

  // Hands the line to the log at level info, unless it is omitted.
  void Write() const;

 private:
  Decision& WithBare(std::string_view key, std::string_view value);

  std::string line_;  // invariant: printable ASCII, no line break
  bool is_omitted_ = false;
};

}  // namespace sassafras::telemetry

#endif  // TELEMETRY_DECISION_H_
