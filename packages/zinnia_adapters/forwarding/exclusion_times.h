#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Exclusion of an unreachable server. */
inline constexpr Duration kUnreachableExclusion = std::chrono::milliseconds(1'500);

/** Exclusion of a stalled server: about until the stall ends or its entry expires. */
inline constexpr Duration kStalledExclusion = std::chrono::milliseconds(3'000);

/** Exclusion of a server that lacks capacity: about the delay of its reports. */
inline constexpr Duration kFullExclusion = std::chrono::milliseconds(200);

/** Maximum of the same after repeated refusals, as by a server that another cannot reach. */
inline constexpr Duration kLongestFullExclusion = std::chrono::milliseconds(1'600);

}  // namespace zinnia
