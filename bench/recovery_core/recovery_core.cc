#include <fmt/format.h>

#include <cstdint>
#include <string>

#include "bench/recovery_core/driver_cost.h"
#include "bench/recovery_core/recovery_times.h"
#include "tests/sessions/failure_schedule.h"

int main() {
  constexpr std::uint64_t kSchedules = 50'000;
  constexpr std::uint64_t kRecoveries = 1'000;
  const std::string expected = zinnia::SessionWorld::ExpectedText();
  std::uint64_t violations = 0;
  std::uint64_t whole = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    zinnia::FailureSchedule schedule(zinnia::FailureSchedule::Draw(seed), expected);
    const std::string violation = schedule.Run();
    whole += schedule.IsComplete() ? 1 : 0;
    if (!violation.empty()) {
      ++violations;
      fmt::print("violation_seed_{}={}\n", seed, violation);
    }
  }
  fmt::print("schedules_run={}\nviolations={}\nwhole_answers={}\n", kSchedules, violations, whole);
  zinnia::PrintRecoveryTimes(kRecoveries);
  zinnia::PrintDriverCost();
  return violations == 0 ? 0 : 1;
}
