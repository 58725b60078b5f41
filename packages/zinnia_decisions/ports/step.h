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
    tokens that are already known. */
struct TokenInput {
  std::string prompt;
  std::vector<TokenId> tokens;
};

/** Input of every later stage: one opaque hidden state for each position. */
struct HiddenInput {
  std::vector<std::string> states;
};

/** Lets a new attempt start from the cache that an older attempt left at the same stage, cut down
   to `length` positions. */
struct CacheAdoption {
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
};

/** One step: run `layers` on the input, whose first position is `position`.

    A stage takes it only if its cache for (session, attempt) holds exactly `position` positions,
    after the adoption if there is one. That makes a repeated, late or reordered step harmless: it
    is answered with kWrongLength. The last stage of a route sets `sample` to get a token back.
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

  /** Names the request to the quarantine if the server crashes while it runs this step. */
  Fingerprint fingerprint;

  /** The request was on a server that crashed. The channel keeps at most one isolated step in
     flight at a server, so that a second crash tells the one request that causes it from the
     others. */
  bool isolated = false;
};

/** kTimedOut, kConnectionLost and kServerCrashed come from the channel, not from the stage: the
   step may have been run. kServerCrashed is told from a cut connection by a refused reconnection or
   a new incarnation. */
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

/** A stage's answer to one step. `length` is what its cache holds for the attempt afterwards;
    `prompt_tokens` is set by the first stage for a step with a prompt. */
struct StepAnswer {
  StepStatus status = StepStatus::kDone;
  AttemptNumber attempt = 0;
  std::uint32_t length = 0;
  std::uint32_t prompt_tokens = 0;
  std::vector<std::string> states;
  std::optional<SampledToken> token;

  /** With kServerCrashed: the server was gone before the step was sent, so its request cannot be
      what crashed it. */
  bool never_sent = false;
};

}  // namespace zinnia
