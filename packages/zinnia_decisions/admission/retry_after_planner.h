#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/admission/admission_settings.h"

namespace zinnia {

/** Computes staggered Retry-After values for refused requests.

    A constant value would synchronise retries into repeated overload peaks. Each refusal instead
    reserves the next time slot at a rate that the pool can serve. The result is jittered because
    instances do not coordinate their reservations.
*/
class RetryAfterPlanner {
 public:
  explicit RetryAfterPlanner(const AdmissionSettings& settings) : m_settings(settings) {}

  /** Returns the delay until the reserved slot. `earliest` is the time to drain the current queue;
      the slot lasts `cost` / `cost_per_second`. */
  std::chrono::milliseconds ReserveSlot(TimePoint now,
                                        Duration earliest,
                                        double cost,
                                        double cost_per_second,
                                        RandomSource& random);

  /** End of the last reserved slot. */
  TimePoint ReservedUntil() const { return m_reserved_until; }

 private:
  AdmissionSettings m_settings;
  TimePoint m_reserved_until{};
};

}  // namespace zinnia
