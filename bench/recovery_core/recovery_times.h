#pragma once

#include <cstdint>

namespace zinnia {

/** Runs seeded sessions in which one stage crashes or freezes at a random moment after the first
    token, and prints how long the parts of the recovery took, in units of the healthy time between
    two tokens. */
void PrintRecoveryTimes(std::uint64_t sessions);

}  // namespace zinnia
