#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** How fast a backend server was measured to be by the links of one traffic thread. Zero means not
    known (yet); it does not replace a figure that another thread measured.

    @see ServerLoad
*/
struct ServerRatesReport {
  Duration step_time_p50{};
  Duration step_time_p99{};

  /** What a decode batch takes however few steps are in it. */
  Duration empty_step_time{};

  /** At full batch, not as they passed. */
  double decode_tokens_per_second = 0.0;
  double prefill_tokens_per_second = 0.0;
};

}  // namespace zinnia
