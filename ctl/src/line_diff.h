// Compares two texts line by line.

#ifndef CTL_SRC_LINE_DIFF_H_
#define CTL_SRC_LINE_DIFF_H_

#include <string>
#include <string_view>

namespace sassafras::ctl {

// Every line of both texts in order: "  " before common lines, "- " before
// those of `before` only, "+ " before those of `after` only. Empty where the
// texts are equal.
std::string DiffLines(std::string_view before, std::string_view after);

}  // namespace sassafras::ctl

#endif  // CTL_SRC_LINE_DIFF_H_
