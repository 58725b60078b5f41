#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_adapters/language/comparison.h"
#include "zinnia_adapters/language/output_format.h"
#include "zinnia_decisions/operators/table_kind.h"

namespace zinnia {

/** Conditions that must all hold. */
using AllOf = std::vector<Comparison>;

/** `show TABLE [where ...] [order by FIELD [desc]] [limit N] [as table|json]`.

    `any_of` holds the alternatives of `or`; empty means every row. `and` binds tighter than `or`.
*/
struct ShowCommand {
  TableKind table = TableKind::kInstances;
  std::vector<AllOf> any_of;
  std::optional<std::string> order_by;
  bool descending = false;
  std::optional<std::uint64_t> limit;
  std::optional<OutputFormat> format;

  bool operator==(const ShowCommand&) const = default;
};

}  // namespace zinnia
