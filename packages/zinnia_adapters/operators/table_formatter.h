#pragma once

#include <string>

#include "zinnia_adapters/language/output_format.h"
#include "zinnia_decisions/operators/table_data.h"

namespace zinnia {

/** Writes a table for people (aligned columns, numbers to the right, a line with the count of rows)
    or as JSON: `{"rows":[{"column":value,...},...]}`. */
std::string FormatTable(const TableData& table, OutputFormat format);

}  // namespace zinnia
