#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/step.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Receives the responses to the steps of one session. */
class StepListener {
 public:
  virtual ~StepListener() = default;

  /** `hop` is the number given to SendStep. Called on the session's traffic thread. */
  virtual void OnStepAnswer(std::uint32_t hop, StepAnswer answer) = 0;
};

/** The cached state of a session at a stage. `tokens` are those at the positions after the prompt;
    intermediate stages of a route have none. */
struct HeldSession {
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<SampledToken> tokens;
};

/** Connections to the model engines.

    Each step gets exactly one response, if necessary kTimedOut or kConnectionLost, unless its
    listener has been destroyed. Callbacks run asynchronously. The responses of one server may
   arrive in any order.
*/
class StageLinks {
 public:
  virtual ~StageLinks() = default;

  virtual void SendStep(const BackendServerName& server,
                        std::uint32_t hop,
                        StepRequest step,
                        std::weak_ptr<StepListener> listener) = 0;

  /** Asks the server to drop the session's cache up to and including that attempt. Best effort:
      engines also evict idle caches. */
  virtual void ReleaseSession(const BackendServerName& server,
                              const SessionName& session,
                              AttemptNumber attempt) = 0;

  /** Queries the server's cached state of a session; kNotFound if there is none. */
  virtual void FindSession(const BackendServerName& server,
                           const SessionName& session,
                           std::function<void(Result<HeldSession>)> callback) = 0;

  /** Moves the cache of one attempt to another server with the same layers, as `new_attempt`, by KV
      export and import. An interrupted transfer leaves no partial cache. */
  virtual void MoveCache(const BackendServerName& from,
                         const BackendServerName& to,
                         const SessionName& session,
                         AttemptNumber attempt,
                         AttemptNumber new_attempt,
                         std::function<void(Result<std::uint32_t>)> callback) = 0;
};

}  // namespace zinnia
