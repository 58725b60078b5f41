#include "zinnia_decisions/admission/retry_after_planner.h"

#include <algorithm>

namespace zinnia {

std::chrono::milliseconds RetryAfterPlanner::ReserveSlot(TimePoint now,
                                                         Duration earliest,
                                                         double cost,
                                                         double cost_per_second,
                                                         RandomSource& random) {
  const Duration shortest = std::max<Duration>(earliest, m_settings.min_retry_after);
  const Duration longest = m_settings.max_retry_after;
  const std::chrono::duration<double> room(
      std::min(cost / std::max(cost_per_second, 1e-9), 3'600.0));
  m_reserved_until =
      std::max(m_reserved_until, now + shortest) + std::chrono::duration_cast<Duration>(room);
  Duration wait = m_reserved_until - now;
  if (wait > longest) {
    m_reserved_until = now + longest;
    wait = longest - std::chrono::duration_cast<Duration>(longest * 0.5 * RandomUnit(random));
  }
  const double jitter = m_settings.retry_after_jitter * (2.0 * RandomUnit(random) - 1.0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait * (1.0 + jitter));
}

}  // namespace zinnia
