#include "zinnia_decisions/forwarding/reachability/server_reachability.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ServerReachability) {
  VirtualTime time;
  RandomSource random{1};
  ServerReachability reachability{time, random};
  std::vector<BackendServerName> servers;

  void setup() override {
    for (int number = 0; number < 36; ++number) {
      servers.push_back("s" + std::to_string(number));
    }
  }

  std::vector<BackendServerName> Try() {
    return reachability.IsTryDue(servers.size()) ? reachability.TakeServersToTry(servers)
                                                 : std::vector<BackendServerName>();
  }

  void Fail(const std::vector<BackendServerName>& failing) {
    for (const BackendServerName& server : failing) {
      reachability.OnConnectFailed(server);
    }
  }

  void CutOff() {
    Fail({"s1", "s2", "s3"});
    Fail(Try());
  }
};

// Guards against an instance that goes on sending requests to servers of which it reaches none.
TEST(ServerReachability, ItIsCutOffOnceOtherServersFailToo) {
  Fail({"s1", "s2", "s3"});
  CHECK_FALSE(reachability.IsCutOff());
  const std::vector<BackendServerName> tried = Try();
  CHECK_EQUAL(3U, tried.size());
  CHECK_TRUE(Try().empty());
  Fail({tried[0], tried[1]});
  CHECK_FALSE(reachability.IsCutOff());
  Fail({tried[2]});
  CHECK_TRUE(reachability.IsCutOff());
}

// Guards against servers that crash together being taken for a partition.
TEST(ServerReachability, ItIsNotCutOffWhileAnyOtherServerAccepts) {
  Fail({"s1", "s2", "s3"});
  const std::vector<BackendServerName> tried = Try();
  Fail({tried[0], tried[1]});
  reachability.OnConnected();
  Fail({tried[2]});
  CHECK_FALSE(reachability.IsCutOff());
  Fail({"s1", "s2", "s3"});
  CHECK_TRUE(Try().empty());  // Not again at once.
  time.AdvanceBy(milliseconds(990));
  Fail({"s1", "s2", "s3"});
  time.AdvanceBy(milliseconds(20));
  CHECK_EQUAL(3U, Try().size());
}

// Guards against suspicion from failures of single servers over time.
TEST(ServerReachability, FailuresFarApartAreNoSuspicion) {
  for (int number = 0; number < 10; ++number) {
    Fail({servers[static_cast<std::size_t>(number)]});
    CHECK_TRUE(Try().empty());
    time.AdvanceBy(milliseconds(600));
  }
}

// Guards against an instance that does not notice that its links are back.
TEST(ServerReachability, WhileCutOffItTriesAFewServersUntilOneAccepts) {
  CutOff();
  int tries = 0;
  for (int step = 0; step < 100; ++step) {
    time.AdvanceBy(milliseconds(20));
    const std::vector<BackendServerName> tried = Try();
    tries += static_cast<int>(tried.size());
    Fail(tried);
  }
  CHECK_TRUE(tries >= 10 && tries <= 16);  // Two every 300 ms, of two seconds.
  CHECK_TRUE(reachability.IsCutOff());
  reachability.OnConnected();
  CHECK_FALSE(reachability.IsCutOff());
}

// Guards against a suspicion that never ends, since a server that was tried has left.
TEST(ServerReachability, ASuspicionWithoutAnAnswerEnds) {
  Fail({"s1", "s2", "s3"});
  const std::vector<BackendServerName> tried = Try();
  Fail({tried[0]});
  time.AdvanceBy(seconds(1));
  CHECK_TRUE(Try().empty());
  CHECK_TRUE(reachability.State() == Reachability::kReached);
}

// Guards against a fleet of so few servers that never counts as cut off.
TEST(ServerReachability, AllOfTwoServersAreEnough) {
  servers.resize(2);
  Fail(servers);
  Fail(Try());
  CHECK_TRUE(reachability.IsCutOff());
}

}  // namespace zinnia
