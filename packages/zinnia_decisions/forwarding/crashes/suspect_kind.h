#pragma once

#include <cstdint>
#include <string_view>

namespace zinnia {

/** What is suspected of crashing servers. kRequest: a whole request. kPromptPart: a part of the
    prompt that many requests may share. */
enum class SuspectKind : std::uint8_t { kRequest, kPromptPart };

std::string_view NameOf(SuspectKind kind);

}  // namespace zinnia
