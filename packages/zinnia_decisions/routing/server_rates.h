#pragma once

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** Speed of a backend server on its layer range: the step time when idle, and the decode and
    prefill rates at full batch. */
struct ServerRates {
  double base_step_seconds = 0.0;
  double decode_tokens_per_second = 0.0;
  double prefill_tokens_per_second = 0.0;
};

/** Returns the measured rates where the load report has them, else nominal rates by
    accelerator kind and number of layers. The configured weight scales the decode and prefill
   rates. */
ServerRates RatesOf(const ServerView& view);

}  // namespace zinnia
