#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstdint>

namespace zinnia {

/** Which failure schedules are run, and for how long at most. */
struct ScheduleRun {
  std::uint64_t first_seed = 1;
  std::uint64_t most = 100'000;
  std::chrono::steady_clock::duration budget = std::chrono::seconds(45);
  unsigned threads = 4;
};

/** Seeded failure schedules. Prints schedules_run, violations and the rate; each violation goes to
    standard error with its seed. */
void BenchSchedules(const ScheduleRun& run);

/** Store calls and added latency of bookings at a steady rate, in virtual time. */
void BenchLoad();

/** A store outage of 30 s under 20 bookings a second: what is refused, and how fast. */
void BenchOutage();

/** How long bookings fail or hang after a holder is lost, and how many partitions move while nobody
    is lost, with stores of several speeds; in virtual time. */
void BenchTakeovers();

}  // namespace zinnia
