#pragma once

#include <chrono>
#include <cstddef>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Limits and time constants of FairAdmissionController. */
struct AdmissionSettings {
  /** Upper bound of the queueing time. A request predicted to exceed it is refused on arrival. */
  Duration max_wait = std::chrono::milliseconds(800);

  std::size_t max_waiting_per_organisation = 256;
  std::size_t max_waiting_per_pool = 2'048;

  /** Number of mean deviations added to the mean ratio of observed to expected service time when
      a deadline is checked. */
  double service_time_deviations = 2.0;

  /** Time constant of the exponential average of the drain rate. */
  Duration drain_window = std::chrono::seconds(3);

  std::chrono::milliseconds min_retry_after{1'000};
  std::chrono::milliseconds max_retry_after{60'000};

  /** Part of the drain rate that Retry-After values may assign to retries. */
  double retry_share_of_drain_rate = 0.5;

  /** Retry-After is multiplied by a random factor between 1 - jitter and 1 + jitter. */
  double retry_after_jitter = 0.25;
};

}  // namespace zinnia
