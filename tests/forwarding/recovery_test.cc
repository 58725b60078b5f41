#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/prefill_backlog.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/prefill_time.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(Recovery) {
  VirtualTime time;
  LoadTracker loads{time};
  ServerHealth health{time};
  RendezvousLimitDivision division;
  ServerLimits limits{time, division, "self"};
  InterDomainLinkMeter link_meter{time};
  RandomSource random{1};
  FakeIdleConnections connections;
  PathFinder finder{loads, health, limits, link_meter, connections, random};
  RecoveryChooser chooser{time, finder, loads, health};
  GenerationSize size{774, 200};

  /** Two failure domains with a chain each. Slower engines also hold the range of the lost x2. */
  std::vector<ServerEntry> servers = {
      EngineServer("x1", "fast", "x", {0, 40}),    EngineServer("xs1", "slow", "x", {40, 50}),
      EngineServer("xs2", "slow", "x", {50, 60}),  EngineServer("xs3", "slow", "x", {60, 70}),
      EngineServer("xs4", "slow", "x", {70, 80}),  EngineServer("y1", "middle", "y", {0, 20}),
      EngineServer("y2", "middle", "y", {20, 40}), EngineServer("y3", "middle", "y", {40, 60}),
      EngineServer("y4", "middle", "y", {60, 80})};
  LayerPath broken = {{"x1", {}, {0, 40}}, {"x2", {}, {40, 80}}};

  std::optional<RecoveryPath> Choose(bool may_restart) {
    return chooser.Choose(ViewOf(servers), "pool", size, broken, {}, may_restart);
  }
};

// Guards against underestimating prefill times by leaving out the generation steps between passes.
TEST(Recovery, PrefillTimeIncludesGenerationSteps) {
  EngineProfile engine = MixedEngine();
  const AcceleratorProfile& slow = engine.accelerators.at("slow");
  const double alone = PrefillMsPerTokenLayer(engine, slow);
  engine.steps_per_pass = 4;
  engine.read_tokens_per_pass = 512;
  const double beside_steps = PrefillMsPerTokenLayer(engine, slow);
  // Four steps take 65.3 ms over all layers, the prefill of 512 tokens 40 ms.
  DOUBLES_EQUAL(alone * (40.0 + 65.3) / 40.0, beside_steps, alone * 0.01);
}

TEST(Recovery, BacklogAddsUpAndDrains) {
  PrefillBacklog backlog(time);
  backlog.Add("s", 40);
  backlog.Add("s", 20);
  DOUBLES_EQUAL(60, backlog.WaitMs("s"), 0.01);
  DOUBLES_EQUAL(0, backlog.WaitMs("other"), 0.01);
  time.AdvanceBy(milliseconds(50));
  DOUBLES_EQUAL(10, backlog.WaitMs("s"), 0.01);
  time.AdvanceBy(milliseconds(50));
  backlog.Add("s", 5);
  DOUBLES_EQUAL(5, backlog.WaitMs("s"), 0.01);
}

// Guards against all streams of a lost server using the same replacement and waiting there for each
// other's prefill.
TEST(Recovery, StreamsOfALostServerAreSpreadByExpectedPause) {
  constexpr int kStreams = 20;
  std::map<bool, int> kept;
  std::vector<double> pauses;
  for (int stream = 0; stream < kStreams; ++stream) {
    const auto recovery = Choose(true);
    CHECK_TRUE(recovery.has_value());
    ++kept[recovery->keeps_first_server];
    pauses.push_back(recovery->expected_pause_ms);
  }
  CHECK_TRUE(kept[true] >= kStreams / 5);
  CHECK_TRUE(kept[false] >= kStreams / 5);

  // For comparison, all streams keep their first server and queue at the slow engines.
  RecoveryChooser alone(time, finder, loads, health);
  double last = 0;
  for (int stream = 0; stream < kStreams; ++stream) {
    last = alone.Choose(ViewOf(servers), "pool", size, broken, {}, false)->expected_pause_ms;
  }
  CHECK_TRUE(*std::max_element(pauses.begin(), pauses.end()) < 0.75 * last);
}

// Guards against rerouting streams over the inter-domain link, which delays the first events of
// other requests.
TEST(Recovery, DoesNotUseTheInterDomainLink) {
  std::erase_if(servers, [](const ServerEntry& server) { return server.name == "xs2"; });
  CHECK_FALSE(Choose(false).has_value());
  const auto recovery = Choose(true);
  CHECK_TRUE(recovery.has_value());
  CHECK_FALSE(recovery->keeps_first_server);
  STRCMP_EQUAL("y1", recovery->found.path.front().server.c_str());
  DOUBLES_EQUAL(0, recovery->found.link_ms, 1e-9);
}

}  // namespace zinnia
