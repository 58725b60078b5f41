#include <algorithm>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "bench/once/benchmarks.h"
#include "tests/once/once_schedule.h"

namespace zinnia {
namespace {

/** Seeds are handed out in order, so that the same ones are run however many threads there are. */
struct SharedRun {
  std::chrono::steady_clock::time_point end;
  std::uint64_t last_seed;
  std::atomic<std::uint64_t> next_seed;
  std::atomic<std::uint64_t> run{0};
  std::atomic<std::uint64_t> violations{0};
  std::mutex printing;
};

void RunSchedules(SharedRun& shared) {
  while (std::chrono::steady_clock::now() < shared.end) {
    const std::uint64_t seed = shared.next_seed++;
    if (seed > shared.last_seed) {
      return;
    }
    const std::vector<std::string> violations = OnceSchedule(seed).Run();
    shared.run += 1;
    shared.violations += violations.size();
    const std::lock_guard lock(shared.printing);
    for (const std::string& violation : violations) {
      fmt::print(stderr, "seed {}: {}\n", seed, violation);
    }
  }
}

}  // namespace

void BenchSchedules(const ScheduleRun& run) {
  const auto began = std::chrono::steady_clock::now();
  SharedRun shared{began + run.budget, run.first_seed + run.most - 1, run.first_seed};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1U, run.threads); ++i) {
    threads.emplace_back([&shared] { RunSchedules(shared); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  fmt::print("schedules_run={}\nviolations={}\n", shared.run.load(), shared.violations.load());
  fmt::print("schedule_threads={}\n", threads.size());
  fmt::print("schedules_per_s={:.0f}\n", static_cast<double>(shared.run.load()) / took.count());
}

}  // namespace zinnia
