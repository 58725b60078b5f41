#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** When the events of one stream came, and from that when the next ones and its end are due. */
class EventIntervalTracker {
 public:
  /** Events that arrive together are one. */
  void OnEvent(TimePoint now);

  bool HasBegun() const { return m_events > 0; }

  /** Only after the first event. */
  TimePoint LastEventAt() const { return m_last_event_at; }

  /** The pause before the newest event; zero for the first one. */
  Duration LastInterval() const { return m_last_interval; }

  /** Mean of the last few pauses. */
  Duration MeanInterval() const { return m_mean_interval; }
  Duration LongestInterval() const { return m_longest_interval; }

  /** Whether the newest event came so late that the path may have changed: `min_interval` at
     min_interval, and much later than this stream's events used to. */
  bool IsLastIntervalUnusual(Duration min_interval) const;

  /** Until `expected_events` have come in all. Estimates of an answer's length are often short, so
      a stream that is beyond its own is taken to go on for some events more. */
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
