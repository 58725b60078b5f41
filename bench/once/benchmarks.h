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

/** A store outage of 30 s under 20 bookings a second: what is refused, and how fast. */
void BenchOutage();

/** How long bookings fail or hang after a holder is lost, and how many partitions move while nobody
    is lost, with stores of several speeds; in virtual time. */
void BenchTakeovers();

}  // namespace zinnia
