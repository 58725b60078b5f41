#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Handles intents and outcomes that peers send to this instance as the holder of a partition.
    Called on the control thread; `reply` must be called exactly once, immediately or later.

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
