#include <algorithm>

#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** From the store's acknowledgement of a removal until the last instance acts on it. */
constexpr Duration kBound = seconds(2);

/** Once it has been well for so long, the store counts as stable for its users. */
constexpr Duration kStableAfter = seconds(3);

constexpr Duration kStep = milliseconds(10);

/** Longer than a watcher's watch and its pause, so that each phase of them occurs. */
constexpr Duration kPhases = milliseconds(2'000);

}  // namespace

/** Servers that never say that they leave: their entries are removed. */
TEST_GROUP(RemovalBound) {
  std::unique_ptr<ControlFleet> fleet;

  void Start(int instances, int domains) {
    fleet = std::make_unique<ControlFleet>(instances, domains);
    fleet->store.Put("configuration", "1");
    fleet->store.Put("s/leaving", "100 ready");
    fleet->store.Put("s/staying", "100 ready");
    fleet->Advance(seconds(8));
  }

  /** Removes the server's entry and returns how long some instance goes on using the server. */
  Duration MeasureRemoval() {
    fleet->store.Erase("s/leaving");
    Duration passed{};
    while (fleet->CountThatMaySendTo("leaving@100") > 0 && passed < seconds(5)) {
      fleet->Advance(kStep);
      passed += kStep;
    }
    return passed;
  }

  /** `disturb` runs at each phase of the watches, after which the entry is removed. */
  template <typename Disturb>
  Duration WorstOfAllPhases(Disturb disturb) {
    Duration worst{};
    for (Duration phase{}; phase < kPhases; phase += milliseconds(50)) {
      Start(9, 3);
      fleet->Advance(phase);
      disturb();
      worst = std::max(worst, MeasureRemoval());
    }
    return worst;
  }

  void RefuseAll(bool refused) {
    for (std::size_t number = 0; number < fleet->Size(); ++number) {
      fleet->Client(number).SetRefused(refused);
    }
  }
};

TEST(RemovalBound, ARemovalIsInForceInTime) {
  CHECK_TRUE(WorstOfAllPhases([] {}) <= kBound);
}

// Guards against a grace period that counts from a call that failed long after the store's return.
TEST(RemovalBound, ARemovalIsInForceInTimeOnceTheStoreHasBeenWellAgain) {
  for (const int away_ms : {500, 1'500, 4'000}) {
    CHECK_TRUE(WorstOfAllPhases([&] {
                 fleet->store.GoAway();
                 fleet->Advance(milliseconds(away_ms));
                 fleet->store.ComeBack();
                 fleet->Advance(kStableAfter);
               }) <= kBound);
  }
}

// Guards against the same where the store goes silent while its watchers list its records.
TEST(RemovalBound, ARemovalIsInForceInTimeOnceTheStoreHasBeenWellAgainAfterLists) {
  CHECK_TRUE(WorstOfAllPhases([this] {
               fleet->store.CutWatches();
               fleet->store.DropHistory();
               fleet->store.Put("s/any", "100 ready");
               fleet->Advance(milliseconds(206));
               fleet->store.GoAway();
               fleet->Advance(milliseconds(1'000));
               fleet->store.ComeBack();
               fleet->Advance(kStableAfter);
             }) <= kBound);
}

// Guards against single failed calls that count as an outage in which entries may have lapsed.
TEST(RemovalBound, ARemovalIsInForceInTimeThoughSingleCallsOfAllInstancesHaveFailed) {
  for (int since_ms = 100; since_ms <= 2'500; since_ms += 300) {
    CHECK_TRUE(WorstOfAllPhases([&] {
                 fleet->store.CutWatches();
                 RefuseAll(true);
                 fleet->Advance(milliseconds(20));
                 RefuseAll(false);
                 fleet->Advance(milliseconds(since_ms));
               }) <= kBound);
  }
}

// Guards against dropping live servers whose entries lapsed while the store was away.
TEST(RemovalBound, AServerWhoseEntryLapsedInAnOutageAndReturnsStaysInUse) {
  for (const int away_ms : {4'000, 5'000, 9'000}) {
    for (Duration phase{}; phase < kPhases; phase += milliseconds(50)) {
      Start(9, 3);
      fleet->Advance(phase);
      fleet->store.GoAway();
      fleet->Advance(milliseconds(away_ms));
      fleet->store.ComeBack();
      fleet->store.Erase("s/leaving");
      for (Duration passed{}; passed < seconds(2); passed += kStep) {
        fleet->Advance(kStep);
        CHECK_EQUAL(9, fleet->CountThatMaySendTo("leaving@100"));
      }
      fleet->store.Put("s/leaving", "100 ready");
      fleet->Advance(seconds(5));
      CHECK_EQUAL(9, fleet->CountThatMaySendTo("leaving@100"));
    }
  }
}

// Guards against an instance that has just started and tells its peers that the store is stable.
TEST(RemovalBound, AnInstanceThatStartsAfterAnOutageDoesNotEndThePatienceOfOthers) {
  for (std::size_t started = 0; started < 9; ++started) {
    Start(9, 3);
    fleet->store.GoAway();
    fleet->Advance(seconds(5));
    fleet->store.ComeBack();
    fleet->Advance(milliseconds(1'000));
    fleet->Restart(started);
    fleet->Advance(milliseconds(300));
    fleet->store.Erase("s/leaving");
    for (Duration passed{}; passed < milliseconds(500); passed += kStep) {
      fleet->Advance(kStep);
      CHECK_TRUE(fleet->CountThatMaySendTo("leaving@100") >= 8);
    }
    fleet->store.Put("s/leaving", "100 ready");
    fleet->Advance(milliseconds(20));
    CHECK_TRUE(fleet->CountThatMaySendTo("leaving@100") >= 8);
  }
}

}  // namespace zinnia
