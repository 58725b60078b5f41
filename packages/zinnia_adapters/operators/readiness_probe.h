#pragma once

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Says whether the instance may be given callers. Asked by the operators' server for GET /ready,
   on its threads; must not wait. */
class ReadinessProbe {
 public:
  virtual ~ReadinessProbe() = default;

  /** An error while starting (no configuration yet) or draining: the balancer stops sending. */
  virtual Result<void> CheckReady() const = 0;
};

}  // namespace zinnia
