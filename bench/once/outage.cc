#include <algorithm>
#include <string>
#include <vector>

#include "bench/once/benchmarks.h"
#include "tests/once/once_world.h"

namespace zinnia {

void BenchOutage() {
  constexpr int kPerSecond = 20;
  constexpr int kOutageSeconds = 30;
  OnceWorld world(13, 9);
  world.Advance(std::chrono::seconds(2));
  world.store.faults.outage = true;
  std::vector<std::shared_ptr<CallerRequest>> requests;
  std::vector<TimePoint> asked_at;
  for (int i = 0; i < kPerSecond * kOutageSeconds; ++i) {
    requests.push_back(world[i % 9].Call("k" + std::to_string(i), "body"));
    asked_at.push_back(world.time.Now());
    world.Advance(std::chrono::milliseconds(1'000 / kPerSecond));
  }
  world.store.faults.outage = false;
  double refused = 0;
  double slowest_ms = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    refused += requests[i]->caller_result == CallerResult::kNotRun ? 1 : 0;
    const auto took = requests[i]->result_at - asked_at[i];
    slowest_ms = std::max(slowest_ms, std::chrono::duration<double, std::milli>(took).count());
  }
  const auto count = static_cast<double>(requests.size());
  fmt::print("once_refused_in_outage_percent={:.2f}\n", 100.0 * refused / count);
  fmt::print("once_slowest_refusal_in_outage_ms={:.2f}\n", slowest_ms);
  fmt::print("once_runs_in_outage={}\n", world.ledger.request_ids.size());
}

}  // namespace zinnia
