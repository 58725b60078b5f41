#include <vector>

#include "tests/forwarding/forwarding_fakes.h"
#include "tests/forwarding_path/forwarding_fixture.h"
#include "zinnia_adapters/forwarding/stall_inquiry.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(StallInquiry) {
  VirtualTime time;
  TestEngineCalls calls;
  StallInquiry inquiry{calls, time};
  std::vector<BackendServerName> dead;
  std::vector<BackendServerName> leaving;
  const PathPart accused{"b", {"127.0.0.1", 1}, {20, 40}};

  void setup() override {
    time.AdvanceBy(milliseconds(1'000));
  }

  void Confirm() {
    inquiry.Confirm(
        accused, "/health", [this](const BackendServerName& server) { dead.push_back(server); },
        [this](const BackendServerName& server) { leaving.push_back(server); });
  }
};

// Guards against treating a full server as dead.
TEST(StallInquiry, ARefusingServerThatAnswersProbesIsNotDead) {
  Confirm();
  CHECK_EQUAL(1, calls.probes);
  CHECK_TRUE(dead.empty());
  CHECK_TRUE(leaving.empty());
}

// Guards against treating every refusal as a lack of capacity while a server is dead.
TEST(StallInquiry, ARefusingServerThatAnswersNoProbeIsDead) {
  calls.answers_probes = false;
  Confirm();
  CHECK_EQUAL(1U, dead.size());
}

// Guards against treating a draining server as a full one.
TEST(StallInquiry, ARefusingServerWithAFailingHealthCheckIsDraining) {
  calls.health = HealthAnswer::kRefuses;
  Confirm();
  CHECK_EQUAL(1U, leaving.size());
  CHECK_TRUE(dead.empty());
}

TEST(StallInquiry, AServerWithoutAHealthAnswerIsNotDraining) {
  calls.health = HealthAnswer::kNone;
  Confirm();
  CHECK_TRUE(leaving.empty());
}

TEST(StallInquiry, ConcurrentRefusalsShareOneProbe) {
  Confirm();
  Confirm();
  CHECK_EQUAL(1, calls.probes);
  time.AdvanceBy(milliseconds(150));
  Confirm();
  CHECK_EQUAL(2, calls.probes);
}

}  // namespace zinnia
