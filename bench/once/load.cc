#include <algorithm>
#include <string>
#include <vector>

#include "bench/once/benchmarks.h"
#include "tests/once/once_world.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

struct LoadResult {
  double reads_per_booking = 0.0;
  double writes_per_booking = 0.0;
  double reads_per_second = 0.0;
  double writes_per_second = 0.0;
  double answered_percent = 0.0;
  double p50_ms = 0.0;
  double p99_ms = 0.0;
};

double Percentile(std::vector<double>& values, double fraction) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0.0 : values[static_cast<std::size_t>(fraction * (values.size() - 1))];
}

/** Bookings with exponential gaps at `per_second`, each with a new key, for `seconds`. */
LoadResult RunLoad(std::size_t instances, double per_second, int seconds) {
  OnceWorld world(11, instances);
  world.service_time = Duration::zero();
  world.Advance(milliseconds(2'000));
  const std::uint64_t reads = world.store.reads;
  const std::uint64_t writes = world.store.writes;
  std::vector<std::pair<TimePoint, std::shared_ptr<CallerRequest>>> requests;
  std::exponential_distribution<double> gap(per_second);
  const TimePoint end = world.time.Now() + std::chrono::seconds(seconds);
  while (world.time.Now() < end) {
    FakeInstance& instance = world[RandomBelow(world.random, instances)];
    const std::string key = "k" + std::to_string(requests.size());
    requests.emplace_back(world.time.Now(), instance.Call(key, "body"));
    const std::chrono::duration<double> pause(gap(world.random));
    world.time.AdvanceBy(std::chrono::duration_cast<Duration>(pause));
  }
  world.Advance(milliseconds(5'000));
  LoadResult result;
  std::vector<double> latencies;
  for (const auto& [at, request] : requests) {
    if (request->caller_result == CallerResult::kAnswered) {
      latencies.push_back(
          std::chrono::duration<double, std::milli>(request->result_at - at).count());
    }
  }
  const auto count = static_cast<double>(requests.size());
  result.reads_per_booking = static_cast<double>(world.store.reads - reads) / count;
  result.writes_per_booking = static_cast<double>(world.store.writes - writes) / count;
  result.reads_per_second = static_cast<double>(world.store.reads - reads) / seconds;
  result.writes_per_second = static_cast<double>(world.store.writes - writes) / seconds;
  result.answered_percent = 100.0 * static_cast<double>(latencies.size()) / count;
  result.p50_ms = Percentile(latencies, 0.50);
  result.p99_ms = Percentile(latencies, 0.99);
  return result;
}

void PrintLoad(std::size_t instances, int per_second, int seconds) {
  const LoadResult result = RunLoad(instances, per_second, seconds);
  const std::string suffix = fmt::format("_at_{}_per_second", per_second);
  fmt::print("once_store_reads_per_booking{}={:.3f}\n", suffix, result.reads_per_booking);
  fmt::print("once_store_writes_per_booking{}={:.3f}\n", suffix, result.writes_per_booking);
  fmt::print("once_store_reads_per_s{}={:.2f}\n", suffix, result.reads_per_second);
  fmt::print("once_store_writes_per_s{}={:.2f}\n", suffix, result.writes_per_second);
  fmt::print("once_answered_percent{}={:.2f}\n", suffix, result.answered_percent);
  fmt::print("once_added_latency_p50_ms{}={:.2f}\n", suffix, result.p50_ms);
  fmt::print("once_added_latency_p99_ms{}={:.2f}\n", suffix, result.p99_ms);
}

}  // namespace

void BenchLoad() {
  PrintLoad(9, 20, 300);
  PrintLoad(9, 170, 60);
  PrintLoad(9, 340, 60);
  PrintLoad(18, 680, 30);
}

}  // namespace zinnia
