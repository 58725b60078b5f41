#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Answers the intents that peers ask this instance, as holder of a partition, to make durable.
    Called on the control thread; `reply` may be called at once or later, exactly once.

    @see PeerListener, OnceGate
*/
class IntentHandler {
 public:
  virtual ~IntentHandler() = default;
  virtual void OnBeginIntent(IntentRequest request,
                             std::function<void(Result<IntentReply>)> reply) = 0;
  virtual void OnReportOutcome(IntentOutcome outcome, std::function<void(Result<void>)> reply) = 0;
};

}  // namespace zinnia
