#include "zinnia_decisions/forwarding/streams/departure_schedule.h"

#include <chrono>

namespace zinnia {
namespace {

/** The parts of the notice between which streams that were to end in time move if they have not.
    Some servers end sooner than they should, and the last move needs time to be carried out. */
constexpr double kDeferredMoveFraction = 0.4;
constexpr double kLastMoveFraction = 0.8;

}  // namespace

TimePoint DepartureSchedule::MoveAt(TimePoint known_at, Duration expected_remaining) const {
  const bool ends_in_time = expected_remaining < m_notice * kLastMoveFraction;
  const double first = ends_in_time ? kDeferredMoveFraction : 0.0;
  const double fraction = first + (kLastMoveFraction - first) * RandomUnit(m_random);
  return known_at + std::chrono::duration_cast<Duration>(m_notice * fraction);
}

}  // namespace zinnia
