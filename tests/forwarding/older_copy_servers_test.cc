#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What was written in the three seconds before an outage is lost when the store comes back. */
TEST_GROUP(OlderCopyServers) {
  ControlFleet fleet{9, 3};

  void setup() override {
    fleet.store.Put("configuration", "1");
    fleet.store.Put("s/one", "100 ready");
    fleet.store.Put("s/two", "100 ready");
    fleet.Advance(seconds(8));
  }

  void LoseTheLastSeconds() {
    fleet.Advance(seconds(1));
    fleet.store.GoAway();
    fleet.Advance(seconds(1));
    fleet.store.ComeBackOlder(seconds(4));
  }
};

// Guards against an older copy of a server's entry that is taken for its newest word.
TEST(OlderCopyServers, AServerThatSaidItLeavesStaysLeavingWhenTheStoreForgetsIt) {
  fleet.store.Put("s/one", "100 draining");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  for (int step = 0; step < 100; ++step) {
    fleet.Advance(milliseconds(100));
    CHECK_EQUAL(0, fleet.CountThatMaySendTo("one@100"));
  }
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("two@100"));
}

// Guards against requests to a server that was gone before the copy's lost seconds ended.
TEST(OlderCopyServers, AServerThatHadGoneIsNotServedFromTheCopyUntilTheStoreKeepsItsEntry) {
  fleet.store.Erase("s/one");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  for (int step = 0; step < 35; ++step) {
    fleet.Advance(milliseconds(100));
    CHECK_EQUAL(0, fleet.CountThatMaySendTo("one@100"));
  }
  fleet.store.Erase("s/one");
  fleet.Advance(seconds(10));
  CHECK_EQUAL(0, fleet.CountThatMaySendTo("one@100"));
}

// Guards against a live server that stays out of use for good since the copy alone holds its entry.
TEST(OlderCopyServers, AnEntryOfTheCopyThatTheStoreKeepsIsServedAgain) {
  fleet.store.Erase("s/one");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  fleet.Advance(seconds(8));
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("one@100"));
}

// Guards against refused requests while servers that registered in the lost seconds write their
// entries again.
TEST(OlderCopyServers, AServerThatRegisteredInTheLostSecondsIsKeptUntilItRegistersAgain) {
  fleet.store.Put("s/new", "100 ready");
  fleet.Advance(seconds(1));
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("new@100"));
  LoseTheLastSeconds();
  for (int step = 0; step < 18; ++step) {
    fleet.Advance(milliseconds(100));
    CHECK_EQUAL(9, fleet.CountThatMaySendTo("new@100"));
  }
  fleet.store.Put("s/new", "100 ready");
  fleet.Advance(seconds(5));
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("new@100"));
}

// Guards against a server of the lost seconds that is never taken out although nobody registers it.
TEST(OlderCopyServers, AServerOfTheLostSecondsThatDoesNotRegisterAgainIsGone) {
  fleet.store.Put("s/new", "100 ready");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  fleet.Advance(seconds(4));
  CHECK_EQUAL(0, fleet.CountThatMaySendTo("new@100"));
}

// Guards against an older version that takes the place of the one in force, or a revoked key that
// works again.
TEST(OlderCopyServers, TheVersionInForceIsNotReplacedByTheCopysOlderOne) {
  fleet.store.Put("configuration", "2");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  for (int step = 0; step < 30; ++step) {
    fleet.Advance(milliseconds(100));
    CHECK_EQUAL(9, fleet.CountWithVersion(2));
  }
  fleet.store.Put("configuration", "3");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(9, fleet.CountWithVersion(3));
}

// Guards against a second drill that begins while the first is being repaired.
TEST(OlderCopyServers, TwoDrillsInSeriesKeepALeavingServerLeaving) {
  fleet.store.Put("s/one", "100 draining");
  fleet.Advance(seconds(1));
  LoseTheLastSeconds();
  fleet.Advance(milliseconds(300));
  LoseTheLastSeconds();
  for (int step = 0; step < 100; ++step) {
    fleet.Advance(milliseconds(100));
    CHECK_EQUAL(0, fleet.CountThatMaySendTo("one@100"));
  }
  fleet.store.Put("s/two", "100 draining");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(0, fleet.CountThatMaySendTo("two@100"));
}

}  // namespace zinnia
