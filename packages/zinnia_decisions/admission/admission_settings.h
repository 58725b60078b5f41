#pragma once

#include <chrono>
#include <cstddef>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Limits and time constants of FairAdmissionController. */
struct AdmissionSettings {
  /** Nobody is kept waiting longer; who would have to is refused at once. */
  Duration longest_wait = std::chrono::milliseconds(800);

  std::size_t highest_waiting_per_organisation = 256;
  std::size_t highest_waiting_per_pool = 2'048;

  /** Deadlines are checked against the expected service time stretched by what was observed: its
      mean plus this many mean deviations. */
  double deviations_of_service_time = 2.0;

  /** Averaging time of the measured drain rate. */
  Duration drain_window = std::chrono::seconds(3);

  std::chrono::milliseconds shortest_retry_after{1'000};
  std::chrono::milliseconds longest_retry_after{60'000};

  /** Part of the drain rate that is promised to those who come back. */
  double share_for_returning = 0.5;

  /** Retry-After is multiplied by 1 plus or minus up to this at random. */
  double retry_after_jitter = 0.25;
};

}  // namespace zinnia
