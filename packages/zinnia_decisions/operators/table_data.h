#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace zinnia {

/** One cell of an operators' table. */
using TableCell = std::variant<std::string, double, std::int64_t, bool>;

/** A table as data: every row has one cell for each column. Columns are named in snake_case, with
    the unit last ("age_ms"). */
struct TableData {
  std::vector<std::string> columns;
  std::vector<std::vector<TableCell>> rows;

  bool operator==(const TableData&) const = default;
};

}  // namespace zinnia
