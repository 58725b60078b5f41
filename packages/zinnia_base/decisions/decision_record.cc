#include "zinnia_base/decisions/decision_record.h"

#include <fmt/format.h>

#include <iterator>

namespace zinnia {

std::string Describe(const DecisionRecord& record) {
  std::string text = fmt::format("decision={} subject=\"{}\" reason=\"{}\"", record.decision,
                                 record.subject, record.reason);
  for (const auto& [name, value] : record.facts) {
    fmt::format_to(std::back_inserter(text), " {}=\"{}\"", name, value);
  }
  return text;
}

}  // namespace zinnia
