#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace zinnia {

/** What a caller says about its request beside method, path and body. */
struct RequestFacts {
  std::string id;
  std::string api_key;
  std::optional<std::chrono::milliseconds> deadline;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_answer_tokens = 0;

  /** The caller's own estimate of the answer's length; often far off. */
  std::optional<std::uint32_t> expected_answer_tokens;

  /** The id of the last event that the caller got of an earlier answer. */
  std::optional<std::uint64_t> last_event_id;
};

}  // namespace zinnia
