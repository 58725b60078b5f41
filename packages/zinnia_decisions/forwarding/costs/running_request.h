#pragma once

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/costs/answer_length_estimator.h"
#include "zinnia_world/forwarding/path_part.h"

namespace zinnia {

/** A request that servers are running. */
struct RunningRequest {
  AnswerKey key;
  LayerPath path;
  double prompt_tokens = 0.0;

  /** Interval between events on this path; used until the stream has shown its own. */
  Duration expected_event_interval{};
};

}  // namespace zinnia
