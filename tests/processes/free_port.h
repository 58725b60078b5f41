#pragma once

#include <cstdint>

namespace zinnia::testing {

/** A loopback port that is free for TCP and UDP just now, below the range that the kernel gives to
    outgoing connections. Never the same twice in one program. */
std::uint16_t FreePort();

}  // namespace zinnia::testing
