#include <algorithm>
#include <future>

#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

using namespace std::chrono_literals;

/** Promise 8: a request that crashes servers takes down two at most. */
TEST_GROUP(SystemPoison) {
  Fleet m_fleet{FleetOptions{.replicas = 4, .crash_on = "sumu"}};

  int DeadEngines() {
    return static_cast<int>(std::ranges::count_if(m_fleet.Engines(), [](Fleet::Engine& engine) {
      return engine.process->WaitForEnd(0ms).has_value();
    }));
  }
};

TEST(SystemPoison, ARequestThatCrashesServersIsStoppedAfterTwo) {
  // Symptom: one prompt takes down all replicas of a stage, one after the other.
  // Events: a prompt ends every engine that gets it; its caller sends it again and again, then
  // through all instances at once.
  // Cause: each instance sees an innocent request on a server that failed, and helps it to the
  // next server.
  ChatCall poison;
  poison.prompt = "maji yenye sumu";
  CHECK_FALSE(m_fleet.Chat(0, poison).done);
  std::vector<std::future<StreamedAnswer>> again;
  for (const std::size_t instance : {0, 1, 2, 0, 1, 2}) {
    again.push_back(
        std::async(std::launch::async, [&, instance] { return m_fleet.Chat(instance, poison); }));
  }
  for (auto& answer : again) {
    CHECK_FALSE(answer.get().done);
  }
  const auto quarantined_everywhere = [&] {
    bool everywhere = true;
    for (const std::size_t instance : {0, 1, 2}) {
      m_fleet.Chat(instance, poison);
      const auto cells = m_fleet.Column(instance, "quarantine", "quarantined");
      everywhere = everywhere && std::ranges::count(cells, "true") == 1;
    }
    return everywhere;
  };
  CHECK_TRUE(Eventually(quarantined_everywhere, 60s));
  for (const std::size_t instance : {0, 1, 2}) {
    const StreamedAnswer refused = m_fleet.Chat(instance, poison);
    STRCMP_EQUAL("quarantined", refused.error_kind.c_str());
    STRCMP_EQUAL("no", refused.was_run.c_str());
  }
  LONGS_EQUAL(2, DeadEngines());
  for (const std::size_t instance : {0, 1, 2}) {
    CHECK_TRUE(m_fleet.Chat(instance).done);
  }
}

}  // namespace zinnia::testing
