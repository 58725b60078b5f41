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
  const PathPart accused{"b", {"127.0.0.1", 1}, {20, 40}};

  void setup() override {
    time.AdvanceBy(milliseconds(1'000));
  }

  void Confirm() {
    inquiry.Confirm(accused, [this](const BackendServerName& server) { dead.push_back(server); });
  }
};

// Symptom: healthy servers are left for three seconds, and spares load their layers. Sequence: all
// callers come back at once, a later server of a path is full, its first server refuses on its
// account. Cause: a full server taken for a dead one.
TEST(StallInquiry, AnAccusedServerThatAnswersIsNotDead) {
  Confirm();
  CHECK_EQUAL(1, calls.probes);
  CHECK_TRUE(dead.empty());
}

// Symptom: a dead server is tried for as long as its entry stays. Sequence: a server of a path dies
// while the store is away; each first server refuses at once. Cause: refusals taken for want of
// room only.
TEST(StallInquiry, AnAccusedServerThatIsSilentIsDead) {
  calls.answers_probes = false;
  Confirm();
  CHECK_EQUAL(1U, dead.size());
}

TEST(StallInquiry, RefusalsThatComeTogetherCostOneProbe) {
  Confirm();
  Confirm();
  CHECK_EQUAL(1, calls.probes);
  time.AdvanceBy(milliseconds(150));
  Confirm();
  CHECK_EQUAL(2, calls.probes);
}

}  // namespace zinnia
