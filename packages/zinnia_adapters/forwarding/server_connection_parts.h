#pragma once

#include <memory>

#include "zinnia_adapters/http/answer_limits.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/answer_memory.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

/** Dependencies of connections to servers. All references must outlive them. */
struct ServerConnectionParts {
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  AnswerLimits limits;

  /** Of all answers on the traffic thread. */
  std::shared_ptr<AnswerMemory> memory;
};

}  // namespace zinnia
