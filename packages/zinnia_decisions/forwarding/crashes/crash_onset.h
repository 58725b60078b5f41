#pragma once

#include <cstdint>
#include <string_view>

namespace zinnia {

/** How far a request had got when its server crashed. kUnknown: its answer would have come whole,
   so nothing shows whether it had begun. kQueued: no part of its stream had arrived. kBegun: its
    stream had begun shortly before. kRunning: its stream had been running for longer. */
enum class CrashOnset : std::uint8_t { kUnknown, kQueued, kBegun, kRunning };

std::string_view NameOf(CrashOnset onset);

}  // namespace zinnia
