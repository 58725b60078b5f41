#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** When a running stream leaves a server of its path that will end soon, but still works.

    What fails without it: hundreds of streams leave a server the moment it announces its departure,
    and all of them read their tokens again at the same substitute. Each stands still for up to
    half a second, although the server would have served most of them to their end. One notices
    pauses in answers whenever engines are replaced or taken away as planned.

    So a stream that is expected to end while the server still works stays, for the first part of
    the notice at least; each of the others moves at a moment of its own. Chance spreads them, as
    no instance knows the streams of the others.
*/
class DepartureSchedule {
 public:
  /** `notice`: how long servers go on working after they announced their departure. */
  DepartureSchedule(RandomSource& random, Duration notice) : m_random(random), m_notice(notice) {}

  void SetNotice(Duration notice) { m_notice = notice; }

  /** When a stream that has `expected_remaining` to go should move, if it has not ended by then.
      `known_at`: when the departure became known. */
  TimePoint MoveAt(TimePoint known_at, Duration expected_remaining) const;

 private:
  RandomSource& m_random;
  Duration m_notice;
};

}  // namespace zinnia
