#pragma once

#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** A decision and the inputs that led to it, as printed by the explain command, logs and golden
    files.

    `subject` names the object of the decision ("session s-1", "configuration",
    "backend_server b-3"), `decision` is a snake_case verb phrase ("choose_pipeline") and `reason` a
    sentence.
*/
struct DecisionRecord {
  TimePoint at{};
  std::string subject;
  std::string decision;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> facts;
};

/** Receives every decision when it is made. Implementations must bound their memory use. */
class DecisionRecorder {
 public:
  virtual ~DecisionRecorder() = default;
  virtual void Record(DecisionRecord record) = 0;
};

/** Formats a record, without its time, as `decision=... subject="..." reason="..." fact="..."`. */
std::string Describe(const DecisionRecord& record);

}  // namespace zinnia
