#include "zinnia_decisions/forwarding/observed_state/store_contact.h"

#include <algorithm>

namespace zinnia {

void StoreContact::OnAnswer() {
  const TimePoint now = m_clock.Now();
  if (!HasAnsweredWithin(kLongestGap) || IsAway()) {
    m_served_since = now;
  }
  m_last_answer = now;
  m_failing_since.reset();
}

void StoreContact::OnFailure(TimePoint due) {
  const TimePoint now = m_clock.Now();
  m_last_failure = now;
  if (!m_failing_since) {
    m_failing_since = std::min(now, due);
  }
}

bool StoreContact::IsAway() const {
  return m_failing_since && *m_last_failure - *m_failing_since >= kShortestOutage;
}

bool StoreContact::HasAnsweredWithin(Duration duration) const {
  return m_last_answer && m_clock.Now() - *m_last_answer <= duration;
}

bool StoreContact::IsStableFor(Duration duration) const {
  return IsInContact() && HasAnsweredWithin(kLifetime) &&
         (!m_last_failure || m_clock.Now() - *m_last_failure >= duration);
}

bool StoreContact::HasServedFor(Duration duration) const {
  return HasAnsweredWithin(kLifetime) && !IsAway() && m_clock.Now() - m_served_since >= duration;
}

}  // namespace zinnia
