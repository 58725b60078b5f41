#include "zinnia_adapters/operators/table_formatter.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>

#include "zinnia_adapters/language/comparison.h"

namespace zinnia {
namespace {

namespace json = boost::json;

bool IsText(const TableCell& cell) {
  return std::holds_alternative<std::string>(cell) || std::holds_alternative<bool>(cell);
}

/** A cell on one line: a control character in a name must not break the table or the terminal. */
std::string CellText(const TableCell& cell) {
  std::string text = ToText(cell);
  std::replace_if(
      text.begin(), text.end(),
      [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == 127;
      },
      ' ');
  return text;
}

std::vector<std::size_t> WidthsOf(const TableData& table) {
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : table.rows) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      widths.at(index) = std::max(widths.at(index), CellText(row[index]).size());
    }
  }
  return widths;
}

void EndLine(std::string& text) {
  text.erase(text.find_last_not_of(' ') + 1);
  text.push_back('\n');
}

std::string FormatForPeople(const TableData& table) {
  const std::vector<std::size_t> widths = WidthsOf(table);
  std::string text;
  for (std::size_t index = 0; index < widths.size(); ++index) {
    text += fmt::format("{:<{}}  ", table.columns[index], widths[index]);
  }
  EndLine(text);
  for (const auto& row : table.rows) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      const std::string cell = CellText(row[index]);
      text += IsText(row[index]) ? fmt::format("{:<{}}  ", cell, widths[index])
                                 : fmt::format("{:>{}}  ", cell, widths[index]);
    }
    EndLine(text);
  }
  fmt::format_to(std::back_inserter(text), "{} row{}\n", table.rows.size(),
                 table.rows.size() == 1 ? "" : "s");
  return text;
}

std::string FormatAsJson(const TableData& table) {
  json::array rows;
  for (const auto& row : table.rows) {
    json::object object;
    for (std::size_t index = 0; index < row.size(); ++index) {
      object[table.columns.at(index)] =
          std::visit([](const auto& value) { return json::value(value); }, row[index]);
    }
    rows.push_back(std::move(object));
  }
  return json::serialize(json::object{{"rows", std::move(rows)}}) + "\n";
}

}  // namespace

std::string FormatTable(const TableData& table, OutputFormat format) {
  return format == OutputFormat::kJson ? FormatAsJson(table) : FormatForPeople(table);
}

}  // namespace zinnia
