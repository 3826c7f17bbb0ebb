// Renders JSON arrays as tables for people.

#ifndef CTL_SRC_TABLE_H_
#define CTL_SRC_TABLE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace sassafras::ctl {

// One column: its head and the JSON pointer of its value, such as
// "/capacity/milli_cpus".
struct Column {
  std::string_view head;
  std::string_view pointer;
};

// Rows in the order of `items`, columns padded to their widest cell, numbers
// right-aligned. Control characters of cells are escaped, so that a name can't
// forge a row. "none\n" where `items` is empty or no array.
std::string RenderTable(const nlohmann::json& items,
                        std::span<const Column> columns);

// `value` as one cell: texts bare, absent values as "-", a resource object as
// "16000m 32768Mi 8a", arrays joined by commas.
std::string RenderCell(const nlohmann::json& value);

// Lines "name  value" of the scalar members of an object.
std::string RenderMembers(const nlohmann::json& object);

}  // namespace sassafras::ctl

#endif  // CTL_SRC_TABLE_H_
