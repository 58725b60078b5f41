#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A parsed and authenticated request for a model response, streamed or complete.

    `prompt` is the rendered conversation. `fingerprint` is a hash of organisation, model and prompt
    that identifies the request in the quarantine and in resume tokens.
*/
struct ChatRequest {
  std::string request_id;
  OrganisationName organisation;
  ModelName model;
  std::string prompt;
  std::uint32_t max_tokens = 256;
  std::uint32_t priority = 1;
  std::uint64_t seed = 0;
  Fingerprint fingerprint;
  std::optional<TimePoint> deadline;
};

}  // namespace zinnia
