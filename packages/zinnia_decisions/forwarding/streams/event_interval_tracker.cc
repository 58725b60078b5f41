#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"

#include <algorithm>
#include <chrono>

namespace zinnia {
namespace {

/** Longer than the usual pause by this factor: sound paths of many slow accelerators are even. */
constexpr double kUnusualGap = 1.5;

/** The usual pause is a running mean over about so many. */
constexpr int kGapsInMean = 4;

/** A stream beyond its expected length goes on for so many events. */
constexpr double kEventsBeyondEstimate = 8.0;

}  // namespace

void EventIntervalTracker::OnEvent(TimePoint now) {
  if (HasBegun()) {
    m_last_gap = now - m_last_event_at;
    m_longest_gap = std::max(m_longest_gap, m_last_gap);
    m_usual_gap_before = m_usual_gap;
    m_usual_gap = m_usual_gap == Duration::zero()
                      ? m_last_gap
                      : (m_usual_gap * (kGapsInMean - 1) + m_last_gap) / kGapsInMean;
  }
  m_events += 1;
  m_last_event_at = now;
}

bool EventIntervalTracker::IsUnusual(Duration least) const {
  return m_last_gap >= least && m_last_gap >= m_usual_gap_before * kUnusualGap;
}

Duration EventIntervalTracker::ExpectedLeft(double expected_events) const {
  const double left = std::max(expected_events - m_events, kEventsBeyondEstimate);
  return std::chrono::duration_cast<Duration>(m_usual_gap * left);
}

}  // namespace zinnia
