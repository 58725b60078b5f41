#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

/** Admits non-idempotent requests with an idempotency key.

    Call Begin for each such request, and dispatch it only if the verdict is kGranted and less than
    the reply's `valid_for_ms` has passed since the call of Begin. Otherwise report the grant as
    unused. If Begin fails, the request must not be dispatched.

    @see OnceCoordinator, IntentVerdict
*/
class OnceGate {
 public:
  virtual ~OnceGate() = default;
  virtual void Begin(IntentRequest request, std::function<void(Result<IntentReply>)> callback) = 0;
  virtual void Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) = 0;
};

}  // namespace zinnia
