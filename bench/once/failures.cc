#include <algorithm>
#include <string>
#include <vector>

#include "bench/once/benchmarks.h"
#include "tests/once/once_world.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

constexpr int kPerSecond = 20;
constexpr int kOutageSeconds = 30;

/** A store outage of 30 s under 20 bookings a second: what is refused, and how fast. */
void BenchOutage() {
  OnceWorld world(13, 9);
  world.Advance(milliseconds(2'000));
  world.store.faults.outage = true;
  std::vector<std::shared_ptr<CallerRequest>> requests;
  std::vector<TimePoint> asked_at;
  for (int i = 0; i < kPerSecond * kOutageSeconds; ++i) {
    requests.push_back(world[i % 9].Call("k" + std::to_string(i), "body"));
    asked_at.push_back(world.time.Now());
    world.Advance(milliseconds(1'000 / kPerSecond));
  }
  world.store.faults.outage = false;
  double refused = 0;
  double slowest_ms = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    refused += requests[i]->told == Told::kNotRun ? 1 : 0;
    const auto took = requests[i]->told_at - asked_at[i];
    slowest_ms = std::max(slowest_ms, std::chrono::duration<double, std::milli>(took).count());
  }
  const auto count = static_cast<double>(requests.size());
  fmt::print("once_refused_in_outage_percent={:.2f}\n", 100.0 * refused / count);
  fmt::print("once_slowest_refusal_in_outage_ms={:.2f}\n", slowest_ms);
  fmt::print("once_runs_in_outage={}\n", world.ledger.request_ids.size());
}

enum class HolderLoss { kKilledAndListedDead, kKilledButListedLive, kPaused, kPlannedStop };

/** From the loss until a booking that repeats every 50 ms with a new key is answered, for the
    partitions of one holder; the longest over all of them. */
double TakeoverMilliseconds(HolderLoss loss) {
  OnceWorld world(17, 9);
  world.Advance(milliseconds(2'000));
  FakeInstance& holder = world.Holder();
  FakeInstance& caller = &holder == &world[0] ? world[1] : world[0];
  for (int i = 0; i < 200; ++i) {
    caller.Call("before" + std::to_string(i), "body");
  }
  world.Advance(milliseconds(2'000));
  world.sees_killed_as_live = loss == HolderLoss::kKilledButListedLive;
  switch (loss) {
    case HolderLoss::kPaused:
      holder.thread().Pause();
      break;
    case HolderLoss::kPlannedStop:
      holder.coordinator().HandOver([] {});
      break;
    default:
      holder.Kill();
  }
  const TimePoint lost_at = world.time.Now();
  std::vector<std::shared_ptr<CallerRequest>> requests;
  for (int i = 0; i < 200; ++i) {
    requests.push_back(caller.Call("after" + std::to_string(i), "body"));
    world.Advance(milliseconds(50));
  }
  TimePoint last_failure = lost_at;
  for (const auto& request : requests) {
    const bool answered = request->told == Told::kAnswered;
    const auto slow = request->told_at - lost_at;
    if (!answered && slow > Duration::zero()) {
      last_failure = std::max(last_failure, request->told_at);
    }
  }
  Duration longest = last_failure - lost_at;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const TimePoint asked = lost_at + milliseconds(50) * i;
    if (requests[i]->told_at - asked > milliseconds(100)) {
      longest = std::max<Duration>(longest, requests[i]->told_at - lost_at);
    }
  }
  return std::chrono::duration<double, std::milli>(longest).count();
}

}  // namespace

void BenchFailures() {
  BenchOutage();
  fmt::print("once_takeover_killed_listed_dead_ms={:.1f}\n",
             TakeoverMilliseconds(HolderLoss::kKilledAndListedDead));
  fmt::print("once_takeover_killed_listed_live_ms={:.1f}\n",
             TakeoverMilliseconds(HolderLoss::kKilledButListedLive));
  fmt::print("once_takeover_paused_ms={:.1f}\n", TakeoverMilliseconds(HolderLoss::kPaused));
  fmt::print("once_takeover_planned_stop_ms={:.1f}\n",
             TakeoverMilliseconds(HolderLoss::kPlannedStop));
}

}  // namespace zinnia
