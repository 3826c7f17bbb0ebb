// Renders JSON arrays as tables for people.

#include "table.h"

#include <algorithm>
#include <ranges>

#include "wire/codec.h"

namespace sassafras::ctl {

namespace {

constexpr std::string_view kGap = "  ";
constexpr std::string_view kNoValue = "-";
constexpr char kFirstPrintable = 0x20;
constexpr char kDelete = 0x7f;

// A cell of a table: its text and whether it is aligned to the right.
struct Cell {
  std::string text;
  bool is_number = false;
};

std::string EscapeControls(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= kFirstPrintable && byte != kDelete) {
      out += c;
      continue;
    }
    out += "\\x";
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0xf];
  }
  return out;
}

std::string RenderResources(const nlohmann::json& value) {
  return std::to_string(value.value("milli_cpus", int64_t{0})) + "m " +
         std::to_string(value.value("memory_mib", int64_t{0})) + "Mi " +
         std::to_string(value.value("accelerators", int64_t{0})) + "a";
}

std::string RenderArray(const nlohmann::json& value) {
  std::string out;
  for (const auto& item : value) {
    out += (out.empty() ? "" : ",") + RenderCell(item);
  }
  return out.empty() ? std::string(kNoValue) : out;
}

Cell MakeCell(const nlohmann::json& item, const Column& column) {
  const nlohmann::json::json_pointer pointer{std::string(column.pointer)};
  if (!item.is_object() || !item.contains(pointer)) {
    return {std::string(kNoValue)};
  }
  const auto& value = item[pointer];
  return {RenderCell(value), value.is_number()};
}

std::string Pad(const Cell& cell, size_t width) {
  const std::string gap(width - std::min(width, cell.text.size()), ' ');
  return cell.is_number ? gap + cell.text : cell.text + gap;
}

std::string RenderRow(std::span<const Cell> row,
                      std::span<const size_t> width) {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    line += (i == 0 ? "" : std::string(kGap)) + Pad(row[i], width[i]);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string RenderCell(const nlohmann::json& value) {
  if (value.is_null()) {
    return std::string(kNoValue);
  }
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? std::string(kNoValue) : EscapeControls(text);
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_array()) {
    return RenderArray(value);
  }
  if (value.is_object() && value.contains("milli_cpus")) {
    return RenderResources(value);
  }
  return wire::ToJsonText(value);
}

std::string RenderTable(const nlohmann::json& items,
                        std::span<const Column> columns) {
  if (!items.is_array() || items.empty()) {
    return "none\n";
  }
  std::vector<std::vector<Cell>> rows(1);
  std::ranges::transform(
      columns, std::back_inserter(rows[0]),
      [](const Column& column) { return Cell{std::string(column.head)}; });
  for (const auto& item : items) {
    auto& row = rows.emplace_back();
    std::ranges::transform(
        columns, std::back_inserter(row),
        [&](const Column& column) { return MakeCell(item, column); });
  }
  std::vector<size_t> widths(columns.size(), 0);
  for (const auto& row : rows) {
    std::ranges::transform(row, widths, widths.begin(),
                           [](const Cell& cell, size_t width) {
                             return std::max(cell.text.size(), width);
                           });
  }
  std::string out;
  for (const auto& row : rows) {
    out += RenderRow(row, widths);
  }
  return out;
}

std::string RenderMembers(const nlohmann::json& object) {
  std::vector<std::vector<Cell>> rows;
  std::vector<size_t> widths(2, 0);
  for (const auto& [key, value] : object.items()) {
    if (value.is_object() && !value.contains("milli_cpus")) {
      continue;
    }
    rows.push_back({{key}, {RenderCell(value)}});
    widths[0] = std::max(widths[0], key.size());
  }
  std::string out;
  for (const auto& row : rows) {
    out += RenderRow(row, widths);
  }
  return out;
}

}  // namespace sassafras::ctl
