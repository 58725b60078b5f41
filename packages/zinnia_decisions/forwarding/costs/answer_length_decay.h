#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Counts of answers halve in this time. Long enough for some tens of answers of an organisation
    that sends one request every ten seconds, short enough to follow a change of traffic within a
   few minutes. */
inline constexpr Duration kAnswerLengthHalfLife = std::chrono::minutes(5);

/** The factor by which counts shrink in `elapsed`. */
double AnswerLengthDecay(Duration elapsed);

}  // namespace zinnia
