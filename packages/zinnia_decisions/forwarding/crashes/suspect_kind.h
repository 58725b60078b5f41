#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace zinnia {

/** What may be the cause of a server's crash. kRequest: one request, with all that it says.
    kPromptPart: one part of a prompt, which many requests may share. Part of the messages between
    instances. */
enum class SuspectKind : std::uint8_t { kRequest, kPromptPart };

inline constexpr std::array kSuspectKinds = {SuspectKind::kRequest, SuspectKind::kPromptPart};

std::string_view NameOf(SuspectKind kind);

}  // namespace zinnia
