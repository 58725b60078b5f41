#include <fmt/format.h>

#include <chrono>
#include <cstdlib>

#include "tests/control/schedule_runner.h"
#include "zinnia_base/random/random_source.h"

namespace {

using zinnia::RandomBelow;
using zinnia::RandomSource;
using zinnia::ScheduleAction;
using zinnia::ScheduleRunner;
using zinnia::ScheduleStep;

constexpr std::uint64_t kMostSteps = 24;
constexpr std::uint64_t kLongestWaitMs = 3'000;
constexpr int kMostPrinted = 5;

std::vector<ScheduleStep> MakeSteps(RandomSource& random) {
  std::vector<ScheduleStep> steps(4 + RandomBelow(random, kMostSteps - 4));
  for (ScheduleStep& step : steps) {
    // Every third step is an operator's change, the rest is anything.
    const bool change = RandomBelow(random, 3) == 0;
    step.action = change ? ScheduleAction::kChange
                         : static_cast<ScheduleAction>(RandomBelow(
                               random, static_cast<std::uint64_t>(ScheduleAction::kCount)));
    step.choice = static_cast<std::uint32_t>(RandomBelow(random, 1000));
    step.wait_ms = static_cast<std::uint32_t>(RandomBelow(random, 2) == 0
                                                  ? RandomBelow(random, 50)
                                                  : RandomBelow(random, kLongestWaitMs));
  }
  return steps;
}

}  // namespace

/** Runs seeded schedules of failures and changes: bench_config_schedules [schedules] [first seed].
 */
int main(int argc, char** argv) {
  const std::uint64_t schedules = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4'000;
  const std::uint64_t first_seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::uint64_t violations = 0;
  std::uint64_t accepted = 0;
  const auto started = std::chrono::steady_clock::now();
  for (std::uint64_t seed = first_seed; seed < first_seed + schedules; ++seed) {
    RandomSource random(seed);
    const std::vector<ScheduleStep> steps = MakeSteps(random);
    ScheduleRunner runner(seed);
    const std::string violation = runner.Run(steps);
    accepted += runner.accepted();
    if (!violation.empty() && ++violations <= kMostPrinted) {
      fmt::print("# seed {}: {}\n", seed, violation);
    }
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
  fmt::print("schedules_run={}\nviolations={}\nchanges_accepted={}\nseconds={:.1f}\n", schedules,
             violations, accepted, took.count());
  return violations == 0 ? 0 : 1;
}
