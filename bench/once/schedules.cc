#include <cstdint>

#include "bench/once/benchmarks.h"
#include "tests/once/once_schedule.h"

namespace zinnia {

void BenchSchedules(std::chrono::steady_clock::duration budget, std::uint64_t most) {
  const auto end = std::chrono::steady_clock::now() + budget;
  std::uint64_t run = 0;
  std::uint64_t violations = 0;
  for (; run < most && std::chrono::steady_clock::now() < end; ++run) {
    for (const std::string& violation : OnceSchedule(run + 1).Run()) {
      violations += 1;
      fmt::print(stderr, "seed {}: {}\n", run + 1, violation);
    }
  }
  fmt::print("schedules_run={}\nviolations={}\n", run, violations);
}

}  // namespace zinnia
