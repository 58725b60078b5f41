#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/admission/admission_settings.h"

namespace zinnia {

/** Says to the refused when to come back, one after the other.

    If all were told the same time, they would return together, be refused together, and the
    overload would never end; one notices a sawtooth of refusals with the period of Retry-After.
    So each refusal books the next free place at a rate that the pool can serve, and the answer is
    jittered, as several instances book without knowing of each other.
*/
class ReturnPlanner {
 public:
  explicit ReturnPlanner(const AdmissionSettings& settings) : m_settings(settings) {}

  /** `earliest` is how long the present queue takes; `cost` over `cost_per_second` is the room that
      this one needs on return. */
  std::chrono::milliseconds Book(TimePoint now,
                                 Duration earliest,
                                 double cost,
                                 double cost_per_second,
                                 RandomSource& random);

 private:
  AdmissionSettings m_settings;
  TimePoint m_booked_until{};
};

}  // namespace zinnia
