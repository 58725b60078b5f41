#include "zinnia_decisions/forwarding/streams/departure_schedule.h"

#include <chrono>

namespace zinnia {
namespace {

/** Streams that are expected to end in time move between these fractions of the notice period if
    they are still running. The rest of the period is left for the last moves to complete, and for
    servers that shut down early. */
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
