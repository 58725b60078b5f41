#pragma once

#include <cstdint>
#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/stage_links.h"

namespace zinnia {

/** A step that waits in a channel or is in flight, with who wants its answer. */
struct PendingStep {
  std::uint32_t hop = 0;
  StepRequest step;
  std::weak_ptr<StepListener> listener;
  TimePoint queued_at{};
};

}  // namespace zinnia
