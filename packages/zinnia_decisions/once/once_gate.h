#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** The gate that every non-idempotent request with a key passes before it is dispatched.

    Dispatch only after kGranted, and only if less than the reply's `valid_for_ms` passed since
    Begin was called: whoever sleeps longer must report the grant as unused instead. An error from
    Begin means that the request was not and will not be dispatched.

    @see OnceCoordinator, IntentVerdict
*/
class OnceGate {
 public:
  virtual ~OnceGate() = default;
  virtual void Begin(IntentRequest request, std::function<void(Result<IntentReply>)> callback) = 0;
  virtual void Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) = 0;
};

}  // namespace zinnia
