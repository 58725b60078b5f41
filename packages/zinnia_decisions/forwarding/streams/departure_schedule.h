#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Decides when running streams move away from a server that has announced its shutdown.

    If all streams moved at once, their prefills would queue on the same substitute and stall each
    answer for up to half a second. Streams that are expected to end before the shutdown stay for
    the first part of the notice period; the others move at random times, which spreads the load
    without coordination between instances.
*/
class DepartureSchedule {
 public:
  /** `notice`: time for which servers continue to serve after announcing their shutdown. */
  DepartureSchedule(RandomSource& random, Duration notice) : m_random(random), m_notice(notice) {}

  void SetNotice(Duration notice) { m_notice = notice; }

  /** Time at which a stream should move unless it has ended by then. `known_at` is the time at
      which the shutdown became known. */
  TimePoint MoveAt(TimePoint known_at, Duration expected_remaining) const;

 private:
  RandomSource& m_random;
  Duration m_notice;
};

}  // namespace zinnia
