#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/fleet/pipeline.h"

namespace zinnia {

class DecisionRecorder;

/** Durations of the phases of one recovery: until the failure is detected, until the new attempt
    sends its first step, until the next token. Failures during a recovery add to its phases. */
struct RecoveryTimes {
  Duration detection{};
  Duration choice{};
  Duration rebuild{};
};

/** Records decisions with the session as their subject. */
class SessionRecords {
 public:
  using Facts = std::vector<std::pair<std::string, std::string>>;

  SessionRecords(const Clock& clock, DecisionRecorder& recorder, const SessionName& session);

  void Write(std::string_view decision, std::string reason, Facts facts = {}) const;
  void WriteRecovered(const RecoveryTimes& times, AttemptNumber attempt) const;

 private:
  const Clock& m_clock;
  DecisionRecorder& m_recorder;
  const std::string m_subject;
};

/** Formats a route for decision records, such as "[0,8)@a [8,16)@b". */
std::string Describe(const Route& route);

}  // namespace zinnia
