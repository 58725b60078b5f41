#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"

#include <algorithm>
#include <chrono>

namespace zinnia {
namespace {

/** An interval is unusual above this multiple of the mean; healthy slow paths have even
    intervals. */
constexpr double kUnusualIntervalFactor = 1.5;

/** Approximate window of the moving average. */
constexpr int kIntervalsInMean = 4;

/** Lower bound of the expected remaining events, for streams that exceed their expected length. */
constexpr double kMinRemainingEvents = 8.0;

}  // namespace

void EventIntervalTracker::OnEvent(TimePoint now) {
  if (HasBegun()) {
    m_last_interval = now - m_last_event_at;
    m_longest_interval = std::max(m_longest_interval, m_last_interval);
    m_previous_mean_interval = m_mean_interval;
    m_mean_interval =
        m_mean_interval == Duration::zero()
            ? m_last_interval
            : (m_mean_interval * (kIntervalsInMean - 1) + m_last_interval) / kIntervalsInMean;
  }
  m_events += 1;
  m_last_event_at = now;
}

bool EventIntervalTracker::IsLastIntervalUnusual(Duration min_interval) const {
  return m_last_interval >= min_interval &&
         m_last_interval >= m_previous_mean_interval * kUnusualIntervalFactor;
}

Duration EventIntervalTracker::ExpectedRemaining(double expected_events) const {
  const double remaining = std::max(expected_events - m_events, kMinRemainingEvents);
  return std::chrono::duration_cast<Duration>(m_mean_interval * remaining);
}

}  // namespace zinnia
