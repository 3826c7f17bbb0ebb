// Reads the files that subcommands are given.

#ifndef CTL_SRC_TEXT_INPUT_H_
#define CTL_SRC_TEXT_INPUT_H_

#include <optional>
#include <string>

#include "context.h"

namespace sassafras::ctl {

// Reads a file, or standard input for "-". Nothing where it can't be read,
// which is printed to context.err.
std::optional<std::string> ReadText(Context& context, const std::string& path);

}  // namespace sassafras::ctl

#endif  // CTL_SRC_TEXT_INPUT_H_
