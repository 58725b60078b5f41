#include "zinnia_adapters/metrics/measure_name.h"

namespace zinnia {

std::string_view NameOf(Measure measure) {
  switch (measure) {
    case Measure::kFirstToken:
      return "first_token";
    case Measure::kBetweenTokens:
      return "between_tokens";
    case Measure::kWholeAnswer:
      return "whole_answer";
    case Measure::kQueueing:
      return "queueing";
    case Measure::kRecovery:
      break;
  }
  return "recovery";
}

}  // namespace zinnia
