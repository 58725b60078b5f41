#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {

/** Metadata that a caller sends with a request. */
struct RequestFacts {
  std::string id;
  std::string api_key;
  std::optional<std::chrono::milliseconds> deadline;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_answer_tokens = 0;

  /** The caller's estimate of the response length; often inaccurate. */
  std::optional<std::uint32_t> expected_answer_tokens;

  /** The last event that the caller received, if it resumes a stream. */
  std::optional<std::uint64_t> last_event_id;

  /** The parts of the prompt that other prompts may share, in order and each once; bounded. Without
      the last part, which is the request's or its session's own. */
  std::vector<Fingerprint> prompt_parts;
};

}  // namespace zinnia
