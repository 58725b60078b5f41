#include <algorithm>
#include <string>
#include <vector>

#include "bench/once/benchmarks.h"
#include "tests/once/once_world.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInstances = 9;
constexpr milliseconds kPrompt{100};

enum class HolderLoss { kKilledAndListedDead, kKilledButListedLive, kPaused, kPlannedStop };

void Lose(OnceWorld& world, FakeInstance& holder, HolderLoss loss) {
  world.sees_killed_as_live = loss == HolderLoss::kKilledButListedLive;
  switch (loss) {
    case HolderLoss::kPaused:
      return holder.thread().Pause();
    case HolderLoss::kPlannedStop:
      return holder.coordinator().HandOver([] {});
    default:
      holder.Kill();
  }
}

FakeInstance& MostHolding(OnceWorld& world) {
  const auto held = [](const auto& instance) { return instance->coordinator().HeldPartitions(); };
  return **std::max_element(
      world.instances.begin(), world.instances.end(),
      [&](const auto& left, const auto& right) { return held(left) < held(right); });
}

struct Booking {
  TimePoint asked_at;
  std::shared_ptr<CallerRequest> request;
};

/** Bookings of new keys at a steady interval, through all instances but `left_out` by turns. */
std::vector<Booking> Book(OnceWorld& world,
                          const FakeInstance* left_out,
                          const std::string& prefix,
                          milliseconds interval,
                          milliseconds duration) {
  std::vector<Booking> bookings;
  for (milliseconds at{0}; at < duration; at += interval) {
    FakeInstance* caller = &world[bookings.size() % kInstances];
    caller = caller == left_out ? &world[(bookings.size() + 1) % kInstances] : caller;
    const std::string key = prefix + std::to_string(bookings.size());
    bookings.push_back({world.time.Now(), caller->Call(key, "body")});
    world.Advance(interval);
  }
  return bookings;
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/** From the loss until the last booking that failed or took longer than `prompt` was answered. */
double RecoveryMilliseconds(HolderLoss loss, milliseconds interval, milliseconds store_call) {
  OnceWorld world(17, kInstances);
  world.Advance(milliseconds(2'000));
  world.store.faults.one_way = store_call / 2;
  FakeInstance& holder = MostHolding(world);
  Book(world, &holder, "before", milliseconds(20), milliseconds(4'000));
  world.Advance(milliseconds(3'000));
  const TimePoint lost_at = world.time.Now();
  Lose(world, holder, loss);
  const auto bookings = Book(world, &holder, "after", interval, milliseconds(10'000));
  world.Advance(milliseconds(5'000));
  Duration longest{};
  for (const Booking& booking : bookings) {
    const bool failed = booking.request->caller_result != CallerResult::kAnswered;
    if (failed || booking.request->result_at - booking.asked_at > kPrompt + 4 * store_call) {
      longest = std::max<Duration>(longest, booking.request->result_at - lost_at);
    }
  }
  return Milliseconds(longest);
}

void PrintRecovery(const char* name, HolderLoss loss) {
  for (const int interval : {50, 10}) {
    fmt::print("once_takeover_{}_ms_at_{}_per_second={:.1f}\n", name, 1'000 / interval,
               RecoveryMilliseconds(loss, milliseconds(interval), milliseconds(3)));
  }
}

/** Takeovers while nobody is lost, after the store's calls go from 3 ms to `store_call`. */
void PrintNeedlessTakeovers(milliseconds store_call) {
  OnceWorld world(19, kInstances);
  world.Advance(milliseconds(2'000));
  Book(world, nullptr, "before", milliseconds(50), milliseconds(10'000));
  const std::size_t before = world.Count("take_over");
  world.store.faults.one_way = Duration(store_call) / 2;
  const auto bookings = Book(world, nullptr, "slow", milliseconds(50), milliseconds(60'000));
  world.Advance(milliseconds(5'000));
  const auto answered = std::count_if(bookings.begin(), bookings.end(), [](const auto& booking) {
    return booking.request->caller_result == CallerResult::kAnswered;
  });
  fmt::print("once_needless_takeovers_in_60_s_at_{}_ms_store={}\n", store_call.count(),
             world.Count("take_over") - before);
  fmt::print("once_answered_percent_at_{}_ms_store={:.2f}\n", store_call.count(),
             100.0 * static_cast<double>(answered) / static_cast<double>(bookings.size()));
}

}  // namespace

void BenchTakeovers() {
  PrintRecovery("killed_listed_dead", HolderLoss::kKilledAndListedDead);
  PrintRecovery("killed_listed_live", HolderLoss::kKilledButListedLive);
  PrintRecovery("paused", HolderLoss::kPaused);
  PrintRecovery("planned_stop", HolderLoss::kPlannedStop);
  for (const int store_ms : {3, 50, 300}) {
    PrintNeedlessTakeovers(milliseconds(store_ms));
    fmt::print("once_takeover_paused_ms_at_{}_ms_store={:.1f}\n", store_ms,
               RecoveryMilliseconds(HolderLoss::kPaused, milliseconds(50), milliseconds(store_ms)));
    fmt::print("once_takeover_killed_listed_live_ms_at_{}_ms_store={:.1f}\n", store_ms,
               RecoveryMilliseconds(HolderLoss::kKilledButListedLive, milliseconds(50),
                                    milliseconds(store_ms)));
  }
}

}  // namespace zinnia
