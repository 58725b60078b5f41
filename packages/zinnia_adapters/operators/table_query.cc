#include "zinnia_adapters/operators/table_query.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace zinnia {
namespace {

using Row = std::vector<TableCell>;

/** The column's index. Throws ErrorException for a field that the table has not. */
std::size_t ColumnOf(const ShowCommand& command, const TableData& table, const std::string& field) {
  const auto found = std::find(table.columns.begin(), table.columns.end(), field);
  if (found == table.columns.end()) {
    throw ErrorException(
        MakeError(ErrorKind::kInvalidCommand,
                  fmt::format("{} has no field '{}'; it has {}", NameOf(command.table), field,
                              fmt::join(table.columns, ", "))));
  }
  return static_cast<std::size_t>(found - table.columns.begin());
}

bool HoldsAll(const ShowCommand& command,
              const TableData& table,
              const AllOf& all,
              const Row& row) {
  return std::all_of(all.begin(), all.end(), [&](const Comparison& comparison) {
    return Matches(comparison, row.at(ColumnOf(command, table, comparison.field)));
  });
}

bool HoldsAny(const ShowCommand& command, const TableData& table, const Row& row) {
  return command.any_of.empty() ||
         std::any_of(command.any_of.begin(), command.any_of.end(),
                     [&](const AllOf& all) { return HoldsAll(command, table, all, row); });
}

/** An empty table would hide a misspelt field: no row, no comparison, no error. */
void CheckFields(const ShowCommand& command, const TableData& table) {
  for (const AllOf& all : command.any_of) {
    for (const Comparison& comparison : all) {
      ColumnOf(command, table, comparison.field);
    }
  }
}

void Sort(const ShowCommand& command, TableData& table) {
  if (!command.order_by) {
    return;
  }
  const std::size_t column = ColumnOf(command, table, *command.order_by);
  std::stable_sort(table.rows.begin(), table.rows.end(), [&](const Row& left, const Row& right) {
    return command.descending ? IsLess(right.at(column), left.at(column))
                              : IsLess(left.at(column), right.at(column));
  });
}

}  // namespace

Result<TableData> ApplyQuery(const ShowCommand& command, TableData table) {
  try {
    CheckFields(command, table);
    std::erase_if(table.rows, [&](const Row& row) { return !HoldsAny(command, table, row); });
    Sort(command, table);
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
  if (command.limit && table.rows.size() > *command.limit) {
    table.rows.resize(*command.limit);
  }
  return table;
}

}  // namespace zinnia
