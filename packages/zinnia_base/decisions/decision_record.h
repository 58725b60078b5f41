#pragma once

#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** One decision with the facts it was taken from.

    Explain, logs and golden files all print this same record. `subject` is what it was decided
    about ("session s-1", "configuration", "backend_server b-3"), `decision` a short snake_case verb
    phrase ("choose_pipeline"), `reason` one plain sentence.
*/
struct DecisionRecord {
  TimePoint at{};
  std::string subject;
  std::string decision;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> facts;
};

/** Receives each decision as it is taken. Implementations must be bounded in memory. */
class DecisionRecorder {
 public:
  virtual ~DecisionRecorder() = default;
  virtual void Record(DecisionRecord record) = 0;
};

/** "decision subject=... reason=\"...\" fact=value ..." without the time. */
std::string Describe(const DecisionRecord& record);

}  // namespace zinnia
