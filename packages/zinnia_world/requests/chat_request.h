#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A caller's request for one streamed or whole model answer, after parsing and authentication.

    `prompt` is the rendered conversation; `fingerprint` hashes organisation, model and prompt, and
    names the request to the quarantine and in resume tokens.
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
