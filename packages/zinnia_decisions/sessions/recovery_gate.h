#pragma once

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

/** Decides whether a session may start, or recover after a failure.

    An error is final for the caller (kRetryBudgetSpent, kQuarantined). Called on the traffic
    thread, so implementations must not block.
*/
class RecoveryGate {
 public:
  virtual ~RecoveryGate() = default;

  /** Called before the first step is sent. */
  virtual Result<void> MayStart(const ChatRequest& request) = 0;

  /** `cause` is the status that ended the attempt, `server` its origin, `crashes` the number of
      distinct servers that crashed during this session. */
  virtual Result<void> MayRecover(const ChatRequest& request,
                                  const BackendServerName& server,
                                  StepStatus cause,
                                  std::uint32_t crashes) = 0;
};

}  // namespace zinnia
