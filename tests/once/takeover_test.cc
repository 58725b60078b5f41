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

  /** Enough keys that every partition gets some. */
  void CallAll(FakeInstance & instance, const std::string& prefix) {
    for (int i = 0; i < 100; ++i) {
      instance.Call(prefix + std::to_string(i), "body");
    }
  }

  /** A booking every 50 ms through all instances but `left_out`; how many were not answered. */
  int RefusedOf(int bookings, const FakeInstance* left_out) {
    std::vector<std::shared_ptr<CallerRequest>> requests;
    for (int i = 0; i < bookings; ++i) {
      FakeInstance* instance = &world[i % world.instances.size()];
      instance = instance == left_out ? caller : instance;
      requests.push_back(instance->Call("k" + std::to_string(world.next_request), "body"));
      world.Advance(milliseconds(50));
    }
    world.Advance(seconds(5));
    return static_cast<int>(
        std::count_if(requests.begin(), requests.end(),
                      [](const auto& request) { return request->told != Told::kAnswered; }));
  }

  std::size_t HeldByLiving() {
    std::size_t held = 0;
    for (const auto& instance : world.instances) {
      held += instance->thread().IsKilled() ? 0 : instance->coordinator().HeldPartitions();
    }
    return held;
  }
};

// Symptom: bookings fail for seconds after an instance was killed.
// Events: the holder of several partitions is killed and still listed as live; one booking meets
// it. Cause: each partition waits until it has been asked for often enough itself.
TEST(OnceTakeover, OneBookingIsEnoughToTakeAllPartitionsOfAKilledHolder) {
  CHECK(holder->coordinator().HeldPartitions() > 1);
  world.sees_killed_as_live = true;
  holder->Kill();
  int asked = 0;
  while (HeldByLiving() < 16 && asked < 20) {
    caller->Call("meets" + std::to_string(asked++), "body");
  }
  world.Advance(milliseconds(1'000));
  LONGS_EQUAL(16, HeldByLiving());
}

// Events: as above, but the holder is paused and 20 bookings a second arrive everywhere.
// Cause: without shared evidence and signs of life, some wait longer than their caller.
TEST(OnceTakeover, NoBookingIsRefusedBecauseAHolderSleeps) {
  holder->thread().Pause();
  LONGS_EQUAL(0, RefusedOf(100, holder));
}

// Symptom: partitions move for no reason while the store is slow.
// Events: each store call goes from 3 ms to `slow`; nobody is lost.
// Cause: a holder that waits for the store answers late; only its signs of life tell it from a
// silent one.
TEST(OnceTakeover, ASlowStoreMovesNoPartition) {
  for (const milliseconds slow : {milliseconds(3), milliseconds(50), milliseconds(300)}) {
    world.store.faults.one_way = Duration(slow) / 2;
    const std::size_t before = world.Count("take_over");
    LONGS_EQUAL(0, RefusedOf(400, nullptr));
    LONGS_EQUAL(before, world.Count("take_over"));
  }
}

// Events: as above, with store calls so slow that no booking is answered in time.
TEST(OnceTakeover, AStoreTooSlowForBookingsMovesNoPartition) {
  world.store.faults.one_way = milliseconds(400);
  const std::size_t before = world.Count("take_over");
  RefusedOf(200, nullptr);
  LONGS_EQUAL(before, world.Count("take_over"));
}

// Symptom: bookings through some instances hang long after the others are served again.
// Events: a holder is paused and its partitions are taken over; then an instance asks the old one.
// Cause: it waits as long as the first one did, although it could have read the head.
TEST(OnceTakeover, WhoeverMissedATakeoverFindsTheNewHolderSoon) {
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
    CHECK(request->told == Told::kAnswered);
    CHECK(request->told_at - asked_at < milliseconds(600));
  }
}

// Symptom: the store is flooded by takeovers when a holder of many partitions is lost.
// Events: one instance of two is killed, both are listed as live.
// Cause: all its partitions are taken over at the same time.
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

// Symptom: a lost holder costs the store several times what its partitions need.
// Events: all instances meet a paused holder at the same moment.
// Cause: each of them tries to take each partition, and all but one lose.
TEST(OnceTakeover, InstancesTakeTurnsAtALostHoldersPartitions) {
  const std::size_t held = holder->coordinator().HeldPartitions();
  holder->thread().Pause();
  const std::uint64_t before = world.store.creations;
  for (const auto& instance : world.instances) {
    CallAll(*instance, instance->Self().name);
  }
  world.Advance(milliseconds(1'500));
  LONGS_EQUAL(held, world.store.creations - before);
}

// Symptom: a partition goes round all instances after its holder slept once.
// Events: the holder is paused; calls to it are given up seconds later, when others hold already.
// Cause: the old failures counted against the new holder.
TEST(OnceTakeover, LateFailuresOfTheOldHolderDoNotMoveThePartitionAgain) {
  const std::size_t held = holder->coordinator().HeldPartitions();
  const std::size_t before = world.Count("take_over");
  holder->thread().Pause();
  RefusedOf(400, holder);
  LONGS_EQUAL(before + held, world.Count("take_over"));
}

// Symptom: an instance takes everything when its machine wakes.
// Events: the machines of a holder and of an asker are suspended for 3 s with calls on their way.
// Cause: to the timers of the asker the silence looks as long as the suspension.
TEST(OnceTakeover, AnAskerThatSleptItselfTakesNothing) {
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

// Symptom: a planned stop hangs.
// Events: the store is down when the instance is stopped.
// Cause: the release of its partitions cannot be written.
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
