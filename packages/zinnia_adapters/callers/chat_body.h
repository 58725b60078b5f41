#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The body of POST /v1/chat/completions, checked. */
struct ChatBody {
  ModelName model;
  std::string prompt;
  std::optional<std::uint32_t> max_tokens;
  std::optional<std::uint64_t> seed;
  bool stream = false;
  bool include_usage = false;
};

/** Parses the body and renders its messages into one prompt. Fails with kInvalidRequest naming the
    field. Unknown fields are ignored, as clients send many that engines here have no use for; `n`
    other than 1 is refused, because leaving it out would lose answers. */
Result<ChatBody> ParseChatBody(std::string_view body);

}  // namespace zinnia
