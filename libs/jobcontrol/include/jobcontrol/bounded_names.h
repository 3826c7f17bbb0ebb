// Bounds the number of names that the operator chooses and that metrics show.

#ifndef JOBCONTROL_BOUNDED_NAMES_H_
#define JOBCONTROL_BOUNDED_NAMES_H_

#include <cstddef>
#include <set>
#include <string>

namespace sassafras::jobcontrol {

// Not thread-safe. Lives as long as the metrics that show the names.
class BoundedNames {
 public:
  static constexpr size_t kMaxNames = 64;

  // Returns `name`, or "other" if kMaxNames different names came before it.
  std::string Get(const std::string& name) {
    if (!IsFull()) {
      names_.insert(name);
    }
    return names_.contains(name) ? name : "other";
  }
  // Whether names that weren't seen before are shown as "other".
  bool IsFull() const { return names_.size() >= kMaxNames; }

 private:
  std::set<std::string> names_;  // at most kMaxNames
};

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_BOUNDED_NAMES_H_
