#include "zinnia_decisions/ports/step.h"

namespace zinnia {

std::string_view NameOf(StepStatus status) {
  switch (status) {
    case StepStatus::kDone:
      return "done";
    case StepStatus::kWrongLength:
      return "wrong_length";
    case StepStatus::kUnknownSession:
      return "unknown_session";
    case StepStatus::kNotLoaded:
      return "not_loaded";
    case StepStatus::kLeaving:
      return "leaving";
    case StepStatus::kOverloaded:
      return "overloaded";
    case StepStatus::kRejected:
      return "rejected";
    case StepStatus::kTimedOut:
      return "timed_out";
    case StepStatus::kConnectionLost:
      return "connection_lost";
    case StepStatus::kServerCrashed:
      break;
  }
  return "server_crashed";
}

}  // namespace zinnia
