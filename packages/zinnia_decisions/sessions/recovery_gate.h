#pragma once

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

/** Says whether a session may try again after a failure: the retry budgets and the quarantine.

    An error is the caller's final answer (kRetryBudgetSpent, kQuarantined). Called on the traffic
    thread, so it must not wait.
*/
class RecoveryGate {
 public:
  virtual ~RecoveryGate() = default;

  /** Whether the request may be started at all, before any step was sent. */
  virtual Result<void> MayStart(const ChatRequest& request) = 0;

  /** `cause` is the status that ended the attempt, `server` the one that gave it, `crashes` how
     many distinct servers have crashed under this session. */
  virtual Result<void> MayRecover(const ChatRequest& request,
                                  const BackendServerName& server,
                                  StepStatus cause,
                                  std::uint32_t crashes) = 0;
};

}  // namespace zinnia
