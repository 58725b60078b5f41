#include "zinnia_adapters/operators/decisions_table.h"

#include <fmt/format.h>

#include <chrono>
#include <iterator>

namespace zinnia {

std::string JoinFacts(const DecisionRecord& record) {
  std::string text;
  for (const auto& [name, value] : record.facts) {
    fmt::format_to(std::back_inserter(text), "{}{}={}", text.empty() ? "" : " ", name, value);
  }
  return text;
}

TableData DecisionsTable(const std::vector<DecisionRecord>& records) {
  TableData table{{"at_ms", "subject", "decision", "reason", "facts"}, {}};
  for (const DecisionRecord& record : records) {
    const auto since_first =
        std::chrono::duration_cast<std::chrono::milliseconds>(record.at - records.front().at);
    table.rows.push_back({std::int64_t{since_first.count()}, record.subject, record.decision,
                          record.reason, JoinFacts(record)});
  }
  return table;
}

}  // namespace zinnia
