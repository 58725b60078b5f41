#include <algorithm>
#include <string>

#include "tests/once/once_world.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OnceTakeover) {
  OnceWorld world{17, 5};
  FakeInstance* holder = nullptr;
  FakeInstance* caller = nullptr;

  void setup() override {
    world.Advance(seconds(1));
    holder = &world.Holder();
    caller = holder == &world[0] ? &world[1] : &world[0];
    CallAll(*caller, "warm-up");
    world.Advance(seconds(3));
  }

  /** Sends enough keys to reach every partition. */
  void CallAll(FakeInstance & instance, const std::string& prefix) {
    for (int i = 0; i < 100; ++i) {
      instance.Call(prefix + std::to_string(i), "body");
    }
  }

  /** Sends requests every 50 ms, none through `left_out`; returns the number that failed. */
  int CountRefused(int bookings, const FakeInstance* left_out) {
    std::vector<std::shared_ptr<CallerRequest>> requests;
    for (int i = 0; i < bookings; ++i) {
      FakeInstance* instance = &world[i % world.instances.size()];
      instance = instance == left_out ? caller : instance;
      requests.push_back(instance->Call("k" + std::to_string(world.next_request), "body"));
      world.Advance(milliseconds(50));
    }
    world.Advance(seconds(5));
    return static_cast<int>(std::count_if(
        requests.begin(), requests.end(),
        [](const auto& request) { return request->caller_result != CallerResult::kAnswered; }));
  }

  std::size_t PartitionsHeldByLiveInstances() {
    std::size_t held = 0;
    for (const auto& instance : world.instances) {
      held += instance->thread().IsKilled() ? 0 : instance->coordinator().HeldPartitions();
    }
    return held;
  }
};

// A failure detected by one request must cause the takeover of all partitions of a killed holder
// that membership still lists as live.
TEST(OnceTakeover, OneFailedRequestMovesAllPartitionsOfAKilledHolder) {
  CHECK(holder->coordinator().HeldPartitions() > 1);
  world.sees_killed_as_live = true;
  holder->Kill();
  int asked = 0;
  while (PartitionsHeldByLiveInstances() < 16 && asked < 20) {
    caller->Call("meets" + std::to_string(asked++), "body");
  }
  world.Advance(milliseconds(1'000));
  LONGS_EQUAL(16, PartitionsHeldByLiveInstances());
}

// As above with a paused holder and 20 requests a second: no request may time out.
TEST(OnceTakeover, NoRequestIsRefusedBecauseAHolderIsPaused) {
  holder->thread().Pause();
  LONGS_EQUAL(0, CountRefused(100, holder));
}

// Holders that reply late because of a slow store still reply to probes and must keep their
// partitions.
TEST(OnceTakeover, ASlowStoreMovesNoPartition) {
  for (const milliseconds slow : {milliseconds(3), milliseconds(50), milliseconds(300)}) {
    world.store.faults.one_way = Duration(slow) / 2;
    const std::size_t before = world.Count("take_over");
    LONGS_EQUAL(0, CountRefused(400, nullptr));
    LONGS_EQUAL(before, world.Count("take_over"));
  }
}

// As above, with a store so slow that no request is answered in time.
TEST(OnceTakeover, AStoreTooSlowForRequestsMovesNoPartition) {
  world.store.faults.one_way = milliseconds(400);
  const std::size_t before = world.Count("take_over");
  CountRefused(200, nullptr);
  LONGS_EQUAL(before, world.Count("take_over"));
}

// An instance that sends a request to the old holder after a takeover must find the new holder by
// reading the head, not only after the takeover timeout.
TEST(OnceTakeover, AnInstanceThatMissedATakeoverFindsTheNewHolderSoon) {
  FakeInstance* late = nullptr;
  for (const auto& instance : world.instances) {
    late = instance.get() != holder && instance.get() != caller ? instance.get() : late;
  }
  CallAll(*late, "late warm-up");
  world.Advance(seconds(3));
  holder->thread().Pause();
  CallAll(*caller, "meets");
  world.Advance(seconds(3));
  const TimePoint asked_at = world.time.Now();
  std::vector<std::shared_ptr<CallerRequest>> requests;
  requests.reserve(100);
  for (int i = 0; i < 100; ++i) {
    requests.push_back(late->Call("late" + std::to_string(i), "body"));
  }
  world.Advance(seconds(3));
  for (const auto& request : requests) {
    CHECK(request->caller_result == CallerResult::kAnswered);
    CHECK(request->result_at - asked_at < milliseconds(600));
  }
}

// The loss of a holder of many partitions must not flood the store with concurrent takeovers.
TEST(OnceTakeover, FewPartitionsAreTakenOverAtOnce) {
  OnceSettings settings;
  settings.most_takeovers = 2;
  OnceWorld pair(17, 2, settings);
  pair.Advance(seconds(1));
  FakeInstance& lost = pair.Holder();
  FakeInstance& asker = &lost == &pair[0] ? pair[1] : pair[0];
  for (int i = 0; i < 100; ++i) {
    asker.Call("warm-up" + std::to_string(i), "body");
    pair.Advance(milliseconds(100));
  }
  const std::size_t held = lost.coordinator().HeldPartitions();
  CHECK(held > 4);
  pair.sees_killed_as_live = true;
  lost.Kill();
  asker.coordinator().OnReportOutcome({}, [](const Result<void>&) {});
  pair.store.most_writes_under_way = 0;
  pair.Advance(seconds(3));
  LONGS_EQUAL(16, asker.coordinator().HeldPartitions());
  CHECK(pair.store.most_writes_under_way <= 2);
}

// Instances that detect a lost holder at the same time must not all attempt every takeover.
TEST(OnceTakeover, TakeoversOfALostHolderAreStaggered) {
  const std::size_t held = holder->coordinator().HeldPartitions();
  holder->thread().Pause();
  const std::uint64_t before = world.store.creations;
  for (const auto& instance : world.instances) {
    CallAll(*instance, instance->Self().name);
  }
  world.Advance(milliseconds(1'500));
  LONGS_EQUAL(held, world.store.creations - before);
}

// Calls to a paused holder that time out after a takeover must not count against the new holder.
TEST(OnceTakeover, LateFailuresOfTheOldHolderDoNotMoveThePartitionAgain) {
  const std::size_t held = holder->coordinator().HeldPartitions();
  const std::size_t before = world.Count("take_over");
  holder->thread().Pause();
  CountRefused(400, holder);
  LONGS_EQUAL(before + held, world.Count("take_over"));
}

// After a suspension of its own machine, an instance must not take replies that are still in flight
// for a silent holder.
TEST(OnceTakeover, AnInstanceThatWasSuspendedTakesNothing) {
  const std::size_t before = world.Count("take_over");
  holder->thread().Pause();
  CallAll(*caller, "on its way");
  world.Advance(milliseconds(200));
  caller->thread().Pause();
  world.Advance(seconds(3));
  caller->thread().Wake();
  world.Advance(milliseconds(20));
  holder->thread().Wake();
  world.Advance(seconds(3));
  LONGS_EQUAL(before, world.Count("take_over"));
}

// A planned stop must end although the release of its partitions cannot be written.
TEST(OnceTakeover, APlannedStopDuringAnOutageEnds) {
  world.store.faults.outage = true;
  int done = 0;
  holder->coordinator().HandOver([&] { done += 1; });
  world.Advance(seconds(2));
  LONGS_EQUAL(0, done);
  world.Advance(seconds(2));
  LONGS_EQUAL(1, done);
  world.store.faults.outage = false;
  world.Advance(seconds(10));
  LONGS_EQUAL(1, done);
}

}  // namespace
}  // namespace zinnia
