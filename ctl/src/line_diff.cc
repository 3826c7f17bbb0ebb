// Compares two texts by the longest common subsequence of their lines.

#include "line_diff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafras::ctl {

namespace {

// Beyond this number of cells the whole middle counts as replaced.
constexpr size_t kMaxCells = 16'000'000;

using Lines = std::vector<std::string_view>;

Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    lines.push_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

void Append(std::string& out, std::string_view mark, std::string_view line) {
  out += mark;
  out += line;
  out += '\n';
}

void AppendAll(std::string& out,
               std::string_view mark,
               Lines::const_iterator begin,
               Lines::const_iterator end) {
  std::for_each(begin, end, [&](auto line) { Append(out, mark, line); });
}

// lengths[i * (b.size() + 1) + k]: common lines of a from i and b from k on.
std::vector<uint32_t> CommonLengths(const Lines& a, const Lines& b) {
  const size_t width = b.size() + 1;
  std::vector<uint32_t> lengths((a.size() + 1) * width, 0);
  for (size_t i = a.size(); i-- > 0;) {
    for (size_t k = b.size(); k-- > 0;) {
      lengths[i * width + k] = a[i] == b[k]
                                   ? lengths[(i + 1) * width + k + 1] + 1
                                   : std::max(lengths[(i + 1) * width + k],
                                              lengths[i * width + k + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string DiffLines(std::string_view before, std::string_view after) {
  if (before == after) {
    return "";
  }
  const Lines a = SplitLines(before);
  const Lines b = SplitLines(after);
  std::string out;
  if ((a.size() + 1) * (b.size() + 1) > kMaxCells) {
    AppendAll(out, "- ", a.begin(), a.end());
    AppendAll(out, "+ ", b.begin(), b.end());
    return out;
  }
  const auto lengths = CommonLengths(a, b);
  const size_t width = b.size() + 1;
  size_t i = 0;
  size_t k = 0;
  while (i < a.size() && k < b.size()) {
    if (a[i] == b[k]) {
      Append(out, "  ", a[i]);
      ++i;
      ++k;
    } else if (lengths[(i + 1) * width + k] >= lengths[i * width + k + 1]) {
      Append(out, "- ", a[i++]);
    } else {
      Append(out, "+ ", b[k++]);
    }
  }
  AppendAll(out, "- ", a.begin() + static_cast<ptrdiff_t>(i), a.end());
  AppendAll(out, "+ ", b.begin() + static_cast<ptrdiff_t>(k), b.end());
  return out;
}

}  // namespace sassafras::ctl
