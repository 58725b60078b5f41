#pragma once

#include <chrono>
#include <optional>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Judges from the outcomes of one instance's calls whether the platform's store has been away.

    An outage is a time of failed calls in which servers may have failed to renew their entries. A
    process knows only of the time in which it makes calls.

    Used on the control thread only. */
class StoreContact {
 public:
  /** Calls in a row that fail for less than this time are no outage: a connection was cut, a rate
      limit was reached or this process was busy. A server's entry lapses after several failed
      renewals only, which are a second apart. */
  static constexpr Duration kShortestOutage = std::chrono::milliseconds(400);

  /** Exceeds the time between two answers to a store watcher: its longest wait, its pause and a
      slow answer. */
  static constexpr Duration kLifetime = std::chrono::milliseconds(2'500);

  /** Without an answer for longer, an outage may have been missed. Exceeds kLifetime by the retries
      of a watch that is cut at its end. */
  static constexpr Duration kLongestGap = std::chrono::milliseconds(3'000);

  /** `clock` must outlive this object. */
  explicit StoreContact(const Clock& clock) : m_clock(clock) {}

  /** The store has answered a call. */
  void OnAnswer();

  /** A call failed that should have been answered by `due`. */
  void OnFailure(TimePoint due);

  /** Whether the last call was answered. */
  bool IsInContact() const { return m_last_answer && !m_failing_since; }
  bool WasEverInContact() const { return m_last_answer.has_value(); }
  bool HasEverFailed() const { return m_last_failure.has_value(); }
  std::optional<TimePoint> LastAnswer() const { return m_last_answer; }

  /** Whether all calls of at least `duration` were answered, and one of them recently. */
  bool IsStableFor(Duration duration) const;

  /** Whether the store has served this process for at least `duration` without an outage, and has
      answered recently. */
  bool HasServedFor(Duration duration) const;

 private:
  bool HasAnsweredWithin(Duration duration) const;

  /** Whether calls have failed for so long that this is an outage. */
  bool IsAway() const;

  const Clock& m_clock;
  std::optional<TimePoint> m_last_answer;
  std::optional<TimePoint> m_last_failure;

  /** Since when no call has been answered. */
  std::optional<TimePoint> m_failing_since;

  /** The first answer after the last outage, or after a time without calls that may hide one. */
  TimePoint m_served_since{};
};

}  // namespace zinnia
