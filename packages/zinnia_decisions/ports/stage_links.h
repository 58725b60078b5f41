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

/** Receives the answers of the steps that one session sent. */
class StepListener {
 public:
  virtual ~StepListener() = default;

  /** `hop` is the number given to SendStep. Called on the session's traffic thread. */
  virtual void OnStepAnswer(std::uint32_t hop, StepAnswer answer) = 0;
};

/** What a stage can tell of a session that it holds in its cache. `tokens` are the ids of the
    positions from the end of the prompt on; stages in the middle of a route know none. */
struct HeldSession {
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<SampledToken> tokens;
};

/** The way to the model engines. One implementation batches steps over HTTP connections and notices
    missed deadlines; tests put fakes in its place.

    Exactly one answer comes for each step, kTimedOut or kConnectionLost if nothing better, unless
    the listener is gone by then. Nothing is called back from inside a call. Steps to one server
    may be answered in any order.
*/
class StageLinks {
 public:
  virtual ~StageLinks() = default;

  virtual void SendStep(const BackendServerName& server,
                        std::uint32_t hop,
                        StepRequest step,
                        std::weak_ptr<StepListener> listener) = 0;

  /** Tells the server to drop the session's cache up to and including that attempt. Best effort:
      engines also drop caches that are idle for long. */
  virtual void ReleaseSession(const BackendServerName& server,
                              const SessionName& session,
                              AttemptNumber attempt) = 0;

  /** Asks what the server holds of a session; kNotFound if nothing. */
  virtual void FindSession(const BackendServerName& server,
                           const SessionName& session,
                           std::function<void(Result<HeldSession>)> callback) = 0;

  /** Moves the cache of one attempt from a living server to another that holds the same layers, as
      `new_attempt`, by KV export and import. A transfer cut half way leaves nothing behind. */
  virtual void MoveCache(const BackendServerName& from,
                         const BackendServerName& to,
                         const SessionName& session,
                         AttemptNumber attempt,
                         AttemptNumber new_attempt,
                         std::function<void(Result<std::uint32_t>)> callback) = 0;
};

}  // namespace zinnia
