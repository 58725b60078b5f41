#pragma once

#include "zinnia_world/fleet/fleet_snapshot.h"

namespace zinnia {

/** How fast a backend server runs its layer range: the step time of an empty server, and how many
    tokens a second it decodes and reads at full batch. */
struct ServerRates {
  double base_step_seconds = 0.0;
  double decode_tokens_per_second = 0.0;
  double prefill_tokens_per_second = 0.0;
};

/** Measured rates where the load has them, else nominal ones of the accelerator kind, which fall
    with the number of layers. The operators' weight scales both kinds of tokens. */
ServerRates RatesOf(const ServerView& view);

}  // namespace zinnia
