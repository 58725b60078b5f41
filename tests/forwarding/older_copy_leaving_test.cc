#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fleet whose store goes away and comes back from an older copy. */
TEST_GROUP(LeavingAfterOlderCopy) {
  ControlFleet fleet{9, 3};

  void setup() override {
    fleet.store.Put("configuration", "1");
    fleet.store.Put("s/leaving", "100 ready");
    fleet.store.Put("s/staying", "100 ready");
    fleet.Advance(seconds(4));
  }
};

// Guards against an entry that a server writes under a revision given out before and that nobody
// takes over.
TEST(LeavingAfterOlderCopy, AServerThatLeavesUnderAReusedRevisionGetsNoRequestsAfterTheBound) {
  for (int change = 0; change < 8; ++change) {
    fleet.store.Put("s/staying", "100 ready");
  }
  fleet.Advance(seconds(1));
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("leaving@100"));
  fleet.store.GoAway();
  fleet.Advance(milliseconds(2'600));
  fleet.store.ComeBackOlder(seconds(4));
  fleet.Advance(seconds(3));
  fleet.store.Put("s/leaving", "100 draining");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(0, fleet.CountThatMaySendTo("leaving@100"));
  CHECK_EQUAL(9, fleet.CountThatMaySendTo("staying@100"));
}

}  // namespace zinnia
