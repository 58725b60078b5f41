#include "tests/forwarding/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What instances themselves wrote is lost with the seconds that a copy lacks. */
TEST_GROUP(OlderCopyLeases) {
  std::unique_ptr<ControlFleet> fleet;

  void Start(int instances, int domains) {
    fleet = std::make_unique<ControlFleet>(instances, domains);
    fleet->store.Put("configuration", "1");
    fleet->Advance(seconds(1));
  }

  void Drill(Duration away, Duration age) {
    fleet->store.GoAway();
    fleet->Advance(away);
    fleet->store.ComeBackOlder(away + age);
  }

  int CountRegistered() const {
    int registered = 0;
    for (const auto& [key, record] : fleet->store.Records()) {
      registered += key.starts_with("instances/") ? 1 : 0;
    }
    return registered;
  }
};

// Guards against instances that stay unknown to a fresh one for the rest of a renewal interval.
TEST(OlderCopyLeases, InstancesRegisterAgainWithinTwoSeconds) {
  Start(9, 3);
  CHECK_EQUAL(9, CountRegistered());
  Drill(milliseconds(500), milliseconds(990));
  CHECK_TRUE(CountRegistered() < 9);
  fleet->Advance(seconds(2));
  CHECK_EQUAL(9, CountRegistered());
}

// Guards against a large fleet that exceeds the store's limits when all register again at once.
TEST(OlderCopyLeases, AFleetOfThreeHundredRegistersAgainWithoutABurst) {
  constexpr int kWritesPerSecond = 400;
  constexpr int kCallsPerSecond = 2'000;
  Start(300, 9);
  fleet->Advance(seconds(3));
  CHECK_EQUAL(300, CountRegistered());
  Drill(milliseconds(500), milliseconds(3'990));
  int most_writes = 0;
  int most_calls = 0;
  for (int second = 0; second < 10; ++second) {
    const int before = fleet->store.writes;
    const int calls_before = fleet->store.calls;
    fleet->Advance(seconds(1));
    most_writes = std::max(most_writes, fleet->store.writes - before);
    most_calls = std::max(most_calls, fleet->store.calls - calls_before);
  }
  CHECK_EQUAL(300, CountRegistered());
  CHECK_TRUE(most_writes <= kWritesPerSecond);
  CHECK_TRUE(most_calls <= kCallsPerSecond);
}

}  // namespace zinnia
