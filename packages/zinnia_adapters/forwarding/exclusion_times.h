#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** How long a server that could not be reached gets no requests. */
inline constexpr Duration kUnreachableExclusion = std::chrono::milliseconds(1'500);

/** How long a server that was found stalled, here or by a peer, gets no requests: about until the
    stall ends or its entry lapses. */
inline constexpr Duration kStalledExclusion = std::chrono::milliseconds(3'000);

/** A server that refuses for want of room is left alone about as long as its reports lag. */
inline constexpr Duration kFullExclusion = std::chrono::milliseconds(200);

/** The same when it refuses again and again and takes nothing between: for a server that some other
    one cannot reach. */
inline constexpr Duration kLongestFullExclusion = std::chrono::milliseconds(1'600);

}  // namespace zinnia
