// Reads the files that subcommands are given.

#include "text_input.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>

namespace sassafras::ctl {

namespace {

constexpr std::string_view kStandardInput = "-";

}  // namespace

std::optional<std::string> ReadText(Context& context, const std::string& path) {
  std::ostringstream text;
  if (path == kStandardInput) {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(path, std::ios::binary);
  in.peek();  // a folder can be opened, but not read
  if (!in.is_open() || in.bad()) {
    context.err << "cannot read \"" << path << "\"\n";
    return std::nullopt;
  }
  text << in.rdbuf();
  return text.str();
}

}  // namespace sassafras::ctl
