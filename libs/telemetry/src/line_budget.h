// Decides which log lines are written when there are too many: the first ones
// of each kind in each second.

#ifndef TELEMETRY_SRC_LINE_BUDGET_H_
#define TELEMETRY_SRC_LINE_BUDGET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sassafras::telemetry {

struct OmittedLines {
  std::string kind;
  uint64_t count = 0;
};

// Not thread-safe.
class LineBudget {
 public:
  // 0 allows every line.
  explicit LineBudget(uint32_t lines_per_second) : limit_(lines_per_second) {}

  // Whether a line of this kind may be written at `now`; counts it.
  bool Take(std::string_view kind, base::Instant now);
  // Returns the lines omitted in seconds that have ended before `now`, and
  // forgets them.
  std::vector<OmittedLines> TakeOmitted(base::Instant now);

 private:
  struct Usage {
    int64_t second = 0;  // to which `written` belongs
    uint32_t written = 0;
    uint64_t omitted = 0;  // not yet returned
  };

  uint32_t limit_;
  std::map<std::string, Usage, std::less<>> usages_;  // by kind
};

}  // namespace sassafras::telemetry

#endif  // TELEMETRY_SRC_LINE_BUDGET_H_
