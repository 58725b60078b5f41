#pragma once

#include "zinnia_adapters/language/show_command.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/operators/table_data.h"

namespace zinnia {

/** Filters, sorts and limits a table as the command says. Fails with kInvalidCommand for a field
    that the table has not; the message lists those it has. The sort is stable. */
Result<TableData> ApplyQuery(const ShowCommand& command, TableData table);

}  // namespace zinnia
