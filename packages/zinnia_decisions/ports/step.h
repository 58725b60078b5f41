#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The id of a token in a model's vocabulary. */
using TokenId = std::uint32_t;

/** Input of the first stage: the prompt (only at position 0; the engine tokenises it) followed by
    already known tokens. */
struct TokenInput {
  std::string prompt;
  std::vector<TokenId> tokens;
};

/** Input of the later stages: one opaque hidden state per position. */
struct HiddenInput {
  std::vector<std::string> states;
};

/** Starts a new attempt from the cache of an older attempt at the same stage, truncated to `length`
    positions. */
struct CacheAdoption {
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
};

/** One step: run `layers` on the input, whose first position is `position`.

    A stage accepts it only if its cache for (session, attempt) holds exactly `position` positions,
    after any adoption. A duplicate, late or reordered step therefore has no effect and gets
    kWrongLength. The last stage of a route sets `sample` to get a token back.
*/
struct StepRequest {
  SessionName session;
  AttemptNumber attempt = 0;
  std::uint32_t position = 0;
  LayerRange layers;
  std::string version;
  std::variant<TokenInput, HiddenInput> input;
  std::optional<CacheAdoption> adopt;
  bool sample = false;
  std::uint32_t priority = 1;
  std::uint64_t seed = 0;

  /** Identifies the request in the quarantine if the server crashes while running this step. */
  Fingerprint fingerprint;

  /** The request was in flight on a server that crashed. The channel keeps at most one isolated
      step in flight per server, so that a second crash identifies its cause. */
  bool isolated = false;
};

/** kTimedOut, kConnectionLost and kServerCrashed come from the channel, not from the stage: the
   step may have run. kServerCrashed, unlike kConnectionLost, means that the reconnection was
   refused or the server has a new incarnation. */
enum class StepStatus {
  kDone,
  kWrongLength,
  kUnknownSession,
  kNotLoaded,
  kLeaving,
  kOverloaded,
  kRejected,
  kTimedOut,
  kConnectionLost,
  kServerCrashed,
};

std::string_view NameOf(StepStatus status);

/** A token that the last stage sampled, with its text. */
struct SampledToken {
  TokenId id = 0;
  std::string text;
  bool end_of_answer = false;
};

/** A stage's response to one step. `length` is the attempt's cache length afterwards;
    `prompt_tokens` is set by the first stage for a step with a prompt. */
struct StepAnswer {
  StepStatus status = StepStatus::kDone;
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<std::string> states;
  std::optional<SampledToken> token;

  /** With kServerCrashed: the server crashed before the step was sent, so that its request cannot
      be the cause. */
  bool never_sent = false;
};

}  // namespace zinnia
