#pragma once

#include <cstddef>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A request to a prioritized service, as admission sees it. */
struct ClassRequest {
  /** See ServiceClasses; 0 is the most urgent. */
  std::size_t request_class = 0;
  OrganisationName organisation;

  /** Expected prompt and answer tokens. */
  double work = 1.0;

  /** Whether its caller returned after a refusal. */
  bool is_returning = false;

  TimePoint arrived_at{};

  /** Latest start at which the request can still meet its latency objective. */
  TimePoint start_deadline{};

  /** When it is refused unless a start on time is predicted. */
  TimePoint refuse_at{};

  /** When it is refused in any case. */
  TimePoint wait_ends_at{};
};

/** Sets the times of `request` from its arrival, the latency objective of its route, and the time
    at which its caller stops waiting for the answer. */
void SetWaitLimits(ClassRequest& request, Duration latency_objective, TimePoint caller_deadline);

}  // namespace zinnia
