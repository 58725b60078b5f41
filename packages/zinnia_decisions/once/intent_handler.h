#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** What a partition's holder answers to the instances that ask it. Called on the control thread;
    each callback runs exactly once, now or later.

    @see OnceCoordinator, PeerListener
*/
class IntentHandler {
 public:
  virtual ~IntentHandler() = default;
  virtual void OnBeginIntent(IntentRequest request,
                             std::function<void(Result<IntentReply>)> callback) = 0;
  virtual void OnReportOutcome(IntentOutcome outcome,
                               std::function<void(Result<void>)> callback) = 0;
};

}  // namespace zinnia
