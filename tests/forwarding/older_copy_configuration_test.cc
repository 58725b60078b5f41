#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fleet whose store goes away and comes back from an older copy. */
TEST_GROUP(ConfigurationAfterOlderCopy) {
  ControlFleet fleet{9, 3};

  void setup() override {
    fleet.store.Put("configuration", "1");
    fleet.store.Put("s/any", "100 ready");
    fleet.Advance(seconds(4));
  }
};

// Guards against a configuration that is written under a revision given out before and never comes
// into force.
TEST(ConfigurationAfterOlderCopy, AVersionUnderAReusedRevisionIsInForceWithinTheBound) {
  for (int version = 2; version <= 9; ++version) {
    fleet.store.Put("configuration", std::to_string(version));
  }
  fleet.Advance(seconds(1));
  CHECK_EQUAL(9, fleet.CountWithVersion(9));
  fleet.store.GoAway();
  fleet.Advance(milliseconds(2'600));
  fleet.store.ComeBackOlder(seconds(4));
  fleet.store.Put("configuration", "9");
  fleet.Advance(seconds(3));
  fleet.store.Put("configuration", "10");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(9, fleet.CountWithVersion(10));
}

}  // namespace zinnia
