#pragma once

#include <vector>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/operators/table_data.h"

namespace zinnia {

/** Decisions as a table with the columns at_ms (since the first of them), subject, decision, reason
    and facts. */
TableData DecisionsTable(const std::vector<DecisionRecord>& records);

/** "name=value name=value". */
std::string JoinFacts(const DecisionRecord& record);

}  // namespace zinnia
