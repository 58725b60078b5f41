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

/** How long the parts of one recovery took: from the failed step to the failure's notice, from
    there to the first step of the new attempt, from there to the next token. Failures that meet a
    recovery under way add to its parts. */
struct RecoveryTimes {
  Duration detection{};
  Duration choice{};
  Duration rebuild{};
};

/** Writes a session's decisions to the recorder, always with the session as subject. */
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

/** "[0,8)@a [8,16)@b", for decision records. */
std::string Describe(const Route& route);

}  // namespace zinnia
