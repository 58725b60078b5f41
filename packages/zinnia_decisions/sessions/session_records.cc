#include "zinnia_decisions/sessions/session_records.h"

#include <fmt/format.h>

#include <iterator>

#include "zinnia_base/decisions/decision_record.h"

namespace zinnia {
namespace {

std::string Microseconds(Duration duration) {
  return fmt::format("{}us",
                     std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

SessionRecords::SessionRecords(const Clock& clock,
                               DecisionRecorder& recorder,
                               const SessionName& session)
    : m_clock(clock), m_recorder(recorder), m_subject("session " + session) {}

void SessionRecords::Write(std::string_view decision, std::string reason, Facts facts) const {
  m_recorder.Record({.at = m_clock.Now(),
                     .subject = m_subject,
                     .decision = std::string(decision),
                     .reason = std::move(reason),
                     .facts = std::move(facts)});
}

void SessionRecords::WriteRecovered(const RecoveryTimes& times, AttemptNumber attempt) const {
  Write("finish_recovery", "the new attempt gave the next token",
        {{"attempt", std::to_string(attempt)},
         {"detection", Microseconds(times.detection)},
         {"choice", Microseconds(times.choice)},
         {"rebuild", Microseconds(times.rebuild)}});
}

std::string Describe(const Route& route) {
  std::string text;
  for (const Route::Hop& hop : route.hops) {
    fmt::format_to(std::back_inserter(text), "{}[{},{})@{}", text.empty() ? "" : " ",
                   hop.layers.first, hop.layers.end, hop.server);
  }
  return text;
}

}  // namespace zinnia
