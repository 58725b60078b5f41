#include <chrono>
#include <thread>

#include "tests/fleet/small_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::seconds;

// What callers saw: nothing. A model server that had said it takes 11.2 requests a second from all
// instances together got 98 in four seconds, where 72 were allowed.
// Order of events: a server that is the first of a path gets 21 to 42 requests a second from nine
// instances; it begins to name its limit in its answers; each instance passes such answers on to
// callers, and goes on choosing the server as before.
// Cause: no instance knew of limits, neither its own nor the fleet's: the answer's field was passed
// on unread. Evidence: each of nine instances had passed the limit on, and sent as before; the
// server got 57 in four seconds where 35 are allowed, as often as the others.
TEST_GROUP(ServerInNeed) {
  static constexpr std::size_t kInstances = 9;
  static constexpr std::size_t kServers = 4;
  static constexpr std::size_t kCallers = 12;
  static constexpr double kLimit = 5.0;

  /** In four seconds. */
  static constexpr std::size_t kMostWithLimit = 35;

  SmallFleet fleet{"server_limit", kInstances, kServers};

  void setup() override {
    CHECK_TRUE(fleet.IsServed());
  }

  void CheckNoViolations() const {
    for (const std::string& violation : fleet.ledger.Violations()) {
      FAIL(violation.c_str());
    }
  }
};

// Guards against instances that each believe that a server's limit is theirs alone.
TEST(ServerInNeed, AllInstancesTogetherKeepItsLimit) {
  std::this_thread::sleep_for(
      seconds(8));    // Until the start of the instances excuses none of them.
  fleet.calm = true;  // Every request must be served: the other servers have room.
  fleet.CallersCome(kCallers);
  std::this_thread::sleep_for(seconds(3));
  fleet.backends[0]->SetLimit(kLimit);
  std::this_thread::sleep_for(seconds(10));
  CHECK_TRUE(fleet.ledger.Limits().HighestUse() > 0.0);  // It still gets requests.
  CheckNoViolations();
  fleet.backends[0]->SetLimit(std::nullopt);
  std::this_thread::sleep_for(seconds(6));
  CHECK_TRUE(fleet.ledger.Limits().RecentRequests("server-0") > kMostWithLimit);
  CheckNoViolations();
}

}  // namespace zinnia::platform::soak
