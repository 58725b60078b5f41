#pragma once

#include <string>
#include <string_view>

#include "zinnia_decisions/operators/table_data.h"

namespace zinnia {

enum class ComparisonOperator {
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual,
  kContains,
};

/** One condition on a row of a table, such as `age_ms > 1000`. */
struct Comparison {
  std::string field;
  ComparisonOperator comparison_operator = ComparisonOperator::kEqual;
  TableCell value;

  bool operator==(const Comparison&) const = default;
};

/** Whether a cell meets the condition. Numbers compare by value, whatever their type; a number and
    a string never match; kContains looks for text inside the cell as it would be shown. */
bool Matches(const Comparison& comparison, const TableCell& cell);

/** Orders cells: numbers by value before strings by bytes, so that a sort is total. */
bool IsLess(const TableCell& left, const TableCell& right);

/** A cell as people read it. */
std::string ToText(const TableCell& cell);

}  // namespace zinnia
