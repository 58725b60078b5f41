#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Tracks the intervals between the events of one stream and estimates when it will end. */
class EventIntervalTracker {
 public:
  /** Call once for events that arrive together. */
  void OnEvent(TimePoint now);

  bool HasBegun() const { return m_events > 0; }

  /** Requires HasBegun(). */
  TimePoint LastEventAt() const { return m_last_event_at; }

  /** Interval before the latest event; zero for the first event. */
  Duration LastInterval() const { return m_last_interval; }

  /** Moving average of the last few intervals. */
  Duration MeanInterval() const { return m_mean_interval; }
  Duration LongestInterval() const { return m_longest_interval; }

  /** Whether the latest interval is at least `min_interval` and much longer than the mean before
      it. A server of the path may have slowed down then. */
  bool IsLastIntervalUnusual(Duration min_interval) const;

  /** Expected time until `expected_events` have arrived in total. Length estimates are often too
      low, so a few more events are assumed once a stream exceeds its own. */
  Duration ExpectedRemaining(double expected_events) const;

 private:
  double m_events = 0.0;
  TimePoint m_last_event_at{};
  Duration m_last_interval{};
  Duration m_mean_interval{};
  Duration m_previous_mean_interval{};
  Duration m_longest_interval{};
};

}  // namespace zinnia
