#pragma once

#include <string>

#include "zinnia_decisions/operators/operator_desk.h"

namespace zinnia {

/** `explain session ID` or `explain request ID`. */
struct ExplainCommand {
  ExplainKind kind = ExplainKind::kSession;
  std::string id;

  bool operator==(const ExplainCommand&) const = default;
};

}  // namespace zinnia
