#include "zinnia_decisions/forwarding/crashes/probation.h"

#include <algorithm>

namespace zinnia {

void Probation::SetPlace(FleetPlace place) {
  m_place = {place.rank, std::max<std::size_t>(1, place.instances)};
}

Duration Probation::Interval() const {
  return kTrialPeriod * m_place.instances;
}

/** Turns that have passed unused are not made up for. */
void Probation::Advance() {
  const TimePoint now = m_clock.Now();
  if (now < m_next_turn_at) {
    return;
  }
  const auto passed = 1 + (now - m_next_turn_at) / Interval();
  m_turn += static_cast<std::uint64_t>(passed);
  m_next_turn_at += passed * Interval();
}

void Probation::Watch(const Fingerprint& suspect) {
  if (m_last_turns.empty()) {
    const Duration own_phase = kTrialPeriod * m_place.rank;
    const Duration phase = m_clock.WallNow().time_since_epoch() % Interval();
    m_next_turn_at = m_clock.Now() + (own_phase - phase + Interval()) % Interval();
  }
  Advance();
  m_last_turns.try_emplace(suspect, m_turn);
}

Duration Probation::TurnAge() {
  Advance();
  return m_clock.Now() - (m_next_turn_at - Interval());
}

bool Probation::HasTurn(const Fingerprint& suspect, bool is_alone) {
  Advance();
  const auto last = m_last_turns.find(suspect);
  if (last == m_last_turns.end()) {
    return true;
  }
  const Duration age = TurnAge();
  const bool is_open = age < kTurnLifetime && (is_alone || age >= kTimeOfSingleSuspects);
  return is_open && last->second < m_turn;
}

void Probation::TakeTurn(const Fingerprint& suspect) {
  m_last_turns[suspect] = m_turn;
}

}  // namespace zinnia
