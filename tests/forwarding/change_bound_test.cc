#include "tests/forwarding/control_fleet.h"
#include "zinnia_decisions/forwarding/observed_state/change_delay.h"
#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** From the store's acknowledgement of a change until the last instance acts on it. */
constexpr Duration kBound = milliseconds(1'200);

constexpr int kSeconds = 60;

constexpr Duration kStep = milliseconds(10);

/** Longer than a watcher's watch and its pause, so that each phase of them occurs. */
constexpr Duration kPhases = milliseconds(2'000);

}  // namespace

/** Changes at each phase of the store watchers' watches. */
TEST_GROUP(ChangeBound) {
  std::unique_ptr<ControlFleet> fleet;
  std::uint64_t version = 1;
  Duration worst{};

  void Start(int instances, int domains) {
    fleet = std::make_unique<ControlFleet>(instances, domains);
    fleet->store.Put("configuration", "1");
    fleet->Advance(seconds(5));
  }

  /** Changes the configuration and waits until it is in force everywhere. */
  void MeasureChange() {
    ++version;
    fleet->store.Put("configuration", std::to_string(version));
    Duration passed{};
    while (fleet->CountWithVersion(version) < static_cast<int>(fleet->Size()) &&
           passed < seconds(5)) {
      fleet->Advance(kStep);
      passed += kStep;
    }
    worst = std::max(worst, passed);
  }

  template <typename Disturb>
  void ForEachPhase(Duration step, Disturb disturb) {
    for (Duration phase{}; phase < kPhases; phase += step) {
      fleet->Advance(seconds(6) + phase);
      disturb();
      MeasureChange();
      fleet->store.SetWatchesSilent(false);
    }
    CHECK_TRUE(worst <= kBound);
  }
};

// Guards against waits that are each small and together longer than the bound.
TEST(ChangeBound, TheSumOfAllWaitsLeavesAFifthOfTheBound) {
  const ChangeDelay delay =
      ChangeDelay::Of(StoreMirrorSettings(), RelayDirectory::kStoreWatchersPerFleet);
  CHECK_TRUE(delay.Check(seconds(2)).has_value());
  const auto alone = ChangeDelay::Of(StoreMirrorSettings(), 1).Check(seconds(2));
  CHECK_FALSE(alone.has_value());
  STRCMP_CONTAINS("longest_wait", alone.error().message.c_str());
}

TEST(ChangeBound, AChangeIsInForceEverywhereInTime) {
  Start(9, 3);
  ForEachPhase(milliseconds(50), [] {});
}

// Guards against store watchers whose watches all end at the same moment, so that none hears of a
// change while the connections of all have gone silent.
TEST(ChangeBound, AChangeIsInForceInTimeThoughAllPendingWatchesHaveGoneSilent) {
  Start(9, 3);
  ForEachPhase(milliseconds(50), [this] { fleet->store.SilencePendingWatches(); });
}

// Guards against a chain of waits for a watch that hears nothing, for its end, and for the list
// after it.
TEST(ChangeBound, AChangeIsInForceInTimeThoughTheStoreDropsItsHistoryUnheard) {
  Start(9, 3);
  ForEachPhase(milliseconds(50), [this] {
    fleet->store.SetWatchesSilent(true);
    fleet->store.Put("s/any", "100 ready");
    fleet->store.DropHistory();
    fleet->store.SetWatchesSilent(false);
  });
}

// Guards against store watchers that count as in contact for as long as their watches may last,
// although the store is silent towards all of them and serves the others.
TEST(ChangeBound, AChangeIsInForceInTimeThoughTheStoreIsSilentTowardsAllItsWatchers) {
  constexpr Duration kBoundOfUsers = seconds(2);
  for (Duration phase{}; phase < kPhases; phase += milliseconds(100)) {
    Start(9, 3);
    fleet->Advance(phase);
    for (std::size_t number = 0; number < fleet->Size(); ++number) {
      OlderCopyStoreClient& client = fleet->Client(number);
      client.SetSilenced(client.HasWatchedWithin(seconds(3)));
    }
    MeasureChange();
  }
  CHECK_TRUE(worst <= kBoundOfUsers * 4 / 5);
}

// Guards against instances that wait for the records of a peer that has stopped.
TEST(ChangeBound, AChangeIsInForceInTimeThoughAPeerStopsAsItTellsOfIt) {
  constexpr Duration kBoundOfUsers = seconds(2);
  for (std::size_t stopped = 0; stopped < 9; ++stopped) {
    for (int after_ms = 0; after_ms < 30; ++after_ms) {
      Start(9, 3);
      fleet->store.Put("configuration", std::to_string(++version));
      fleet->Advance(milliseconds(after_ms));
      fleet->SetCutOff(stopped, true);
      Duration passed{};
      while (fleet->CountWithVersion(version) < 8 && passed < seconds(5)) {
        fleet->Advance(kStep);
        passed += kStep;
      }
      worst = std::max(worst, passed);
    }
  }
  CHECK_TRUE(worst <= kBoundOfUsers * 4 / 5);
}

// Guards against instances that hear of store watchers and of newer records, but get none.
TEST(ChangeBound, AnInstanceThatCanNotFetchIsNotBehindForLong) {
  constexpr Duration kBoundOfUsers = seconds(2);
  for (std::size_t number = 0; number < 9; ++number) {
    Start(9, 3);
    fleet->SetFetchesFail(number, true);
    for (int change = 0; change < 10; ++change) {
      MeasureChange();
      fleet->Advance(milliseconds(230) * change);
    }
  }
  CHECK_TRUE(worst <= kBoundOfUsers * 4 / 5);
}

// Guards against instances that watch for themselves although store watchers are in contact, which
// costs a call for each.
TEST(ChangeBound, NobodyElseWatchesWhileAStoreWatcherIsInContact) {
  constexpr int kInstances = 65;
  Start(kInstances, 3);
  const int before = fleet->store.calls;
  fleet->Advance(seconds(kSeconds));
  // Renewals of every instance in 5 s and of the order role twice a second; three watches in 1.9 s.
  const double expected = kInstances * kSeconds / 5.0 + 2.0 * kSeconds + 3 * kSeconds / 1.9;
  CHECK_TRUE(fleet->store.calls - before <= 1.1 * expected);
}

// Guards against a bound that only small fleets keep, in which most instances hear from store
// watchers directly.
TEST(ChangeBound, LargeFleetsKeepTheBound) {
  for (const int instances : {65, 300}) {
    Start(instances, 9);
    ForEachPhase(milliseconds(700), [this] { fleet->store.SilencePendingWatches(); });
  }
}

// Guards against store watchers that keep the bound by more calls, which are billed and limited.
TEST(ChangeBound, ABoundedNumberOfCallsIsMade) {
  constexpr double kLimit = 1.2;
  Start(9, 3);
  const auto calls_in_a_minute = [this](Duration between_changes) {
    const int before = fleet->store.calls;
    for (Duration passed{}; passed < seconds(kSeconds); passed += between_changes) {
      fleet->store.Put("configuration", std::to_string(++version));
      fleet->Advance(between_changes);
    }
    return fleet->store.calls - before;
  };
  // What store watchers in step call, which the limit is stated for.
  constexpr double kQuiet = 362;
  constexpr double kWithAChangeEveryTwoSeconds = 396;
  CHECK_TRUE(calls_in_a_minute(seconds(kSeconds)) <= kLimit * kQuiet);
  CHECK_TRUE(calls_in_a_minute(seconds(2)) <= kLimit * kWithAChangeEveryTwoSeconds);
}

}  // namespace zinnia
