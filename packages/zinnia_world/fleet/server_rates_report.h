#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Step times and throughput of a backend server, as measured by one traffic thread. Zero means
    unknown and does not overwrite the measurement of another thread.

    @see ServerLoad
*/
struct ServerRatesReport {
  Duration step_time_p50{};
  Duration step_time_p99{};

  /** Fixed cost of a decode batch, independent of the number of steps in it. */
  Duration empty_step_time{};

  /** Throughput at full batch size, not the observed throughput. */
  double decode_tokens_per_second = 0.0;
  double prefill_tokens_per_second = 0.0;
};

}  // namespace zinnia
