#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>

namespace zinnia {

/** Seeded failure schedules from seed 1 on, until `most` were run or `budget` of real time is over.
    Prints schedules_run and violations; each violation goes to standard error with its seed. */
void BenchSchedules(std::chrono::steady_clock::duration budget, std::uint64_t most);

/** Store calls and added latency of bookings at a steady rate, in virtual time. */
void BenchLoad();

/** How many bookings a store outage refuses, and how long a takeover takes. */
void BenchFailures();

}  // namespace zinnia
